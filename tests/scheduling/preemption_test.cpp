#include "coordination/scheduling/preemption.h"

#include <gtest/gtest.h>

#include "scheduling/placement_fixture.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using namespace std::chrono_literals;
using bookkeeping::Placement;
using coordination::bestGangCapacity;
using coordination::mayPreempt;
using coordination::planPreemption;

namespace {

class PreemptionTest : public PlacementFixture {
  protected:
    Job& acceptWith(const std::string& id, Priority priority, JobKind kind = JobKind::array,
                    double cpus = 2) {
        auto jobSpec = spec(id, kind);
        jobSpec.priority = priority;
        jobSpec.cpus = cpus;
        jobSpec.image = id;
        auto& job = accept(jobSpec);
        job.run->priority = priority;
        return job;
    }
    /// Fills a machine with tasks of a low-priority job.
    Job& fill(Machine& host, const std::string& id) {
        auto& job = acceptWith(id, Priority::low);
        for (std::uint32_t task = 0; task < job.spec.tasks; ++task) place(host, job, task);
        return job;
    }
    bool mayBePreempted(const Placement& placement, const Job& job) const {
        return mayPreempt(placement, job, fleet, settings, now);
    }
    void preemptForWaitingJobs() {
        now += 10s;  // every job preempts after a shorter wait
        refresh();
        preemption.preemptForWaitingJobs(now);
    }
};

}  // namespace

TEST_F(PreemptionTest, LowerPriorityIsPreemptedAndEqualPriorityIsNot) {
    auto& host = machine("m1");
    auto& normal = acceptWith("wk-1", Priority::normal);
    const auto& placement = place(host, normal, 0);
    EXPECT_TRUE(mayBePreempted(placement, acceptWith("wk-2", Priority::high)));
    EXPECT_FALSE(mayBePreempted(placement, acceptWith("wk-3", Priority::normal)));
    EXPECT_FALSE(mayBePreempted(placement, normal));
}

TEST_F(PreemptionTest, ReplicasAndLargerGangsAreNeverPreempted) {
    auto& host = machine("m1");
    auto& high = acceptWith("wk-1", Priority::high);
    EXPECT_FALSE(mayBePreempted(place(host, acceptWith("wk-2", Priority::low, JobKind::service), 0), high));
    EXPECT_FALSE(mayBePreempted(place(host, acceptWith("wk-3", Priority::low, JobKind::gang), 0), high));
}

TEST_F(PreemptionTest, GuaranteedJobPreemptsWhatAnotherTeamHasBeyondItsQuota) {
    auto borrowing = spec("wk-1");
    borrowing.team = "t";
    const auto& borrowed = place(machine("m1"), accept(borrowing), 0);
    auto wanting = spec("wk-2");
    wanting.team = "guaranteed";
    auto& job = accept(wanting);
    EXPECT_FALSE(mayBePreempted(borrowed, job));
    job.run->guaranteed = true;
    EXPECT_TRUE(mayBePreempted(borrowed, job));
}

TEST_F(PreemptionTest, ProtectedStartIsPreemptedByProductionOnly) {
    auto& low = acceptWith("wk-1", Priority::low);
    const auto& placement = place(machine("m1"), low, 0);
    low.run->firstOverdueTask = 0;
    EXPECT_FALSE(mayBePreempted(placement, acceptWith("wk-2", Priority::high)));
    EXPECT_TRUE(mayBePreempted(placement, acceptWith("wk-3", Priority::production)));
    now += 30s;
    EXPECT_TRUE(mayBePreempted(placement, *replica.find("wk-2")));
}

TEST_F(PreemptionTest, VictimsAreTheTasksThatRanLeastAndNoMoreThanNeeded) {
    auto& host = machine("m1");
    auto& low = acceptWith("wk-1", Priority::low);
    for (std::uint32_t task = 0; task < 4; ++task) {
        place(host, low, task);
        now += 40s;
    }
    const auto plan =
        planPreemption(host, acceptWith("wk-2", Priority::high, JobKind::array, 4), 1, fleet, settings, now);
    ASSERT_TRUE(plan);
    ASSERT_EQ(plan->victims.size(), 2u);
    EXPECT_EQ(plan->victims[0]->task, 3u);
    EXPECT_EQ(plan->victims[1]->task, 2u);
}

TEST_F(PreemptionTest, NoPlanIfPreemptionCannotFreeEnoughCapacity) {
    auto& host = machine("m1");
    fill(host, "wk-1");
    const auto& job = acceptWith("wk-2", Priority::high, JobKind::array, 4);
    EXPECT_TRUE(planPreemption(host, job, 2, fleet, settings, now));
    EXPECT_FALSE(planPreemption(host, job, 3, fleet, settings, now));
}

TEST_F(PreemptionTest, CapacityIsFreedAndReservedForAHighPriorityJob) {
    auto& host = machine("m1");
    fill(host, "wk-1");
    auto& job = acceptWith("wk-2", Priority::high, JobKind::array, 4);
    preemptForWaitingJobs();
    EXPECT_EQ(countStopping(host), 2u);
    EXPECT_EQ(host.reservation.job, &job);
    EXPECT_EQ(terminator.takeMachinesWithNewStops(), std::set<std::string>{"m1"});
}

TEST_F(PreemptionTest, NothingIsPreemptedWhileCapacityIsFree) {
    auto& host = machine("m1");
    fill(host, "wk-1");
    machine("m2");
    machine("m3");
    acceptWith("wk-2", Priority::high, JobKind::array, 4);
    preemptForWaitingJobs();
    EXPECT_EQ(countStopping(host), 0u);
}

TEST_F(PreemptionTest, NothingIsPreemptedBeforeTheJobHasWaitedLongEnough) {
    auto& host = machine("m1");
    fill(host, "wk-1");
    acceptWith("wk-2", Priority::high);
    now += 2s;  // the job waits 3 s before it preempts
    refresh();
    preemption.preemptForWaitingJobs(now);
    EXPECT_EQ(countStopping(host), 0u);
}

TEST_F(PreemptionTest, GangPreemptsForAllItsTasksOrNotAtAll) {
    auto& one = machine("m1");
    fill(one, "wk-1");
    auto& job = acceptWith("wk-2", Priority::high, JobKind::gang, 4);
    preemptForWaitingJobs();
    EXPECT_EQ(countStopping(one), 0u);
    auto& two = machine("m2");
    fill(two, "wk-3");
    preemptForWaitingJobs();
    EXPECT_EQ(countStopping(one) + countStopping(two), 8u);
    EXPECT_EQ(one.reservation.job, &job);
    EXPECT_EQ(two.reservation.job, &job);
}

// A protected start is part of the capacity that counts as preemptible, but it may not be preempted, so the
// plans do not cover the whole gang. No task may be preempted for the gang then.
TEST_F(PreemptionTest, NothingIsPreemptedForAGangThatAProtectedStartBlocks) {
    auto& one = machine("m1");
    auto& two = machine("m2");
    fill(one, "wk-1");
    acceptWith("wk-2", Priority::high, JobKind::gang, 4);
    auto& low = fill(two, "wk-3");
    low.run->firstOverdueTask = 0;
    preemptForWaitingJobs();
    EXPECT_EQ(countStopping(one) + countStopping(two), 0u);
}

TEST_F(PreemptionTest, BestGangCapacityIsThatOfTheZoneWithTheMost) {
    auto restricted = spec("wk-1", JobKind::gang);
    restricted.singleZone = true;
    const auto& job = accept(restricted);
    machine("m1", "a");
    auto& full = machine("m2", "b");
    fill(full, "wk-2");
    const auto best = [&] { return bestGangCapacity(job, fleet, settings.zones, constraints, scans, now); };
    EXPECT_EQ(best().zone, "a");
    EXPECT_EQ(best().free, 4u);
    EXPECT_EQ(best().withPreemption, 4u);
    fill(*fleet.find("m1"), "wk-3");
    EXPECT_EQ(best().withPreemption, 4u);  // by preempting the low-priority tasks
    EXPECT_EQ(best().free, 0u);
    EXPECT_EQ(best().withReplicasOnly, 4u);
}
