#include "coordination/autoscaling/capacity_plan.h"

#include <gtest/gtest.h>

#include "base/clock.h"
#include "bookkeeping/machine_types.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;
using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::MachineTypes;
using bookkeeping::Offering;
using bookkeeping::RegistrationState;
using coordination::CapacityPlan;
using coordination::MissingMachines;
using protocol::JobKind;
using protocol::JobSpec;

namespace {

using Names = std::set<std::string>;

JobSpec makeSpec(const std::string& id, std::uint32_t tasks, double cpus, JobKind kind = JobKind::service) {
    JobSpec spec;
    spec.id = id;
    spec.team = "free";
    spec.tasks = tasks;
    spec.cpus = cpus;
    spec.kind = kind;
    return spec;
}

}  // namespace

/// Plans for a fleet that the tests build. Plain machines have the lowest price per processor.
struct CapacityPlanTest : testing::Test {
    protocol::Settings settings;
    protocol::Policy policy;
    bookkeeping::StateReplica replica;
    Fleet fleet;
    MachineTypes types;
    coordination::InstanceRequestQueue pending{7};
    coordination::CapacityErrors capacityErrors;
    std::uint32_t maxUnsentMachines = 1000;
    Time now{1000s};
    std::vector<std::unique_ptr<Job>> jobs;

    CapacityPlanTest() {
        settings.zones = {"y", "z"};
        settings.teams = {{"free", 0, 0, 0, 0}, {"limited", 0, 8, 0, 0}};
        types["gpu"] = {"gpu", 16, 2, 64, 50, 1, 8, 3, Seconds(30), {"z"}};
        types["large"] = {"large", 32, 0, 128, 50, 1, 5, 1.2, Seconds(10), {"z"}};
        types["plain"] = {"plain", 8, 0, 32, 50, 1, 1, 0.3, Seconds(10), {"z"}};
    }
    Machine& machine(const std::string& id, const std::string& type = "plain",
                     const std::string& zone = "z") {
        auto& added = fleet.add(id, now);
        added.type = type;
        added.zone = zone;
        added.typeInfo = &types.at(type);
        added.agent.incarnation = 1;
        added.lease.active = true;
        fleet.setReconciled(added, true);
        return added;
    }
    Job& job(JobSpec spec) {
        auto added = std::make_unique<Job>();
        added->spec = std::move(spec);
        added->beginRun(bookkeeping::JobOrigin::accepted, now);
        jobs.push_back(std::move(added));
        return *jobs.back();
    }
    /// A plan of all jobs, in the order of their creation.
    CapacityPlan plan() {
        const auto due = [](const Job& job) { return Time(std::chrono::milliseconds(*job.dueAtMs)); };
        CapacityPlan result(
            {settings, policy, replica, fleet, types, pending, capacityErrors, due, maxUnsentMachines, now});
        for (const auto& added : jobs) result.add(*added);
        return result;
    }
    static Offering plain(const std::string& zone = "z", bool spot = false) { return {"plain", zone, spot}; }
};

TEST_F(CapacityPlanTest, ExistingCapacityIsUsedBeforeMachinesAreRequested) {
    machine("m1");
    machine("m2");
    machine("m3");
    job(makeSpec("wk-1", 4, 4));
    EXPECT_EQ(plan().missingMachines(), MissingMachines{});
    EXPECT_EQ(plan().neededMachines(), (Names{"m1", "m2"}));
}

TEST_F(CapacityPlanTest, RemainingTasksGetTheCheapestOfferingPerTask) {
    machine("m1");
    job(makeSpec("wk-1", 5, 4));  // two of the tasks fit on m1
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 2}}));
    types["large"].price = 2;
    job(makeSpec("wk-2", 8, 4));
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 2}, {{"large", "z", false}, 1}}));
}

TEST_F(CapacityPlanTest, SpotMachinesAreRequestedOnlyForJobsThatAllowThem) {
    auto spec = makeSpec("wk-1", 1, 4);
    job(spec);
    spec.spot = true;
    spec.id = "wk-2";
    spec.cpus = 8;
    job(spec);
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 1}, {plain("z", true), 1}}));
}

TEST_F(CapacityPlanTest, PendingMachinesAreNotRequestedAgain) {
    pending.enqueue(plain(), 2, now);
    pending.enqueue({"unknown", "z", false}, 5, now);
    job(makeSpec("wk-1", 6, 4));
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 1}}));
}

TEST_F(CapacityPlanTest, LeavingOrLostMachinesHaveNoCapacity) {
    machine("m1").cloud.draining = true;
    machine("m2").cloud.deletionRequested = true;
    machine("m3").cloud.failed = true;
    machine("m4").cloud.interruptionAt = now + 30s;
    machine("m5").agent.unreachableSince = now;
    auto& faulty = machine("m6");
    for (const char* id : {"wk-8", "wk-9"}) faulty.history.failures.record(id, now);
    machine("m7").lease.active = false;  // lost, since it was up before
    machine("m8").typeInfo = nullptr;
    job(makeSpec("wk-1", 1, 8));
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 1}}));
    EXPECT_EQ(plan().neededMachines(), Names{});
    auto& booting = machine("m9");
    booting.agent.incarnation = 0;
    booting.lease.active = false;
    EXPECT_EQ(plan().missingMachines(), MissingMachines{});
    EXPECT_EQ(plan().neededMachines(), Names{"m9"});
    replica.registeredMachines["m9"] = {{"address", "plain", "z", false},
                                        1};  // it was up under an earlier leader
    EXPECT_EQ(plan().neededMachines(), Names{});
}

TEST_F(CapacityPlanTest, ReservedCapacityIsUsedByItsJobOnly) {
    auto& reserved = machine("m1");
    auto& first = job(makeSpec("wk-1", 1, 8));
    auto& second = job(makeSpec("wk-2", 1, 8));
    fleet.reserve(reserved, second, now + 10s);
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 1}}));
    EXPECT_EQ(plan().neededMachines(), Names{"m1"});
    fleet.reserve(reserved, first, now);  // a reservation that has expired
    second.run->waiting = 0;
    EXPECT_EQ(plan().missingMachines(), MissingMachines{});
}

TEST_F(CapacityPlanTest, TeamQuotaCountsUsedAndPlannedResources) {
    auto spec = makeSpec("wk-1", 10, 1);
    spec.team = "limited";
    auto& running = job(spec);
    fleet.place(machine("m1"), running, 0, 1, bookkeeping::PlacementState::running, now);
    fleet.place(*fleet.find("m1"), running, 1, 1, bookkeeping::PlacementState::running, now);
    running.run->waiting = 2;
    spec.id = "wk-2";
    spec.cpus = 4;
    job(spec);  // of the quota of 8 processors, 2 are used and 2 planned
    EXPECT_EQ(plan().missingMachines(), MissingMachines{});
    spec.id = "wk-3";
    job(spec);
    EXPECT_EQ(plan().missingMachines(), MissingMachines{});
    running.run->waiting = 0;
    EXPECT_EQ(plan().missingMachines(), MissingMachines{});  // the quota admits one task of wk-2, on m1
    settings.teams[1].maxCpus = 10;
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 1}}));
}

TEST_F(CapacityPlanTest, ArrayConcurrencyFollowsItsCompletionTarget) {
    policy.backlogHorizon = Seconds(45);
    auto spec = makeSpec("wk-1", 30, 8, JobKind::array);
    spec.estimatedRunTime = Seconds(15);
    auto& array = job(spec);
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 10}}));  // three rounds of 15 s in 45 s
    array.dueAtMs = 1'060'000;  // due in 60 s: two rounds in half of that time
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 15}}));
    array.dueAtMs.reset();
    array.spec.deadline = Seconds(300);
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 3}}));
    array.run->waitingSince = now - 135s;  // only time for one round is left
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 30}}));
    array.spec.kind = JobKind::service;
    array.run->waitingSince = now;
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 30}}));
}

TEST_F(CapacityPlanTest, GangGoesToTheZoneWithMostCapacityWhereTheRestIsObtainable) {
    types["plain"].zones = {"y", "z"};
    machine("m1", "plain", "z");
    auto spec = makeSpec("wk-1", 3, 8, JobKind::gang);
    spec.singleZone = true;
    job(spec);
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain("z"), 2}}));
    capacityErrors.record(plain("z"), now);
    capacityErrors.record({"large", "z", false}, now);
    capacityErrors.record({"gpu", "z", false}, now);
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain("y"), 3}}));
    capacityErrors.record(plain("y"), now);
    EXPECT_EQ(plan().missingMachines(), MissingMachines{});
    EXPECT_EQ(plan().neededMachines(), Names{});
}

TEST_F(CapacityPlanTest, GangsWithoutCapacityAreSpreadOverZones) {
    types["plain"].zones = {"y", "z"};
    auto spec = makeSpec("wk-1", 2, 8, JobKind::gang);
    spec.singleZone = true;
    job(spec);
    spec.id = "wk-2";
    job(spec);
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain("y"), 2}, {plain("z"), 2}}));
}

TEST_F(CapacityPlanTest, PartlyRunningGangStaysInItsZone) {
    types["plain"].zones = {"y", "z"};
    auto spec = makeSpec("wk-1", 3, 8, JobKind::gang);
    spec.singleZone = true;
    auto& gang = job(spec);
    fleet.place(machine("m1", "plain", "z"), gang, 0, 1, bookkeeping::PlacementState::running, now);
    machine("m2", "plain", "y");
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain("z"), 2}}));
    EXPECT_EQ(plan().neededMachines(), Names{});
}

TEST_F(CapacityPlanTest, SpreadServiceHasAtMostHalfOfItsReplicasInAZone) {
    auto spec = makeSpec("wk-1", 5, 8);
    spec.spreadZones = true;
    job(spec);
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain("z"), 3}}));  // no other zone offers machines
    types["plain"].zones = {"z", "y"};
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain("z"), 3}, {plain("y"), 2}}));
}

TEST_F(CapacityPlanTest, PlainWorkNeitherKeepsNorRequestsAcceleratorMachines) {
    machine("m1", "gpu");
    job(makeSpec("wk-1", 3, 8));
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 1}}));
    EXPECT_EQ(plan().neededMachines(), Names{});
    auto spec = makeSpec("wk-2", 1, 8);
    spec.types = {"gpu"};
    job(spec);
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 1}, {{"gpu", "z", false}, 1}}));
    std::swap(jobs[0], jobs[1]);
    EXPECT_EQ(plan().neededMachines(), Names{"m1"});
}

TEST_F(CapacityPlanTest, ArrayGetsAcceleratorMachineOnlyUpToTwiceThePlainPrice) {
    types.erase("large");
    capacityErrors.record(plain(), now);
    auto spec = makeSpec("wk-1", 1, 8, JobKind::array);
    spec.estimatedRunTime = Seconds(100);
    job(spec);
    EXPECT_EQ(plan().missingMachines(), MissingMachines{});  // 4 times the plain price per processor
    types["gpu"].price = 4;
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{{"gpu", "z", false}, 1}}));
    types["gpu"].price = 4.1;
    EXPECT_EQ(plan().missingMachines(), MissingMachines{});
    jobs[0]->spec.kind = JobKind::service;
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{{"gpu", "z", false}, 1}}));
}

TEST_F(CapacityPlanTest, OfferingWithRecentErrorIsProbedWithAFewMachines) {
    types["plain"].zones = {"z", "y"};
    capacityErrors.record(plain("z"), now);
    job(makeSpec("wk-1", 10, 8));
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain("y"), 10}}));
    now += 4s;  // the back-off is over
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain("z"), 3}, {plain("y"), 7}}));
}

// Guards against a job that never gets a machine again: nothing was requested for a job whose tasks had
// failed on three machines, so that it could not show that it can succeed.
TEST_F(CapacityPlanTest, JobThatFailedOnManyMachinesGetsAsManyMoreMachinesAsItsTasksRunOn) {
    auto& job1 = job(makeSpec("wk-1", 5, 8));
    for (const auto* id : {"m1", "m2"}) job1.run->failures.record(id, now);
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 5}}));
    job1.run->failures.record("m3", now);
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 1}}));
    job1.run->running = 2;
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 2}}));
    now += 121s;  // no task has failed for two minutes
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 5}}));
}

TEST_F(CapacityPlanTest, GangThatFailedOnManyMachinesIsPlannedAsAWhole) {
    auto& gang = job(makeSpec("wk-1", 3, 8, JobKind::gang));
    for (const auto* id : {"m1", "m2", "m3"}) gang.run->failures.record(id, now);
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 3}}));
}

TEST_F(CapacityPlanTest, NothingIsRequestedForTerminatedJobs) {
    auto& job1 = job(makeSpec("wk-1", 1, 8));
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 1}}));
    job1.terminalState = storage::TerminalState::cancelled;
    job1.run.reset();
    EXPECT_EQ(plan().missingMachines(), MissingMachines{});
}

TEST_F(CapacityPlanTest, NoMachineIsRequestedThatIsTooSmall) {
    job(makeSpec("wk-1", 1, 64));
    EXPECT_EQ(plan().missingMachines(), MissingMachines{});
}

// Guards against a leader that is killed for its memory: it planned a machine for each waiting task at once,
// however many there were, until the cloud had refused one.
TEST_F(CapacityPlanTest, MoreMachinesAreMissingThanCanBeRequestedThenTheRestIsLeftToLaterPlans) {
    maxUnsentMachines = 100;
    job(makeSpec("wk-1", 100'000, 8));
    job(makeSpec("wk-2", 100'000, 8));
    auto elsewhere = makeSpec("wk-3", 3, 8);
    elsewhere.types = {"large"};
    job(elsewhere);
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 100}, {{"large", "z", false}, 1}}));
}

TEST_F(CapacityPlanTest, OnlyMachinesThatWaitToBeRequestedCountAgainstTheLimit) {
    maxUnsentMachines = 100;
    job(makeSpec("wk-1", 1000, 8));
    pending.enqueue(plain(), 50, now);
    storage::TokenBucket budget(1, now);
    pending.takeDue(budget, now);
    pending.enqueue(plain(), 30, now);
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain(), 70}}));
}

TEST_F(CapacityPlanTest, LimitIsReachedThenNoDearerOfferingIsTaken) {
    maxUnsentMachines = 2;
    types["plain"].zones = {"y", "z"};
    job(makeSpec("wk-1", 5, 8));
    EXPECT_EQ(plan().missingMachines(), (MissingMachines{{plain("y"), 2}}));
}

}  // namespace burlpoint::tests
