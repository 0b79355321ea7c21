#include "coordination/workers/heartbeat_reconciler.h"

#include <gtest/gtest.h>

#include "base/clock.h"
#include "coordination/workers/machine_tombstones.h"
#include "scheduling/placement_fixture.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using namespace std::chrono_literals;
using bookkeeping::PlacementState;
using coordination::AttemptIdGenerator;
using coordination::MachineTombstones;
using coordination::StatusSource;
using protocol::ExitReason;
using protocol::Heartbeat;
using protocol::TaskState;
using protocol::TaskStatus;

namespace {

class HeartbeatReconcilerTest : public PlacementFixture {
  protected:
    /// A status of the machine's current incarnation, newer than all previous ones.
    Heartbeat status(const Machine& sender, std::vector<TaskStatus> tasks = {}) const {
        return {sender.id,
                sender.id,
                sender.type,
                sender.zone,
                sender.spot,
                sender.agent.incarnation,
                sender.agent.sequence + 1,
                kToken,
                {},
                std::move(tasks)};
    }
    static TaskStatus task(const bookkeeping::Placement& placement, TaskState state,
                           ExitReason exitReason = ExitReason::none) {
        return {{placement.job->spec.id, placement.task, placement.attempt}, state, exitReason, false};
    }
    void apply(Machine& sender, const Heartbeat& heartbeat, StatusSource source = StatusSource::heartbeat) {
        now += 1s;
        reconciler.apply(sender, heartbeat, source, now);
    }
    bookkeeping::Placement& sent(Machine& host, Job& job, std::uint32_t number) {
        auto& placement = place(host, job, number, PlacementState::sent);
        placement.sentSequence = host.agent.sequence;
        return placement;
    }
};

}  // namespace

TEST_F(HeartbeatReconcilerTest, PlacementEndsIfHeartbeatLacksSentTask) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    sent(host, job, 0);
    apply(host, status(host));
    EXPECT_EQ(count(host, job), 0u);
    EXPECT_TRUE(job.isWaiting(0));
}

// The start may still be in flight in the response to a heartbeat, so a command answer that lacks the task
// does not show that the start was lost.
TEST_F(HeartbeatReconcilerTest, PlacementStaysIfCommandAnswerLacksSentTask) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    sent(host, job, 0);
    apply(host, status(host), StatusSource::answer);
    EXPECT_EQ(count(host, job), 1u);
}

TEST_F(HeartbeatReconcilerTest, UnknownAttemptInHeartbeatIsAdopted) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    apply(host, status(host, {{{"wk-1", 2, 77}, TaskState::running, ExitReason::none, false}}));
    ASSERT_EQ(count(host, job), 1u);
    EXPECT_EQ(host.placements.begin()->second.attempt, 77u);
    EXPECT_EQ(job.run->running, 1u);
    EXPECT_TRUE(host.hasImage("class"));
}

TEST_F(HeartbeatReconcilerTest, TasksWithOlderFencingTokenAreNotAdopted) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    host.agent.acknowledged = false;
    auto heartbeat = status(host, {{{"wk-1", 2, 77}, TaskState::running, ExitReason::none, false}});
    heartbeat.fencingToken = kToken - 1;
    apply(host, heartbeat);
    EXPECT_EQ(count(host, job), 0u);
    EXPECT_FALSE(host.agent.acknowledged);
}

TEST_F(HeartbeatReconcilerTest, NewIncarnationEndsAllButPlannedPlacements) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    place(host, job, 0);
    place(host, job, 1, PlacementState::planned);
    auto heartbeat = status(host);
    heartbeat.incarnation = 2;
    heartbeat.sequence = 1;
    apply(host, heartbeat);
    EXPECT_EQ(count(host, job), 1u);  // the planned placement was never sent
    EXPECT_EQ(host.agent.incarnation, 2u);
}

TEST_F(HeartbeatReconcilerTest, DoneTaskIsFinishedAndStoppedTaskWaitsAgain) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    const auto done = task(place(host, job, 0), TaskState::exited, ExitReason::done);
    const auto stopped = task(place(host, job, 1), TaskState::exited, ExitReason::stopped);
    apply(host, status(host, {done, stopped}));
    EXPECT_EQ(count(host, job), 0u);
    EXPECT_TRUE(job.isFinished(0));
    EXPECT_FALSE(job.isDone(0));
    EXPECT_TRUE(job.isWaiting(1));
}

TEST_F(HeartbeatReconcilerTest, OneDoneGangTaskFinishesAll) {
    auto& job = accept(spec("wk-1", JobKind::gang));
    auto& host = machine("m1");
    apply(host, status(host, {task(place(host, job, 0), TaskState::exited, ExitReason::done)}));
    for (std::uint32_t each = 0; each < job.spec.tasks; ++each) EXPECT_TRUE(job.isFinished(each));
}

TEST_F(HeartbeatReconcilerTest, RunningTaskAlreadyFinishedIsStopped) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    const auto running = task(place(host, job, 0), TaskState::running);
    job.setFinished(0);
    apply(host, status(host, {running}));
    EXPECT_EQ(countStopping(host), 1u);
}

TEST_F(HeartbeatReconcilerTest, RunningTaskOfCancelledJobIsStoppedAtOnce) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    const auto running = task(place(host, job, 0), TaskState::running);
    job.terminalState = storage::TerminalState::cancelled;
    apply(host, status(host, {running}));
    EXPECT_EQ(countStopping(host), 1u);
    EXPECT_EQ(terminator.takeMachinesWithNewStops(), std::set<std::string>{"m1"});
}

TEST_F(HeartbeatReconcilerTest, UndeliveredStartsMakeMachineUnreachableUntilOneArrives) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    for (std::uint32_t i = 0; i < coordination::kMaxUndeliveredResponses; ++i) {
        EXPECT_FALSE(host.agent.unreachableSince);
        sent(host, job, 0);
        apply(host, status(host));
    }
    EXPECT_TRUE(host.agent.unreachableSince);
    apply(host, status(host, {task(sent(host, job, 0), TaskState::fetching)}));
    EXPECT_FALSE(host.agent.unreachableSince);
}

TEST_F(HeartbeatReconcilerTest, LostTaskOfBegunGangStopsWholeGang) {
    auto& job = accept(spec("wk-1", JobKind::gang));
    auto& host = machine("m1");
    auto& other = machine("m2");
    for (std::uint32_t each = 0; each < 2; ++each) place(host, job, each);
    for (std::uint32_t each = 2; each < 4; ++each) place(other, job, each);
    apply(host, status(host));
    EXPECT_EQ(count(host, job), 0u);
    EXPECT_EQ(countStopping(other), 2u);
    EXPECT_EQ(other.reservation.job, &job);  // reserved for the next attempt of the gang
}

TEST_F(HeartbeatReconcilerTest, JobBacksOffAfterFailuresOnManyMachines) {
    auto& job = accept(spec("wk-1"));
    for (const char* id : {"m1", "m2", "m3"}) {
        auto& host = machine(id);
        apply(host, status(host, {task(place(host, job, 0), TaskState::exited, ExitReason::error)}));
    }
    EXPECT_EQ(fleet.find("m1")->history.failures.count(now), 1u);
    EXPECT_EQ(fleet.find("m2")->history.failures.count(now), 1u);
    EXPECT_EQ(fleet.find("m3")->history.failures.count(now), 0u);
    EXPECT_EQ(job.run->backoffUntil, now + 5s);
}

TEST_F(HeartbeatReconcilerTest, InterruptionNoticeStopsOnlyTasksNotDoneInTime) {
    auto array = spec("wk-1");
    array.estimatedRunTime = Seconds(100);
    auto& nearlyDone = accept(array);
    auto& begun = accept([&] {
        auto other = array;
        other.id = "wk-2";
        return other;
    }());
    auto& host = machine("m1");
    const auto nearlyDoneTask = task(place(host, nearlyDone, 0), TaskState::running);
    now += 60s;
    const auto begunTask = task(place(host, begun, 0), TaskState::running);
    auto heartbeat = status(host, {nearlyDoneTask, begunTask});
    heartbeat.interruptionNotice = Seconds(15);
    apply(host, heartbeat);
    EXPECT_TRUE(host.cloud.draining);
    for (const auto& [key, placement] : host.placements) EXPECT_EQ(placement.stopping, key.job == &begun);
}

TEST_F(HeartbeatReconcilerTest, LeaseExpiryEndsAllPlacements) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    fleet.setReconciled(host, false);
    place(host, job, 0);
    attemptCompletion.endAll(host, now);
    EXPECT_TRUE(host.placements.empty());
    EXPECT_TRUE(host.registry.reconciled);
    EXPECT_TRUE(job.isWaiting(0));
}

TEST(AttemptIdGeneratorTest, IdsContainTheTokenAndIncrease) {
    AttemptIdGenerator ids(3);
    const auto first = ids.next();
    EXPECT_EQ(first >> 32, 3u);
    EXPECT_GT(ids.next(), first);
    EXPECT_GT(AttemptIdGenerator(4).next(), ids.next());
}

TEST(MachineTombstonesTest, HeartbeatNotNewerThanTheLastIsStale) {
    MachineTombstones tombstones;
    bookkeeping::Machine machine;
    machine.id = "m1";
    machine.agent.incarnation = 2;
    machine.agent.sequence = 5;
    tombstones.add(machine);
    Heartbeat heartbeat;
    heartbeat.machine = "m1";
    heartbeat.incarnation = 2;
    heartbeat.sequence = 5;
    EXPECT_TRUE(tombstones.isStale(heartbeat));
    heartbeat.sequence = 6;
    EXPECT_FALSE(tombstones.isStale(heartbeat));
    heartbeat.machine = "m2";
    heartbeat.incarnation = 1;
    EXPECT_FALSE(tombstones.isStale(heartbeat));
}

TEST(MachineTombstonesTest, EveryHeartbeatOfDeletedMachineIsStale) {
    MachineTombstones tombstones;
    tombstones.addDeleted("m1");
    Heartbeat heartbeat;
    heartbeat.machine = "m1";
    heartbeat.incarnation = 1'000'000;
    EXPECT_TRUE(tombstones.isStale(heartbeat));
    EXPECT_TRUE(tombstones.isDeleted("m1"));
    bookkeeping::Machine machine;
    machine.id = "m1";
    tombstones.add(machine);  // adding it again does not clear the deletion
    EXPECT_TRUE(tombstones.isDeleted("m1"));
}

TEST(MachineTombstonesTest, CountersOfReturningMachineAreRestored) {
    MachineTombstones tombstones;
    bookkeeping::Machine machine;
    machine.id = "m1";
    machine.agent.incarnation = 2;
    machine.agent.sequence = 5;
    tombstones.add(machine);
    bookkeeping::Machine returned;
    returned.id = "m1";
    tombstones.restoreCounters(returned);
    EXPECT_EQ(returned.agent.latestVersion(), machine.agent.latestVersion());
}
