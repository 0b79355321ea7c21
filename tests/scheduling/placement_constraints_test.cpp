#include "coordination/scheduling/placement_constraints.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>

#include "base/clock.h"
#include "bookkeeping/machine_types.h"
#include "coordination/scheduling/job_queue.h"

using namespace burlpoint;
using namespace burlpoint::coordination;
using namespace std::chrono_literals;
using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::MachineTypes;
using bookkeeping::PlacementState;
using bookkeeping::RegistrationState;
using protocol::Priority;

namespace {

/// Machines of eight processors, and jobs of four tasks of two processors.
struct PlacementConstraintsTest : testing::Test {
    bookkeeping::MachineTypes types{{"plain", {"plain", 8, 0, 32, 50, 1, 1, 0.3, Seconds(10), {"a", "b"}}}};
    protocol::Team team{"t", 0, 0, 0, 0};
    Fleet fleet;
    std::vector<std::unique_ptr<Job>> jobs;
    Time now{1000s};

    Machine& machine(const std::string& id, const std::string& zone = "a") {
        auto& machine = fleet.add(id, now);
        machine.type = "plain";
        machine.typeInfo = &types.at("plain");
        machine.zone = zone;
        machine.agent.acknowledged = true;
        machine.lease.active = true;
        fleet.setReconciled(machine, true);
        fleet.setRegistration(machine, RegistrationState::stored);
        return machine;
    }
    Job& job(Priority priority = Priority::normal) {
        auto& job = *jobs.emplace_back(std::make_unique<Job>());
        job.spec.id = "job-" + std::to_string(jobs.size());
        job.spec.team = team.name;
        job.spec.tasks = 4;
        job.spec.cpus = 2;
        job.beginRun(bookkeeping::JobOrigin::accepted, now);
        job.run->team = &team;
        job.run->priority = priority;
        job.run->rank = static_cast<int>(rankOfPriority(priority));
        return job;
    }
    void place(Machine& machine, Job& job, std::uint32_t task) {
        fleet.place(machine, job, task, task + 1, PlacementState::running, now);
    }
    double availableCpus(const Machine& machine, const Job& job) {
        return availableCapacity(machine, job, now).cpus;
    }
};

}  // namespace

TEST_F(PlacementConstraintsTest, MachineThatIsUpAndRegisteredIsUsable) {
    EXPECT_TRUE(usable(machine("m"), now));
}

// The next leader would not know of its tasks.
TEST_F(PlacementConstraintsTest, MachineOutsideTheStoredRegistryIsNotUsable) {
    auto& unstored = machine("m");
    fleet.setRegistration(unstored, RegistrationState::writing);
    EXPECT_FALSE(usable(unstored, now));
}

TEST_F(PlacementConstraintsTest, MachineThatLeavesOrFailsOrIsUnreachableIsNotUsable) {
    const auto without = [&](const std::string& id, const std::function<void(Machine&)>& change) {
        auto& changed = machine(id);
        change(changed);
        return usable(changed, now);
    };
    EXPECT_FALSE(without("not acknowledged", [](Machine& m) { m.agent.acknowledged = false; }));
    EXPECT_FALSE(without("no heartbeats", [](Machine& m) { m.lease.active = false; }));
    EXPECT_FALSE(without("draining", [](Machine& m) { m.cloud.draining = true; }));
    EXPECT_FALSE(without("deletion requested", [](Machine& m) { m.cloud.deletionRequested = true; }));
    EXPECT_FALSE(without("failed", [](Machine& m) { m.cloud.failed = true; }));
    EXPECT_FALSE(without("interruption", [&](Machine& m) { m.cloud.interruptionAt = now + 1min; }));
    EXPECT_FALSE(without("unreachable", [&](Machine& m) { m.agent.unreachableSince = now; }));
    EXPECT_FALSE(without("unknown type", [](Machine& m) { m.typeInfo = nullptr; }));
    EXPECT_TRUE(without("one error", [](Machine& m) { m.history.failedJobs = {"a"}; }));
    EXPECT_FALSE(without("two errors", [](Machine& m) { m.history.failedJobs = {"a", "b"}; }));
}

TEST_F(PlacementConstraintsTest, MachineThatRefusedAStartIsUsableAfterItsBackoff) {
    auto& quiet = machine("m");
    quiet.history.startBackoffUntil = now + 2s;
    EXPECT_FALSE(usable(quiet, now));
    EXPECT_TRUE(usable(quiet, now + 2s));
}

TEST_F(PlacementConstraintsTest, OwnerRestrictsTypeZoneAndSpot) {
    auto& any = job();
    EXPECT_TRUE(bookkeeping::ownerAllows(any.spec, "plain", "a", false));
    EXPECT_FALSE(bookkeeping::ownerAllows(any.spec, "plain", "a", true));
    any.spec.spot = true;
    EXPECT_TRUE(bookkeeping::ownerAllows(any.spec, "plain", "a", true));
    auto& bound = job();
    bound.spec.zone = "a";
    bound.spec.types = std::vector<std::string>{"plain", "large"};
    EXPECT_TRUE(bookkeeping::ownerAllows(bound.spec, "large", "a", false));
    EXPECT_FALSE(bookkeeping::ownerAllows(bound.spec, "large", "b", false));
    EXPECT_FALSE(bookkeeping::ownerAllows(bound.spec, "gpu", "a", false));
}

TEST_F(PlacementConstraintsTest, SingleZoneJobStaysInItsZone) {
    auto& together = job();
    together.spec.singleZone = true;
    EXPECT_TRUE(zoneAllows(together, "a"));
    place(machine("m"), together, 0);
    EXPECT_TRUE(zoneAllows(together, "a"));
    EXPECT_FALSE(zoneAllows(together, "b"));
    place(machine("n", "b"), together, 1);  // an earlier leader may have placed it there
    EXPECT_FALSE(zoneAllows(together, "a"));
}

TEST_F(PlacementConstraintsTest, SpreadJobHasAtMostHalfOfItsTasksInAZone) {
    auto& apart = job();
    apart.spec.spreadZones = true;
    apart.spec.tasks = 3;
    auto& here = machine("m");
    place(here, apart, 0);
    EXPECT_TRUE(zoneAllows(apart, "a"));  // half of three, rounded up
    place(here, apart, 1);
    EXPECT_FALSE(zoneAllows(apart, "a"));
    EXPECT_TRUE(zoneAllows(apart, "b"));
}

TEST_F(PlacementConstraintsTest, InheritedJobIsBlockedByUnreconciledMachinesItMayBeOn) {
    auto& inherited = job();
    inherited.run->origin = bookkeeping::JobOrigin::inherited;
    auto& unheard = machine("m");
    EXPECT_FALSE(blockedByUnreconciled(inherited, fleet));
    fleet.setReconciled(unheard, false);
    EXPECT_TRUE(blockedByUnreconciled(inherited, fleet));
    EXPECT_FALSE(blockedByUnreconciled(job(), fleet));  // accepted under this leader
    inherited.spec.zone = "b";
    EXPECT_FALSE(blockedByUnreconciled(inherited, fleet));
}

TEST_F(PlacementConstraintsTest, TeamStaysWithinItsMaximumQuota) {
    team.maxCpus = 6;
    auto& limited = job();
    EXPECT_TRUE(withinTeamQuota(limited, 3, fleet, types));
    EXPECT_FALSE(withinTeamQuota(limited, 4, fleet, types));
    place(machine("m"), limited, 0);
    EXPECT_TRUE(withinTeamQuota(limited, 2, fleet, types));
    EXPECT_FALSE(withinTeamQuota(limited, 3, fleet, types));
    limited.spec.gpus = 1;
    team.maxGpus = 1;
    EXPECT_FALSE(withinTeamQuota(limited, 2, fleet, types));
}

TEST_F(PlacementConstraintsTest, UnreconciledMachineCountsAsFullyUsedByTheTeam) {
    team.maxCpus = 9;
    auto& limited = job();
    EXPECT_TRUE(withinTeamQuota(limited, 1, fleet, types));
    fleet.setReconciled(machine("m"), false);  // eight processors
    EXPECT_FALSE(withinTeamQuota(limited, 1, fleet, types));
    team.maxCpus = 0;  // no maximum
    EXPECT_TRUE(withinTeamQuota(limited, 1, fleet, types));
}

TEST_F(PlacementConstraintsTest, JobOfAnUnknownTeamMayStartNothing) {
    auto& strange = job();
    strange.run->team = nullptr;
    EXPECT_FALSE(withinTeamQuota(strange, 1, fleet, types));
}

TEST_F(PlacementConstraintsTest, AvailableCapacityIsWhatIsNotUsed) {
    auto& here = machine("m");
    auto& requester = job();
    EXPECT_DOUBLE_EQ(availableCpus(here, requester), 8);
    place(here, requester, 0);
    EXPECT_DOUBLE_EQ(availableCpus(here, requester), 6);
    here.typeInfo = nullptr;
    EXPECT_DOUBLE_EQ(availableCpus(here, requester), 0);
}

TEST_F(PlacementConstraintsTest, ReservedCapacityIsOnlyForTheHolderAndHigherRanks) {
    auto& here = machine("m");
    auto& holder = job(Priority::high);
    fleet.reserve(here, holder, now + 5s, bookkeeping::ReservationKind::waiting, 2);
    EXPECT_DOUBLE_EQ(availableCpus(here, holder), 8);
    EXPECT_DOUBLE_EQ(availableCpus(here, job(Priority::high)), 4);
    EXPECT_DOUBLE_EQ(availableCpus(here, job(Priority::low)), 4);
    EXPECT_DOUBLE_EQ(availableCpus(here, job(Priority::production)), 8);
    EXPECT_DOUBLE_EQ(availableCapacity(here, job(Priority::low), now + 5s).cpus, 8);  // lapsed
    holder.run->waiting = 0;
    EXPECT_DOUBLE_EQ(availableCpus(here, job(Priority::low)), 8);  // the holder has no waiting tasks
}

// Guaranteed tasks would take the capacity and be preempted again and again.
TEST_F(PlacementConstraintsTest, CapacityFreedByPreemptionIsNotForGuaranteedJobsOfNoHigherPriority) {
    auto& here = machine("m");
    auto& holder = job(Priority::high);
    auto& guaranteed = job(Priority::normal);
    guaranteed.run->rank = static_cast<int>(Rank::guaranteed);
    fleet.reserve(here, holder, now + 5s, bookkeeping::ReservationKind::preempting, 1);
    EXPECT_DOUBLE_EQ(availableCpus(here, guaranteed), 6);
    fleet.reserve(here, holder, now + 5s, bookkeeping::ReservationKind::waiting, 1);  // without preemption
    EXPECT_DOUBLE_EQ(availableCpus(here, guaranteed), 8);
}

TEST_F(PlacementConstraintsTest, CapacityWithPreemptionCountsLowerPrioritiesAndAllForAGuaranteedJob) {
    auto& here = machine("m");
    place(here, job(Priority::low), 0);
    place(here, job(Priority::normal), 0);
    place(here, job(Priority::high), 0);
    auto& requester = job(Priority::normal);
    EXPECT_DOUBLE_EQ(capacityWithPreemption(here, requester, now).cpus, 4);  // 2 are free, 2 of low priority
    requester.run->guaranteed = true;
    EXPECT_DOUBLE_EQ(capacityWithPreemption(here, requester, now).cpus, 8);
}
