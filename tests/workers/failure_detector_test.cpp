#include "coordination/workers/failure_detector.h"

#include <gtest/gtest.h>

#include "base/clock.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using bookkeeping::Machine;
using coordination::FailureDetector;
using coordination::Isolation;

namespace {

using Machines = std::vector<Machine*>;

struct FailureDetectorTest : testing::Test {
    FailureDetectorTest() {
        settings.heartbeatInterval = Seconds(2);  // a machine is suspected after 4.5 s
        settings.workerLease = Seconds(30);       // a machine has failed after 12 s
        settings.peers.resize(2);                 // three controllers
    }

    protocol::Settings settings;
    bookkeeping::Fleet fleet;
    const Time leadershipStart{1000s};
    Time now = leadershipStart;
    std::uint64_t fencingToken = 5;
    std::optional<FailureDetector> created;

    /// The detector is created on first use, so that a test can set the fencing token before.
    FailureDetector& detector() {
        if (!created) created.emplace(settings, fleet, fencingToken, leadershipStart, 31s);
        return *created;
    }
    /// Adds a reconciled machine whose last heartbeat arrived at `now`.
    Machine& addSendingMachine(const std::string& id) {
        auto& machine = fleet.add(id, now);
        machine.registry.reconciled = true;
        machine.lease.active = true;
        machine.lease.lastHeartbeat = now;
        return machine;
    }
    /// Adds a machine that may hold tasks of an earlier leader.
    Machine& addUnreconciledMachine(const std::string& id) {
        auto& machine = fleet.add(id, now);
        machine.registry.reconciled = false;
        machine.lease.lastHeartbeat = leadershipStart;
        return machine;
    }
    FailureDetector::Findings findings() {
        const auto summary = detector().summarizeHealth(now);
        return detector().evaluate(summary, now);
    }
};

}  // namespace

TEST_F(FailureDetectorTest, EvaluationIsDueEveryHalfSecond) {
    EXPECT_TRUE(detector().isEvaluationDue(now));
    detector().summarizeHealth(now);
    EXPECT_FALSE(detector().isEvaluationDue(now + 499ms));
    EXPECT_TRUE(detector().isEvaluationDue(now + 500ms));
}

TEST_F(FailureDetectorTest, OnlySuspectedMachineIsProbed) {
    auto& suspected = addSendingMachine("suspected");
    now += 4600ms;
    addSendingMachine("alive");
    EXPECT_EQ(findings().toProbe, Machines{&suspected});
    suspected.agent.probing = true;
    EXPECT_TRUE(findings().toProbe.empty()) << "only one probe is in flight per machine";
}

TEST_F(FailureDetectorTest, ProbesAreDelayedAfterLeadershipBegins) {
    auto& machine = addUnreconciledMachine("m1");
    now = leadershipStart + 1500ms;
    EXPECT_TRUE(findings().toProbe.empty());
    now = leadershipStart + 1501ms;
    EXPECT_EQ(findings().toProbe, Machines{&machine});
}

TEST_F(FailureDetectorTest, MachineWithoutProbeAnswerHasFailed) {
    auto& machine = addUnreconciledMachine("m1");
    now = leadershipStart + 12s;
    EXPECT_TRUE(findings().failedMachines.empty());
    now = leadershipStart + 12001ms;
    EXPECT_EQ(findings().failedMachines, Machines{&machine});
    machine.agent.probedAt = now - 1s;
    EXPECT_TRUE(findings().failedMachines.empty()) << "it has answered a probe";
    machine.agent.probedAt = {};
    machine.cloud.deletionRequested = true;
    EXPECT_TRUE(findings().failedMachines.empty()) << "its deletion was requested before";
}

TEST_F(FailureDetectorTest, SuspectedMachineWithoutTasksIsOnlyProbed) {
    addSendingMachine("m1");
    now += 20s;
    const auto found = findings();
    EXPECT_EQ(found.toProbe.size(), 1u);
    EXPECT_TRUE(found.failedMachines.empty());
}

// An unreachable machine sends heartbeats, but does not receive the responses and commands sent to it.
TEST_F(FailureDetectorTest, UnreachableMachineFailsDespiteHeartbeats) {
    auto& unreachable = addSendingMachine("unreachable");
    unreachable.agent.unreachableSince = now;
    now += 13s;
    unreachable.lease.lastHeartbeat = now;
    const auto summary = detector().summarizeHealth(now);
    EXPECT_EQ(summary.suspected, 1u);
    EXPECT_EQ(detector().evaluate(summary, now).failedMachines, Machines{&unreachable});
}

TEST_F(FailureDetectorTest, NoMachineFailsWhileManyAreSuspected) {
    for (const auto* id : {"m1", "m2", "m3"}) addUnreconciledMachine(id);
    now = leadershipStart + 13s;
    for (int i = 0; i < 8; ++i) addSendingMachine("up" + std::to_string(i));
    EXPECT_TRUE(findings().failedMachines.empty()) << "three of eleven";
    addSendingMachine("up8");
    EXPECT_EQ(findings().failedMachines.size(), 3u) << "three of twelve";
}

TEST_F(FailureDetectorTest, ExpiredLeaseIsReportedUntilInactive) {
    auto& machine = addSendingMachine("m1");
    machine.lease.until = now + 30s;
    now += 30s;
    EXPECT_TRUE(detector().summarizeHealth(now).expired.empty());
    now += 1ms;
    EXPECT_EQ(detector().summarizeHealth(now).expired, Machines{&machine});
    machine.lease.active = false;  // as the leader does for an expired lease
    EXPECT_TRUE(detector().summarizeHealth(now).expired.empty());
}

TEST_F(FailureDetectorTest, LeaderWithoutHeartbeatsIsIsolated) {
    addUnreconciledMachine("m1");
    addUnreconciledMachine("m2");
    now = leadershipStart + 10500ms;  // the suspicion timeout of 4.5 s plus 6 s
    EXPECT_EQ(findings().isolation, Isolation::none);
    now += 1ms;
    EXPECT_EQ(findings().isolation, Isolation::lostWorkers);
}

TEST_F(FailureDetectorTest, StayingLeaderIsIsolatedAfterWorkerLeases) {
    fencingToken = 8;  // with three controllers, one leadership in four stays: 8 is a multiple of 4
    addUnreconciledMachine("m1");
    addUnreconciledMachine("m2");
    now = leadershipStart + 51s;  // the maximum lease duration of 31 s plus 20 s
    EXPECT_EQ(findings().isolation, Isolation::none);
    now += 1ms;
    EXPECT_EQ(findings().isolation, Isolation::neverReached);
    detector().recordHeartbeat(now);
    EXPECT_EQ(findings().isolation, Isolation::none);
}

TEST_F(FailureDetectorTest, LeaderThatLosesItsWorkersDoesNotStay) {
    fencingToken = 8;
    addSendingMachine("m1");
    addSendingMachine("m2");
    detector().recordHeartbeat(now);
    now += 10501ms;
    EXPECT_EQ(findings().isolation, Isolation::lostWorkers);
}

TEST_F(FailureDetectorTest, NoMachineIsSuspectedAfterControllerSuspension) {
    auto& first = addSendingMachine("m1");
    addSendingMachine("m2");
    detector().recordHeartbeat(now);
    detector().recordTick(now);
    now += 20s;
    detector().recordTick(now);
    EXPECT_EQ(first.lease.lastHeartbeat, now - 2s);
    const auto found = findings();
    EXPECT_TRUE(found.toProbe.empty());
    EXPECT_EQ(found.isolation, Isolation::none);
}
