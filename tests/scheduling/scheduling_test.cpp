// Tests which tasks start with the response to a heartbeat: degraded-first scheduling, placement constraints
// and the look-up of machines that have an image.
#include <gtest/gtest.h>

#include "base/clock.h"
#include "scheduling/placement_fixture.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using namespace std::chrono_literals;
using bookkeeping::PlacementState;

namespace {

using Names = std::vector<std::string>;

class SchedulerTest : public PlacementFixture {};
class MayStartTest : public PlacementFixture {
  protected:
    bool mayStart(const Job& job, const Machine& host) const { return constraints.mayStart(job, host, now); }
};
class ImageLocalityTest : public PlacementFixture {};

}  // namespace

// Tests of degraded-first scheduling.

TEST_F(SchedulerTest, CachedTasksFillAMachineThatHasTheImage) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    addCachedImage(host, job);
    EXPECT_EQ(schedule(host), (Names{"wk-1/0", "wk-1/1", "wk-1/2", "wk-1/3"}));
    EXPECT_EQ(job.run->launchedTasks, 4u);
    EXPECT_EQ(job.run->pacedFetches, 0u);
}

TEST_F(SchedulerTest, StartRecordsTheHeartbeatThatItAnswers) {
    accept(spec("wk-1"));
    auto& host = machine("m1");
    host.agent.sequence = 7;
    ASSERT_FALSE(schedule(host).empty());
    for (const auto& [key, placement] : host.placements) {
        EXPECT_EQ(placement.state, PlacementState::sent);
        EXPECT_EQ(placement.sentSequence, 7u);
    }
}

// The machines with the images are expected to send heartbeats soon and have capacity for three of the four
// tasks of each job.
TEST_F(SchedulerTest, OnlyTasksThatDoNotFitOnMachinesWithTheImageFetch) {
    auto other = spec("wk-2");
    other.image = "other";
    Job* jobs[] = {&accept(spec("wk-1")), &accept(other)};
    for (const auto* job : jobs) {
        auto& cached = machine("cached-" + job->spec.image);
        addCachedImage(cached, *job);
        auto busy = spec("wk-20" + std::to_string(fleet.machines().size()));
        busy.tasks = 1;
        place(cached, accept(busy), 0);
    }
    EXPECT_EQ(schedule(machine("m1")), (Names{"wk-1/0", "wk-2/0"}));
    for (const auto* job : jobs) EXPECT_EQ(job->run->pacedFetches, 1u);
}

TEST_F(SchedulerTest, LeftoverCapacityTakesFetchingTasks) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    EXPECT_EQ(schedule(host).size(), 4u);
    EXPECT_EQ(job.run->pacedFetches, 1u);  // all four tasks share one fetch
}

TEST_F(SchedulerTest, LeftoverCapacityStaysFreeWhileMachinesWithTheImageSuffice) {
    auto& job = accept(spec("wk-1"));
    addCachedImage(machine("cached"), job);
    EXPECT_EQ(schedule(machine("m1")), Names{});
}

TEST_F(SchedulerTest, FetchOfAHigherRankComesBeforeCachedTasksOfALowerRank) {
    auto low = spec("wk-101");
    auto high = spec("wk-102");
    high.priority = Priority::high;
    high.image = "high";
    auto& host = machine("m1");
    addCachedImage(host, accept(low));
    accept(high);
    EXPECT_EQ(schedule(host), (Names{"wk-102/0", "wk-102/1", "wk-102/2", "wk-102/3"}));
}

TEST_F(SchedulerTest, PlannedGangTasksStartThoughTheMachineIsFull) {
    auto gang = spec("wk-103", JobKind::gang);
    gang.tasks = 2;
    gang.cpus = 4;
    accept(gang);
    auto& host = machine("m1");
    refresh();
    gangPlanner.plan(now);
    EXPECT_EQ(schedule(host), (Names{"wk-103/0", "wk-103/1"}));
    EXPECT_EQ(schedule(host), Names{});  // the starts have been sent
}

TEST_F(SchedulerTest, GangOfSeveralTasksIsNotStartedTaskByTask) {
    accept(spec("wk-103", JobKind::gang));
    EXPECT_EQ(schedule(machine("m1")), Names{});
}

TEST_F(SchedulerTest, FreedCapacityIsReservedForAHighPriorityJob) {
    auto high = spec("wk-102");
    high.priority = Priority::high;
    high.cpus = 8;
    auto& job = accept(high);
    auto& host = machine("m1");
    place(host, accept(spec("wk-101")), 0);
    EXPECT_EQ(schedule(host), Names{});
    EXPECT_EQ(host.reservation.job, &job);
    EXPECT_TRUE(host.reservation.withoutPreemption);
}

// Tests of placement constraints.

TEST_F(MayStartTest, OwnerConstraintsOnTypeZoneAndSpotAreKept) {
    auto restricted = spec("wk-1");
    restricted.types = Names{"gpu"};
    restricted.zone = "b";
    const auto& job = accept(restricted);
    EXPECT_TRUE(mayStart(job, machine("m1", "b", "gpu")));
    EXPECT_FALSE(mayStart(job, machine("m2", "a", "gpu")));
    EXPECT_FALSE(mayStart(job, machine("m3", "b", "plain")));
    auto& spot = machine("m4", "b", "gpu");
    spot.spot = true;
    EXPECT_FALSE(mayStart(job, spot));
}

TEST_F(MayStartTest, JobThatIsOverOrBackingOffOrHasNothingWaitingStartsNothing) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    ASSERT_TRUE(mayStart(job, host));
    job.run->backoffUntil = now + 1s;
    EXPECT_FALSE(mayStart(job, host));
    job.run->backoffUntil = now;
    for (std::uint32_t task = 0; task < job.spec.tasks; ++task) place(host, job, task);
    EXPECT_FALSE(mayStart(job, host));
    job.terminalState = storage::TerminalState::cancelled;
    EXPECT_FALSE(mayStart(job, machine("m2")));
}

TEST_F(MayStartTest, JobAvoidsAMachineForAMinuteAfterAFailureThere) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    job.run->failures.record("m1", now);
    EXPECT_FALSE(mayStart(job, host));
    EXPECT_TRUE(mayStart(job, machine("m2")));
    now += 60s;
    EXPECT_TRUE(mayStart(job, host));
}

// A job that failed on three machines is the likely cause itself, and would soon find no machine if it
// avoided them.
TEST_F(MayStartTest, JobThatFailedOnThreeMachinesAvoidsNone) {
    auto& job = accept(spec("wk-1"));
    auto& host = machine("m1");
    for (const char* id : {"m1", "m2", "m3"}) job.run->failures.record(id, now);
    EXPECT_TRUE(mayStart(job, host));
}

// Tests of the preference for machines that have the image.

TEST_F(ImageLocalityTest, CapacityCountsOnlyMachinesWithTheImageThatHeartbeatSoon) {
    auto wide = spec("wk-1");
    wide.tasks = 20;
    auto& job = accept(wide);
    auto& cached = machine("cached");
    addCachedImage(cached, job);
    machine("without");
    EXPECT_EQ(images.capacityWithImage(job, now), 4u);
    now += 250ms;  // the cached result has expired
    cached.lease.lastHeartbeat = now - 4s;
    EXPECT_EQ(images.capacityWithImage(job, now), 0u);
}

TEST_F(ImageLocalityTest, CapacityIsCachedForAQuarterOfASecond) {
    auto& job = accept(spec("wk-1"));
    addCachedImage(machine("m1"), job);
    images.capacityWithImage(job, now);
    const auto scansBefore = scans.total();
    images.capacityWithImage(job, now + 249ms);
    EXPECT_EQ(scans.total(), scansBefore);
    images.capacityWithImage(job, now + 250ms);
    EXPECT_GT(scans.total(), scansBefore);
}

TEST_F(ImageLocalityTest, ShortWaitObjectiveWaitsForAMachineThatHasTheImage) {
    settings.objectives = {{"wait", "class", Seconds(3)}};
    auto& job = accept(spec("wk-1", JobKind::service));
    EXPECT_FALSE(images.waitsForImage(job, now));  // no machine has the image
    now += 250ms;
    auto& cached = machine("cached");
    addCachedImage(cached, job);
    EXPECT_TRUE(images.waitsForImage(job, now));
    EXPECT_FALSE(images.waitsForImage(job, now + 3s));  // the objective is missed anyway
}

TEST_F(ImageLocalityTest, LongWaitObjectiveAllowsAFetch) {
    settings.objectives = {{"wait", "class", Seconds(30)}};
    auto& job = accept(spec("wk-1"));
    addCachedImage(machine("cached"), job);
    EXPECT_FALSE(images.waitsForImage(job, now));
}

TEST_F(ImageLocalityTest, WithoutPreemptionNoJobWaitsForAnImage) {
    policy.preempt = false;
    settings.objectives = {{"wait", "class", Seconds(3)}};
    auto& job = accept(spec("wk-1", JobKind::service));
    addCachedImage(machine("cached"), job);
    EXPECT_FALSE(images.waitsForImage(job, now));
}
