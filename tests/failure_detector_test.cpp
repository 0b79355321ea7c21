#include "coordination/workers/failure_detector.h"

#include <gtest/gtest.h>

#include "base/clock.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using bookkeeping::Machine;
using coordination::FailureDetector;

namespace {

using Machines = std::vector<Machine*>;

struct SilenceMonitorTest : testing::Test {
    SilenceMonitorTest() {
        settings.heartbeatInterval = Seconds(2);  // silent after 4.5 s
        settings.workerLease = Seconds(30);       // given up after 12 s
        settings.peers.resize(2);                 // three nodes
    }

    protocol::Settings settings;
    bookkeeping::Fleet fleet;
    const Time began{1000s};
    Time now = began;
    std::uint64_t fencingToken = 5;
    std::optional<FailureDetector> made;

    /// Made on first use, so that a test can choose the fencing token before.
    FailureDetector& monitor() {
        if (!made) made.emplace(settings, fleet, fencingToken, began, 31s);
        return *made;
    }
    /// Its last heartbeat came now.
    Machine& reporting(const std::string& id) {
        auto& machine = fleet.add(id, now);
        machine.reconciled = true;
        machine.sendsHeartbeats = true;
        machine.lastHeartbeat = now;
        return machine;
    }
    /// An earlier leader's tasks may be on it.
    Machine& unheard(const std::string& id) {
        auto& machine = fleet.add(id, now);
        machine.reconciled = false;
        machine.lastHeartbeat = began;
        return machine;
    }
    FailureDetector::Findings findings() {
        const auto census = monitor().takeCensus(now);
        return monitor().evaluate(census, now);
    }
};

}  // namespace

TEST_F(SilenceMonitorTest, ChecksComeEveryHalfSecond) {
    EXPECT_TRUE(monitor().isDue(now));
    monitor().takeCensus(now);
    EXPECT_FALSE(monitor().isDue(now + 499ms));
    EXPECT_TRUE(monitor().isDue(now + 500ms));
}

TEST_F(SilenceMonitorTest, ASilentMachineIsProbedAndOneThatHeartbeatsIsNot) {
    auto& suspected = reporting("silent");
    now += 4600ms;
    reporting("heard");
    EXPECT_EQ(findings().toProbe, Machines{&suspected});
    suspected.probing = true;
    EXPECT_TRUE(findings().toProbe.empty()) << "one probe at a time";
}

TEST_F(SilenceMonitorTest, ATakeOverWaitsForHeartbeatsBeforeItProbes) {
    auto& machine = unheard("m1");
    now = began + 1500ms;
    EXPECT_TRUE(findings().toProbe.empty());
    now = began + 1501ms;
    EXPECT_EQ(findings().toProbe, Machines{&machine});
}

TEST_F(SilenceMonitorTest, AMachineThatNoProbeReachesIsGivenUp) {
    auto& machine = unheard("m1");
    now = began + 12s;
    EXPECT_TRUE(findings().failedMachines.empty());
    now = began + 12001ms;
    EXPECT_EQ(findings().failedMachines, Machines{&machine});
    machine.probedAt = now - 1s;
    EXPECT_TRUE(findings().failedMachines.empty()) << "it answers";
    machine.probedAt = {};
    machine.deletionRequested = true;
    EXPECT_TRUE(findings().failedMachines.empty()) << "it was given up before";
}

TEST_F(SilenceMonitorTest, ASilentMachineWithoutTasksIsOnlyProbed) {
    reporting("m1");
    now += 20s;
    const auto found = findings();
    EXPECT_EQ(found.toProbe.size(), 1u);
    EXPECT_TRUE(found.failedMachines.empty());
}

// A machine may report and not get what it is sent.
TEST_F(SilenceMonitorTest, AnUnreachableMachineCountsAsSilent) {
    auto& unreachable = reporting("unreachable");
    unreachable.unreachableSince = now;
    now += 13s;
    unreachable.lastHeartbeat = now;
    const auto census = monitor().takeCensus(now);
    EXPECT_EQ(census.suspected, 1u);
    EXPECT_EQ(monitor().evaluate(census, now).failedMachines, Machines{&unreachable});
}

TEST_F(SilenceMonitorTest, ManyMachinesAtOnceAreNotGivenUp) {
    for (const auto* id : {"m1", "m2", "m3"}) unheard(id);
    now = began + 13s;
    for (int i = 0; i < 8; ++i) reporting("up" + std::to_string(i));
    EXPECT_TRUE(findings().failedMachines.empty()) << "three of eleven";
    reporting("up8");
    EXPECT_EQ(findings().failedMachines.size(), 3u) << "three of twelve";
}

TEST_F(SilenceMonitorTest, ALeaseThatIsOverIsFoundOnce) {
    auto& machine = reporting("m1");
    machine.leaseUntil = now + 30s;
    now += 30s;
    EXPECT_TRUE(monitor().takeCensus(now).expired.empty());
    now += 1ms;
    EXPECT_EQ(monitor().takeCensus(now).expired, Machines{&machine});
    machine.sendsHeartbeats = false;  // as the leader clears it
    EXPECT_TRUE(monitor().takeCensus(now).expired.empty());
}

TEST_F(SilenceMonitorTest, ALeaderThatNobodyReachesMakesWay) {
    unheard("m1");
    unheard("m2");
    now = began + 10500ms;  // patience of 4.5 s and 6 s
    EXPECT_FALSE(findings().resignation);
    now += 1ms;
    EXPECT_TRUE(findings().resignation);
}

TEST_F(SilenceMonitorTest, SomeLeaderStaysUntilTheLeasesAreOver) {
    fencingToken = 8;  // one leadership in four, with three nodes
    unheard("m1");
    unheard("m2");
    now = began + 51s;  // the leases and 20 s
    EXPECT_FALSE(findings().resignation);
    now += 1ms;
    EXPECT_TRUE(findings().resignation);
    monitor().noteHeartbeat(now);
    EXPECT_FALSE(findings().resignation);
}

TEST_F(SilenceMonitorTest, ALeaderThatHasHeardWorkersDoesNotStayWithoutThem) {
    fencingToken = 8;
    reporting("m1");
    reporting("m2");
    monitor().noteHeartbeat(now);
    now += 10501ms;
    EXPECT_TRUE(findings().resignation);
}

TEST_F(SilenceMonitorTest, SilenceWhileThisNodeStoodStillIsItsOwn) {
    auto& first = reporting("m1");
    reporting("m2");
    monitor().noteHeartbeat(now);
    monitor().noteTick(now);
    now += 20s;
    monitor().noteTick(now);
    EXPECT_EQ(first.lastHeartbeat, now - 2s);
    const auto found = findings();
    EXPECT_TRUE(found.toProbe.empty());
    EXPECT_FALSE(found.resignation);
}
