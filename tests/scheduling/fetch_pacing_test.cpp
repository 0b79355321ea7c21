#include "coordination/scheduling/fetch_pacing.h"

#include <gtest/gtest.h>

#include <memory>

#include "base/clock.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using coordination::FetchPacing;

namespace {

constexpr double kCacheGb = 10;

/// Machines have eight processors. Each task needs one processor and runs for ten seconds.
struct FetchPacingTest : testing::Test {
    protocol::Settings settings;
    protocol::Policy policy;
    protocol::MachineType type{"plain", 8, 0, 32, kCacheGb, 1, 1, 0.3, Seconds(10), {"a", "b"}};
    Fleet fleet;
    std::vector<std::unique_ptr<Job>> jobs;
    Time now{1000s};
    FetchPacing pacing{settings, policy};

    FetchPacingTest() {
        settings.heartbeatInterval = Seconds(2);
        policy.initialFetchEstimate = Seconds(5);
    }
    Machine& machine(const std::string& id, const std::string& zone, const std::vector<std::string>& images) {
        auto& machine = fleet.add(id, now);
        machine.type = type.name;
        machine.typeInfo = &type;
        machine.zone = zone;
        machine.lease.active = true;
        machine.agent.acknowledged = true;
        machine.lease.lastHeartbeat = now;
        for (const auto& image : images) fleet.recordImageUse(machine, image, 1, kCacheGb);
        return machine;
    }
    Job& job(const std::string& image, std::uint32_t tasks) {
        auto& job = *jobs.emplace_back(std::make_unique<Job>());
        job.spec.id = "job-" + std::to_string(jobs.size());
        job.spec.image = image;
        job.spec.tasks = tasks;
        job.spec.cpus = 1;
        job.spec.estimatedRunTime = Seconds(10);
        job.beginRun(bookkeeping::JobOrigin::accepted, now);
        return job;
    }
    void refresh() {
        std::vector<Job*> waiting;
        for (const auto& each : jobs) waiting.push_back(each.get());
        std::vector<const Machine*> up;
        for (const auto& [id, each] : fleet.machines())
            if (each->lease.active && each->agent.acknowledged) up.push_back(each.get());
        pacing.refresh(waiting, up, fleet, now);
    }
};

}  // namespace

// Md is M times the share of machines that are up without the image.
TEST_F(FetchPacingTest, AdmissionExpectsFetchesInProportionToMachinesWithoutTheImage) {
    machine("m1", "a", {"i"});
    machine("m2", "a", {});
    machine("m3", "b", {});
    machine("m4", "b", {"i"}).lease.active = false;  // not up, so it is not counted
    auto& paced = job("i", 30);
    refresh();
    pacing.admit(paced, fleet);
    EXPECT_TRUE(paced.run->admitted);
    EXPECT_NEAR(paced.run->expectedPacedFetches, 20, 1e-9);
}

TEST_F(FetchPacingTest, AdmissionNeedsAMachineThatIsUpAndHappensOnce) {
    auto& paced = job("i", 10);
    refresh();
    pacing.admit(paced, fleet);
    EXPECT_FALSE(paced.run->admitted);
    auto& first = machine("m1", "a", {});
    refresh();
    pacing.admit(paced, fleet);
    EXPECT_TRUE(paced.run->admitted);
    EXPECT_DOUBLE_EQ(paced.run->expectedPacedFetches, 10);
    fleet.recordImageUse(first, "i", 1, kCacheGb);
    refresh();
    pacing.admit(paced, fleet);
    EXPECT_DOUBLE_EQ(paced.run->expectedPacedFetches, 10);  // Md stays as set at admission
}

// Guards against a negative Md when more machines have the image than were up at the last refresh.
TEST_F(FetchPacingTest, ExpectedFetchesAreNeverNegative) {
    machine("m1", "a", {"i"});
    auto& paced = job("i", 10);
    refresh();
    machine("m2", "a", {"i"});
    pacing.admit(paced, fleet);
    EXPECT_DOUBLE_EQ(paced.run->expectedPacedFetches, 0);
}

// m/M >= md/Md: with M = 10 and Md = 5, one fetch is allowed for every two launches.
TEST_F(FetchPacingTest, FetchesKeepToTheirShareOfTheLaunches) {
    machine("m1", "a", {"i"});
    auto& withoutImage = machine("m2", "b", {});
    auto& paced = job("i", 10);
    refresh();
    pacing.admit(paced, fleet);
    ASSERT_DOUBLE_EQ(paced.run->expectedPacedFetches, 5);
    EXPECT_TRUE(pacing.allows(paced, withoutImage, now));  // 0/10 >= 0/5
    paced.run->launchedTasks = 1;
    paced.run->pacedFetches = 1;
    EXPECT_FALSE(pacing.allows(paced, withoutImage, now));  // 1/10 < 1/5
    paced.run->launchedTasks = 2;
    EXPECT_TRUE(pacing.allows(paced, withoutImage, now));  // 2/10 >= 1/5
    paced.run->pacedFetches = 2;
    EXPECT_FALSE(pacing.allows(paced, withoutImage, now));  // 2/10 < 2/5
}

// Md is 0 if every machine had the image at admission. Fetches are then not limited to a share of the
// launches.
TEST_F(FetchPacingTest, JobWithoutExpectedFetchesIsNotLimitedToAShare) {
    machine("m1", "a", {"i"});
    auto& paced = job("i", 10);
    refresh();
    pacing.admit(paced, fleet);
    ASSERT_DOUBLE_EQ(paced.run->expectedPacedFetches, 0);
    auto& later = machine("m2", "b", {});
    refresh();
    paced.run->pacedFetches = 3;
    EXPECT_TRUE(pacing.allows(paced, later, now));
}

// ts is the sum over a machine's images of the waiting work, divided by the processors of all machines that
// have the image. A machine with ts above E[ts] must not fetch.
TEST_F(FetchPacingTest, MachineWithMoreCachedWorkThanTheMeanFetchesNothing) {
    auto& busy = machine("m1", "a", {"x", "y"});
    auto& lighter = machine("m2", "a", {"y"});
    auto& idle = machine("m3", "b", {});
    job("x", 8);   // 80 s of work over 8 processors: 10 s on m1
    job("y", 16);  // 160 s over 16: 10 s each on m1 and m2; E[ts] = (20 + 10 + 0) / 3 = 10 s
    auto& other = job("z", 4);
    refresh();
    EXPECT_FALSE(pacing.allows(other, busy, now));
    EXPECT_TRUE(pacing.allows(other, lighter, now));  // its ts equals the mean
    EXPECT_TRUE(pacing.allows(other, idle, now));
    fleet.recordImageUse(lighter, "x", 1,
                         kCacheGb);  // x now takes 5 s on both; E[ts] is still 10 s, ts = 15 s
    refresh();
    EXPECT_FALSE(pacing.allows(other, lighter, now));
}

// tr >= min(E[tr], threshold): if the threshold is smaller, a zone may fetch again after the mean fetch time.
TEST_F(FetchPacingTest, ZoneFetchesAgainAfterTheMeanFetchTime) {
    auto& host = machine("m1", "a", {});
    machine("m2", "b", {});
    auto& paced = job("i", 100);
    refresh();
    pacing.recordFetch(paced, "b", now - 1h);  // E[tr] is at least half an hour
    pacing.recordFetch(paced, "a", now);
    EXPECT_EQ(paced.run->pacedFetches, 2u);
    EXPECT_FALSE(pacing.allows(paced, host, now));
    EXPECT_FALSE(pacing.allows(paced, host, now + 4900ms));
    EXPECT_TRUE(pacing.allows(paced, host, now + 5s));  // the policy's initialFetchEstimate
    pacing.recordFetchTime(Seconds(3));
    EXPECT_FALSE(pacing.allows(paced, host, now + 2900ms));
    EXPECT_TRUE(pacing.allows(paced, host, now + 3s));
}

// tr >= min(E[tr], threshold): if E[tr] is smaller, only a zone whose tr is at least E[tr] may fetch.
TEST_F(FetchPacingTest, OnlyZonesWithAtLeastTheMeanTimeSinceFetchMayFetch) {
    auto& first = machine("m1", "a", {});
    auto& second = machine("m2", "b", {});
    auto& paced = job("i", 100);
    refresh();
    pacing.recordFetch(paced, "a", now - 3s);
    pacing.recordFetch(paced, "b", now - 1s);
    EXPECT_TRUE(pacing.allows(paced, first, now));    // tr = 3 s, E[tr] = 2 s, threshold 5 s
    EXPECT_FALSE(pacing.allows(paced, second, now));  // tr = 1 s
}

TEST_F(FetchPacingTest, ZoneThatNeverFetchedMayFetchAtOnce) {
    machine("m1", "a", {});
    auto& second = machine("m2", "b", {});
    auto& paced = job("i", 100);
    refresh();
    pacing.recordFetch(paced, "a", now);
    EXPECT_TRUE(pacing.allows(paced, second, now));
}

// With one zone, tr equals E[tr], so the check of tr has no effect.
TEST_F(FetchPacingTest, SingleZoneIsNotDelayedByItsOwnFetches) {
    auto& host = machine("m1", "a", {});
    auto& paced = job("i", 100);
    refresh();
    pacing.recordFetch(paced, "a", now);
    EXPECT_TRUE(pacing.allows(paced, host, now));
}

// A partitioned zone would inflate E[tr], so only zones with a heartbeat in the last three heartbeat
// intervals count.
TEST_F(FetchPacingTest, ZoneWithoutRecentHeartbeatsDoesNotDelayTheOthers) {
    auto& first = machine("m1", "a", {});
    machine("m2", "b", {}).lease.lastHeartbeat = now - 6s;
    auto& paced = job("i", 100);
    pacing.recordFetch(paced, "a", now - 1s);
    pacing.recordFetch(paced, "b", now - 1h);
    refresh();
    EXPECT_TRUE(pacing.allows(paced, first, now));  // E[tr] is that of zone a alone
    fleet.find("m2")->lease.lastHeartbeat = now - 5900ms;
    refresh();
    EXPECT_FALSE(pacing.allows(paced, first, now));
}

TEST_F(FetchPacingTest, MeanFetchTimeMovesByATenthOfEachDifference) {
    EXPECT_EQ(pacing.expectedFetchTime(), Seconds(5));
    pacing.recordFetchTime(Seconds(10));
    EXPECT_DOUBLE_EQ(pacing.expectedFetchTime().count(), 10);  // the first counts in full
    pacing.recordFetchTime(Seconds(20));
    EXPECT_DOUBLE_EQ(pacing.expectedFetchTime().count(), 11);
}
