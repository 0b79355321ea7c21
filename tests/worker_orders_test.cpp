#include "coordination/worker_orders.h"

#include <gtest/gtest.h>

using namespace burlpoint;
using bookkeeping::Job;
using bookkeeping::PlacementState;
using protocol::ExitReason;
using protocol::Op;
using protocol::Seconds;
using protocol::TaskState;
using storage::Final;

namespace {

struct WorkerOrdersTest : testing::Test {
    bookkeeping::StateReplica replica;
    bookkeeping::Fleet fleet;
    protocol::Report report;

    Job& accept(const std::string& id, Final final, std::uint32_t tasks = 400) {
        storage::JobRecord record;
        record.spec.id = id;
        record.spec.jobClass = std::string("c");
        record.spec.image = std::string("i");
        record.spec.team = std::string("t");
        record.spec.cpus = 1;
        record.spec.tasks = tasks;
        record.chunkTasks = tasks;
        record.final = final;
        const auto body = storage::encodeJob(record);
        const auto packed = protocol::unpackBody(body);
        std::vector<bookkeeping::Change> changes;
        EXPECT_TRUE(replica.apply({storage::keys::job(id), &packed.get(), 1}, changes));
        auto& job = *replica.find(id);
        job.beginRun(false, transport::Time{});
        return job;
    }
    void list(const std::string& job, std::uint32_t task, TaskState state, ExitReason why) {
        protocol::TaskReport listed;
        listed.attempt = {job, task, 1};
        listed.state = state;
        listed.why = why;
        report.tasks.push_back(listed);
    }
    std::vector<protocol::Order> settling() {
        std::vector<protocol::Order> orders;
        EXPECT_TRUE(coordination::addSettlingOrders(report, replica, orders));
        return orders;
    }
};

}  // namespace

TEST_F(WorkerOrdersTest, AResultIsForgottenOnlyOnceItIsStored) {
    auto& job = accept("wk-1", Final::open);
    list("wk-1", 3, TaskState::exited, ExitReason::done);
    job.finish(3);
    EXPECT_TRUE(settling().empty());
    job.setDone(3);
    ASSERT_EQ(settling().size(), 1u);
    EXPECT_EQ(settling().front().op, Op::forget);
}

TEST_F(WorkerOrdersTest, FailuresAndStraysAreSettledAtOnce) {
    accept("wk-1", Final::open, 10);
    list("wk-1", 0, TaskState::exited, ExitReason::error);
    list("wk-1", 10, TaskState::running, ExitReason::none);  // the job has no such task
    list("wk-2", 0, TaskState::running, ExitReason::none);
    list("wk-2", 1, TaskState::exited, ExitReason::done);
    list("wk-1", 1, TaskState::running, ExitReason::none);  // as it should be
    const auto orders = settling();
    ASSERT_EQ(orders.size(), 4u);
    EXPECT_EQ(orders[0].op, Op::forget);
    EXPECT_EQ(orders[1].op, Op::stop);
    EXPECT_EQ(orders[2].op, Op::stop);
    EXPECT_EQ(orders[3].op, Op::forget);
}

TEST_F(WorkerOrdersTest, AnOldListOnlyStopsWhatIsOver) {
    accept("wk-1", Final::open);
    accept("wk-2", Final::cancelled);
    list("wk-1", 0, TaskState::running, ExitReason::none);
    list("wk-3", 0, TaskState::running, ExitReason::none);
    list("wk-2", 0, TaskState::exited, ExitReason::stopped);
    list("wk-2", 1, TaskState::running, ExitReason::none);
    const auto orders = coordination::stopsOfEndedJobs(report, replica);
    ASSERT_EQ(orders.size(), 1u);
    EXPECT_EQ(orders.front().op, Op::stop);
    EXPECT_EQ(orders.front().attempt.task, 1u);
}

TEST_F(WorkerOrdersTest, AResponseTakesABoundedNumberOfOrders) {
    for (std::uint32_t task = 0; task < 400; ++task)
        list("unknown", task, TaskState::running, ExitReason::none);
    std::vector<protocol::Order> orders;
    EXPECT_FALSE(coordination::addSettlingOrders(report, replica, orders));
    EXPECT_EQ(orders.size(), coordination::kMaxOrders);
}

TEST_F(WorkerOrdersTest, StopsAreSentForWhatIsMarkedAndMayBeThere) {
    auto& job = accept("wk-1", Final::open);
    auto& machine = fleet.add("m1", transport::Time{});
    const auto place = [&](std::uint32_t task, PlacementState state) -> bookkeeping::Placement& {
        return fleet.place(machine, job, task, 1, state, transport::Time{});
    };
    place(0, PlacementState::running);
    place(1, PlacementState::planned).stopping = true;
    place(2, PlacementState::running).stopping = true;
    auto& saving = place(3, PlacementState::saving);
    saving.stopping = true;
    saving.grace = Seconds(10);
    auto orders = coordination::stopOrders(machine);
    ASSERT_EQ(orders.size(), 1u);
    EXPECT_EQ(orders.front().attempt.task, 2u);
    saving.grace = Seconds(0);  // it need not be saved any more
    EXPECT_EQ(coordination::stopOrders(machine).size(), 2u);
}
