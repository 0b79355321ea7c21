#include "coordination/report_reconciler.h"

#include <gtest/gtest.h>

#include "coordination/removed_machines.h"
#include "placement_fixture.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using namespace std::chrono_literals;
using bookkeeping::PlacementState;
using coordination::AttemptNumbers;
using coordination::MessageKind;
using coordination::RemovedMachines;
using protocol::ExitReason;
using protocol::Report;
using protocol::Seconds;
using protocol::TaskReport;
using protocol::TaskState;

namespace {

class ReconcilerTest : public PlacementFixture {
  protected:
    /// A message of the machine's present session, newer than those before.
    Report message(const Machine& from, std::vector<TaskReport> tasks = {}) const {
        return {from.id,      from.id,           from.type, from.zone, from.spot,
                from.session, from.sequence + 1, kToken,    {},        std::move(tasks)};
    }
    static TaskReport task(const bookkeeping::Placement& placement, TaskState state,
                           ExitReason why = ExitReason::none) {
        return {{placement.job->spec.id, placement.task, placement.attempt}, state, why, false};
    }
    void apply(Machine& from, const Report& report, MessageKind kind = MessageKind::report) {
        now += 1s;
        reconciler.apply(from, report, kind, now);
    }
    bookkeeping::Placement& sent(Machine& on, Job& job, std::uint32_t number) {
        auto& placement = place(on, job, number, PlacementState::sent);
        placement.sentSequence = on.sequence;
        return placement;
    }
};

}  // namespace

TEST_F(ReconcilerTest, AReportWithoutTheTaskSettlesAStart) {
    auto& job = accept(spec("wk-1"));
    auto& on = machine("m1");
    sent(on, job, 0);
    apply(on, message(on));
    EXPECT_EQ(count(on, job), 0u);
    EXPECT_TRUE(job.isWaiting(0));
}

// The start may still be on its way in the response to a report.
TEST_F(ReconcilerTest, AnAnswerToACommandSettlesNoStart) {
    auto& job = accept(spec("wk-1"));
    auto& on = machine("m1");
    sent(on, job, 0);
    apply(on, message(on), MessageKind::answer);
    EXPECT_EQ(count(on, job), 1u);
}

TEST_F(ReconcilerTest, WhatAMachineIsNotKnownToHaveIsTakenOver) {
    auto& job = accept(spec("wk-1"));
    auto& on = machine("m1");
    apply(on, message(on, {{{"wk-1", 2, 77}, TaskState::running, ExitReason::none, false}}));
    ASSERT_EQ(count(on, job), 1u);
    EXPECT_EQ(on.placements.begin()->second.attempt, 77u);
    EXPECT_EQ(job.run->running, 1u);
    EXPECT_TRUE(on.hasImage("class"));
}

TEST_F(ReconcilerTest, TasksOfAMachineThatHasNotShownTheTokenDoNotCount) {
    auto& job = accept(spec("wk-1"));
    auto& on = machine("m1");
    on.acknowledged = false;
    auto report = message(on, {{{"wk-1", 2, 77}, TaskState::running, ExitReason::none, false}});
    report.token = kToken - 1;
    apply(on, report);
    EXPECT_EQ(count(on, job), 0u);
    EXPECT_FALSE(on.acknowledged);
}

TEST_F(ReconcilerTest, ANewSessionHasNoneOfTheTasksBefore) {
    auto& job = accept(spec("wk-1"));
    auto& on = machine("m1");
    place(on, job, 0);
    place(on, job, 1, PlacementState::planned);
    auto report = message(on);
    report.session = 2;
    report.sequence = 1;
    apply(on, report);
    EXPECT_EQ(count(on, job), 1u);  // the planned one was never sent
    EXPECT_EQ(on.session, 2u);
}

TEST_F(ReconcilerTest, AnExitFreesTheTaskAndADoneOneIsToBeStored) {
    auto& job = accept(spec("wk-1"));
    auto& on = machine("m1");
    const auto done = task(place(on, job, 0), TaskState::exited, ExitReason::done);
    const auto stopped = task(place(on, job, 1), TaskState::exited, ExitReason::stopped);
    apply(on, message(on, {done, stopped}));
    EXPECT_EQ(count(on, job), 0u);
    EXPECT_TRUE(job.isFinished(0));
    EXPECT_FALSE(job.isDone(0));
    EXPECT_TRUE(job.isWaiting(1));
}

TEST_F(ReconcilerTest, AGangThatIsDoneIsDoneWhole) {
    auto& job = accept(spec("wk-1", Kind::gang));
    auto& on = machine("m1");
    apply(on, message(on, {task(place(on, job, 0), TaskState::exited, ExitReason::done)}));
    for (std::uint32_t each = 0; each < job.spec.tasks; ++each) EXPECT_TRUE(job.isFinished(each));
}

TEST_F(ReconcilerTest, ATaskDoneElsewhereIsStopped) {
    auto& job = accept(spec("wk-1"));
    auto& on = machine("m1");
    const auto running = task(place(on, job, 0), TaskState::running);
    job.finish(0);
    apply(on, message(on, {running}));
    EXPECT_EQ(countStopping(on), 1u);
}

TEST_F(ReconcilerTest, ATaskOfACancelledJobIsStopped) {
    auto& job = accept(spec("wk-1"));
    auto& on = machine("m1");
    const auto running = task(place(on, job, 0), TaskState::running);
    job.final = storage::Final::cancelled;
    apply(on, message(on, {running}));
    EXPECT_EQ(countStopping(on), 1u);
    EXPECT_EQ(stopper.takeUrgent(), std::set<std::string>{"m1"});
}

TEST_F(ReconcilerTest, StartsThatNeverArriveMakeAMachineUnreachableUntilOneDoes) {
    auto& job = accept(spec("wk-1"));
    auto& on = machine("m1");
    for (std::uint32_t i = 0; i < coordination::kMaxUndelivered; ++i) {
        EXPECT_FALSE(on.unreachableSince);
        sent(on, job, 0);
        apply(on, message(on));
    }
    EXPECT_TRUE(on.unreachableSince);
    apply(on, message(on, {task(sent(on, job, 0), TaskState::fetching)}));
    EXPECT_FALSE(on.unreachableSince);
}

TEST_F(ReconcilerTest, ALostTaskStopsAGangThatHasBegun) {
    auto& job = accept(spec("wk-1", Kind::gang));
    auto& on = machine("m1");
    auto& other = machine("m2");
    for (std::uint32_t each = 0; each < 2; ++each) place(on, job, each);
    for (std::uint32_t each = 2; each < 4; ++each) place(other, job, each);
    apply(on, message(on));
    EXPECT_EQ(count(on, job), 0u);
    EXPECT_EQ(countStopping(other), 2u);
    EXPECT_EQ(other.reservedFor, &job);  // for its next attempt
}

TEST_F(ReconcilerTest, FailuresOfAFewAreTheMachinesAndOfManyTheJobs) {
    auto& job = accept(spec("wk-1"));
    for (const char* id : {"m1", "m2", "m3"}) {
        auto& on = machine(id);
        apply(on, message(on, {task(place(on, job, 0), TaskState::exited, ExitReason::error)}));
    }
    EXPECT_EQ(fleet.find("m1")->errorJobs.size(), 1u);
    EXPECT_EQ(fleet.find("m2")->errorJobs.size(), 1u);
    EXPECT_EQ(fleet.find("m3")->errorJobs.size(), 0u);
    EXPECT_EQ(job.run->notBefore, now + 5s);
}

TEST_F(ReconcilerTest, ARecallStopsWhatWouldNotBeDone) {
    auto array = spec("wk-1");
    array.estimate = Seconds(100);
    auto& nearlyDone = accept(array);
    auto& begun = accept([&] {
        auto other = array;
        other.id = "wk-2";
        return other;
    }());
    auto& on = machine("m1");
    const auto old = task(place(on, nearlyDone, 0), TaskState::running);
    now += 60s;
    const auto fresh = task(place(on, begun, 0), TaskState::running);
    auto report = message(on, {old, fresh});
    report.notice = Seconds(15);
    apply(on, report);
    EXPECT_TRUE(on.draining);
    for (const auto& [key, placement] : on.placements) EXPECT_EQ(placement.stopping, key.job == &begun);
}

TEST_F(ReconcilerTest, NothingIsLeftOfAMachineWhoseLeaseIsOver) {
    auto& job = accept(spec("wk-1"));
    auto& on = machine("m1");
    fleet.setReconciled(on, false);
    place(on, job, 0);
    ends.endAll(on, now);
    EXPECT_TRUE(on.placements.empty());
    EXPECT_TRUE(on.reconciled);
    EXPECT_TRUE(job.isWaiting(0));
}

TEST(AttemptNumbersTest, ContainTheTokenAndRise) {
    AttemptNumbers numbers(3);
    const auto first = numbers.next();
    EXPECT_EQ(first >> 32, 3u);
    EXPECT_GT(numbers.next(), first);
    EXPECT_GT(AttemptNumbers(4).next(), numbers.next());
}

TEST(RemovedMachinesTest, WhatIsNoNewerThanTheLastMessageIsALateCopy) {
    RemovedMachines removed;
    bookkeeping::Machine machine;
    machine.id = "m1";
    machine.session = 2;
    machine.sequence = 5;
    removed.note(machine);
    Report report;
    report.machine = "m1";
    report.session = 2;
    report.sequence = 5;
    EXPECT_TRUE(removed.isLateCopy(report));
    report.sequence = 6;
    EXPECT_FALSE(removed.isLateCopy(report));
    report.machine = "m2";
    report.session = 1;
    EXPECT_FALSE(removed.isLateCopy(report));
}

TEST(RemovedMachinesTest, OfADeletedMachineAllIsLate) {
    RemovedMachines removed;
    removed.noteDeleted("m1");
    Report report;
    report.machine = "m1";
    report.session = 1'000'000;
    EXPECT_TRUE(removed.isLateCopy(report));
    EXPECT_TRUE(removed.isDeleted("m1"));
    bookkeeping::Machine machine;
    machine.id = "m1";
    removed.note(machine);  // does not bring it back
    EXPECT_TRUE(removed.isDeleted("m1"));
}

TEST(RemovedMachinesTest, AMachineThatIsBackHasItsCounters) {
    RemovedMachines removed;
    bookkeeping::Machine machine;
    machine.id = "m1";
    machine.session = 2;
    machine.sequence = 5;
    removed.note(machine);
    bookkeeping::Machine back;
    back.id = "m1";
    removed.restoreCounters(back);
    EXPECT_EQ(back.newestMessage(), machine.newestMessage());
}
