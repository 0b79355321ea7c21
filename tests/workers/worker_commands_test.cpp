#include "coordination/workers/worker_commands.h"

#include <gtest/gtest.h>

#include "base/clock.h"
#include "protocol/msgpack_codec.h"

using namespace burlpoint;
using bookkeeping::Job;
using bookkeeping::PlacementState;
using protocol::CommandKind;
using protocol::ExitReason;
using protocol::TaskState;
using storage::TerminalState;

namespace {

struct WorkerCommandsTest : testing::Test {
    bookkeeping::StateReplica replica;
    bookkeeping::Fleet fleet;
    protocol::Heartbeat heartbeat;
    bookkeeping::RecentStarts recentStarts;
    Time now{std::chrono::seconds(1000)};

    Job& accept(const std::string& id, TerminalState terminalState, std::uint32_t tasks = 400) {
        storage::JobRecord record;
        record.spec.id = id;
        record.spec.jobClass = std::string("c");
        record.spec.image = std::string("i");
        record.spec.team = std::string("t");
        record.spec.cpus = 1;
        record.spec.tasks = tasks;
        record.chunkTasks = tasks;
        record.terminalState = terminalState;
        const auto body = storage::encodeJob(record);
        const auto packed = protocol::unpackBody(body);
        std::vector<bookkeeping::ReplicaChange> changes;
        EXPECT_TRUE(replica.apply({storage::keys::job(id), &packed.get(), 1}, changes));
        auto& job = *replica.find(id);
        job.beginRun(bookkeeping::JobOrigin::accepted, Time{});
        return job;
    }
    void addToHeartbeat(const std::string& job, std::uint32_t task, TaskState state, ExitReason exitReason) {
        protocol::TaskStatus listed;
        listed.attempt = {job, task, 1};
        listed.state = state;
        listed.exitReason = exitReason;
        heartbeat.tasks.push_back(listed);
    }
    std::vector<protocol::WorkerCommand> cleanupCommands() {
        std::vector<protocol::WorkerCommand> commands;
        EXPECT_EQ(coordination::addCleanupCommands(heartbeat, replica, recentStarts, now, commands),
                  coordination::CommandFit::complete);
        return commands;
    }
};

}  // namespace

TEST_F(WorkerCommandsTest, DoneTaskIsAcknowledgedOnlyOnceItsBitIsStored) {
    auto& job = accept("wk-1", TerminalState::none);
    addToHeartbeat("wk-1", 3, TaskState::exited, ExitReason::done);
    job.setFinished(3);
    EXPECT_TRUE(cleanupCommands().empty());
    job.setDone(3);
    ASSERT_EQ(cleanupCommands().size(), 1u);
    EXPECT_EQ(cleanupCommands().front().kind, CommandKind::acknowledge);
}

TEST_F(WorkerCommandsTest, ExitedTaskIsAcknowledgedOnlyOnceNoCopyOfItsStartIsAccepted) {
    auto& job = accept("wk-1", TerminalState::none);
    addToHeartbeat("wk-1", 3, TaskState::exited, ExitReason::machineFull);
    recentStarts.record({&job, 3, 1}, now);
    now += std::chrono::seconds(4);
    EXPECT_TRUE(cleanupCommands().empty());
    recentStarts.record({&job, 4, 1}, now);
    now += std::chrono::milliseconds(100);
    EXPECT_EQ(cleanupCommands().size(), 1u);
}

TEST_F(WorkerCommandsTest, FailedOrUnknownTasksAreAcknowledgedOrStopped) {
    accept("wk-1", TerminalState::none, 10);
    addToHeartbeat("wk-1", 0, TaskState::exited, ExitReason::error);
    addToHeartbeat("wk-1", 10, TaskState::running, ExitReason::none);  // the job has no such task
    addToHeartbeat("wk-2", 0, TaskState::running, ExitReason::none);
    addToHeartbeat("wk-2", 1, TaskState::exited, ExitReason::done);
    addToHeartbeat("wk-1", 1, TaskState::running, ExitReason::none);  // a known, running task gets no command
    const auto commands = cleanupCommands();
    ASSERT_EQ(commands.size(), 4u);
    EXPECT_EQ(commands[0].kind, CommandKind::acknowledge);
    EXPECT_EQ(commands[1].kind, CommandKind::stop);
    EXPECT_EQ(commands[2].kind, CommandKind::stop);
    EXPECT_EQ(commands[3].kind, CommandKind::acknowledge);
}

TEST_F(WorkerCommandsTest, OutdatedListStopsOnlyTasksOfTerminatedJobs) {
    accept("wk-1", TerminalState::none);
    accept("wk-2", TerminalState::cancelled);
    addToHeartbeat("wk-1", 0, TaskState::running, ExitReason::none);
    addToHeartbeat("wk-3", 0, TaskState::running, ExitReason::none);
    addToHeartbeat("wk-2", 0, TaskState::exited, ExitReason::stopped);
    addToHeartbeat("wk-2", 1, TaskState::running, ExitReason::none);
    const auto commands = coordination::stopsOfTerminatedJobs(heartbeat, replica);
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands.front().kind, CommandKind::stop);
    EXPECT_EQ(commands.front().attempt.task, 1u);
}

TEST_F(WorkerCommandsTest, ResponseIsTruncatedAtTooManyCommands) {
    for (std::uint32_t task = 0; task < 400; ++task)
        addToHeartbeat("unknown", task, TaskState::running, ExitReason::none);
    std::vector<protocol::WorkerCommand> commands;
    EXPECT_EQ(coordination::addCleanupCommands(heartbeat, replica, recentStarts, now, commands),
              coordination::CommandFit::truncated);
    EXPECT_EQ(commands.size(), coordination::kMaxCommands);
}

TEST_F(WorkerCommandsTest, OnlySentTasksMarkedAsStoppingAreStopped) {
    auto& job = accept("wk-1", TerminalState::none);
    auto& machine = fleet.add("m1", Time{});
    const auto place = [&](std::uint32_t task, PlacementState state) -> bookkeeping::Placement& {
        return fleet.place(machine, job, task, 1, state, Time{});
    };
    place(0, PlacementState::running);
    place(1, PlacementState::planned).stopping = true;
    place(2, PlacementState::running).stopping = true;
    auto& saving = place(3, PlacementState::saving);
    saving.stopping = true;
    saving.grace = Seconds(10);
    auto commands = coordination::stopCommands(machine);
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands.front().attempt.task, 2u);
    saving.grace = Seconds(0);  // a stop without grace is repeated, as progress need not be saved any longer
    EXPECT_EQ(coordination::stopCommands(machine).size(), 2u);
}
