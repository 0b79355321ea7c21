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

/// Machines have eight processors, and jobs have four tasks of two processors.
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
    EXPECT_TRUE(isUsable(machine("m"), now));
}

// The next leader would not know the tasks on such a machine.
TEST_F(PlacementConstraintsTest, MachineOutsideTheStoredRegistryIsNotUsable) {
    auto& unstored = machine("m");
    fleet.setRegistration(unstored, RegistrationState::writing);
    EXPECT_FALSE(isUsable(unstored, now));
}

TEST_F(PlacementConstraintsTest, MachineThatLeavesOrFailsOrIsUnreachableIsNotUsable) {
    const auto usableAfter = [&](const std::string& id, const std::function<void(Machine&)>& change) {
        auto& changed = machine(id);
        change(changed);
        return isUsable(changed, now);
    };
    EXPECT_FALSE(usableAfter("not acknowledged", [](Machine& m) { m.agent.acknowledged = false; }));
    EXPECT_FALSE(usableAfter("no heartbeats", [](Machine& m) { m.lease.active = false; }));
    EXPECT_FALSE(usableAfter("draining", [](Machine& m) { m.cloud.draining = true; }));
    EXPECT_FALSE(usableAfter("deletion requested", [](Machine& m) { m.cloud.deletionRequested = true; }));
    EXPECT_FALSE(usableAfter("failed", [](Machine& m) { m.cloud.failed = true; }));
    EXPECT_FALSE(usableAfter("interruption", [&](Machine& m) { m.cloud.interruptionAt = now + 1min; }));
    EXPECT_FALSE(usableAfter("unreachable", [&](Machine& m) { m.agent.unreachableSince = now; }));
    EXPECT_FALSE(usableAfter("unknown type", [](Machine& m) { m.typeInfo = nullptr; }));
    const auto failures = [&](std::vector<std::string> failedJobs) {
        return [this, failedJobs = std::move(failedJobs)](Machine& m) {
            for (const auto& id : failedJobs) m.history.failures.record(id, now);
        };
    };
    EXPECT_TRUE(usableAfter("one error", failures({"a"})));
    EXPECT_FALSE(usableAfter("two errors", failures({"a", "b"})));
    EXPECT_FALSE(isUsable(*fleet.find("two errors"), now + 60s));
    EXPECT_TRUE(isUsable(*fleet.find("two errors"), now + 61s));
}

TEST_F(PlacementConstraintsTest, MachineThatRefusedAStartIsUsableAfterItsBackoff) {
    auto& refusing = machine("m");
    refusing.history.startBackoffUntil = now + 2s;
    EXPECT_FALSE(isUsable(refusing, now));
    EXPECT_TRUE(isUsable(refusing, now + 2s));
}

TEST_F(PlacementConstraintsTest, OwnerRestrictsTypeZoneAndSpot) {
    auto& unrestricted = job();
    EXPECT_TRUE(bookkeeping::ownerAllows(unrestricted.spec, "plain", "a", false));
    EXPECT_FALSE(bookkeeping::ownerAllows(unrestricted.spec, "plain", "a", true));
    unrestricted.spec.spot = true;
    EXPECT_TRUE(bookkeeping::ownerAllows(unrestricted.spec, "plain", "a", true));
    auto& restricted = job();
    restricted.spec.zone = "a";
    restricted.spec.types = std::vector<std::string>{"plain", "large"};
    EXPECT_TRUE(bookkeeping::ownerAllows(restricted.spec, "large", "a", false));
    EXPECT_FALSE(bookkeeping::ownerAllows(restricted.spec, "large", "b", false));
    EXPECT_FALSE(bookkeeping::ownerAllows(restricted.spec, "gpu", "a", false));
}

TEST_F(PlacementConstraintsTest, SingleZoneJobStaysInItsZone) {
    auto& singleZone = job();
    singleZone.spec.singleZone = true;
    EXPECT_TRUE(zoneAllows(singleZone, "a"));
    place(machine("m"), singleZone, 0);
    EXPECT_TRUE(zoneAllows(singleZone, "a"));
    EXPECT_FALSE(zoneAllows(singleZone, "b"));
    place(machine("n", "b"), singleZone, 1);  // as an earlier leader may have done
    EXPECT_FALSE(zoneAllows(singleZone, "a"));
}

TEST_F(PlacementConstraintsTest, SpreadJobHasAtMostHalfOfItsTasksInAZone) {
    auto& spread = job();
    spread.spec.spreadZones = true;
    spread.spec.tasks = 3;
    auto& host = machine("m");
    place(host, spread, 0);
    EXPECT_TRUE(zoneAllows(spread, "a"));  // half of three, rounded up
    place(host, spread, 1);
    EXPECT_FALSE(zoneAllows(spread, "a"));
    EXPECT_TRUE(zoneAllows(spread, "b"));
}

TEST_F(PlacementConstraintsTest, InheritedJobIsBlockedByUnreconciledMachinesItMayBeOn) {
    auto& inherited = job();
    inherited.run->origin = bookkeeping::JobOrigin::inherited;
    auto& unreconciled = machine("m");
    EXPECT_FALSE(blockedByUnreconciled(inherited, fleet));
    fleet.setReconciled(unreconciled, false);
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
    auto& unknownTeam = job();
    unknownTeam.run->team = nullptr;
    EXPECT_FALSE(withinTeamQuota(unknownTeam, 1, fleet, types));
}

TEST_F(PlacementConstraintsTest, AvailableCapacityIsWhatIsNotUsed) {
    auto& host = machine("m");
    auto& requester = job();
    EXPECT_DOUBLE_EQ(availableCpus(host, requester), 8);
    place(host, requester, 0);
    EXPECT_DOUBLE_EQ(availableCpus(host, requester), 6);
    host.typeInfo = nullptr;
    EXPECT_DOUBLE_EQ(availableCpus(host, requester), 0);
}

TEST_F(PlacementConstraintsTest, ReservedCapacityIsOnlyForTheHolderAndHigherRanks) {
    auto& host = machine("m");
    auto& holder = job(Priority::high);
    fleet.reserve(host, holder, now + 5s, bookkeeping::ReservationKind::waiting, 2);
    EXPECT_DOUBLE_EQ(availableCpus(host, holder), 8);
    EXPECT_DOUBLE_EQ(availableCpus(host, job(Priority::high)), 4);
    EXPECT_DOUBLE_EQ(availableCpus(host, job(Priority::low)), 4);
    EXPECT_DOUBLE_EQ(availableCpus(host, job(Priority::production)), 8);
    EXPECT_DOUBLE_EQ(availableCapacity(host, job(Priority::low), now + 5s).cpus, 8);  // lapsed
    holder.run->waiting = 0;
    EXPECT_DOUBLE_EQ(availableCpus(host, job(Priority::low)), 8);  // the holder has no waiting tasks
}

// Otherwise tasks within a guaranteed quota would take the capacity and be preempted again and again.
TEST_F(PlacementConstraintsTest, CapacityFreedByPreemptionIsNotForGuaranteedJobsOfNoHigherPriority) {
    auto& host = machine("m");
    auto& holder = job(Priority::high);
    auto& guaranteed = job(Priority::normal);
    guaranteed.run->rank = static_cast<int>(Rank::guaranteed);
    fleet.reserve(host, holder, now + 5s, bookkeeping::ReservationKind::preempting, 1);
    EXPECT_DOUBLE_EQ(availableCpus(host, guaranteed), 6);
    fleet.reserve(host, holder, now + 5s, bookkeeping::ReservationKind::waiting, 1);  // without preemption
    EXPECT_DOUBLE_EQ(availableCpus(host, guaranteed), 8);
}

TEST_F(PlacementConstraintsTest, CapacityWithPreemptionCountsLowerPrioritiesAndAllForAGuaranteedJob) {
    auto& host = machine("m");
    place(host, job(Priority::low), 0);
    place(host, job(Priority::normal), 0);
    place(host, job(Priority::high), 0);
    auto& requester = job(Priority::normal);
    EXPECT_DOUBLE_EQ(capacityWithPreemption(host, requester, now).cpus, 4);  // 2 are free, 2 of low priority
    requester.run->guaranteed = true;
    EXPECT_DOUBLE_EQ(capacityWithPreemption(host, requester, now).cpus, 8);
}
