#include "coordination/scheduling/accelerator_policy.h"

#include <gtest/gtest.h>

#include <memory>

#include "base/clock.h"
#include "bookkeeping/machine_types.h"
#include "coordination/autoscaling/instance_selection.h"

using namespace burlpoint;
using namespace burlpoint::coordination;
using namespace std::chrono_literals;
using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::MachineTypes;
using bookkeeping::PlacementState;
using bookkeeping::RegistrationState;
using protocol::JobKind;
using protocol::Priority;

namespace {

/// Plain machines have 8 processors, other machines 16 processors and two accelerators, all in one zone.
/// Tasks need two processors.
struct AcceleratorPolicyTest : testing::Test {
    bookkeeping::MachineTypes types{{"plain", {"plain", 8, 0, 32, 50, 1, 1, 0.3, Seconds(10), {"a"}}},
                                    {"gpu", {"gpu", 16, 2, 64, 50, 1, 8, 3, Seconds(30), {"a"}}}};
    CapacityErrors capacityErrors;
    Fleet fleet;
    std::vector<std::unique_ptr<Job>> jobs;
    const std::string zone = "a", team = "t";
    Time now{1000s};
    AcceleratorPolicy policy{types, capacityErrors};

    Machine& machine(const std::string& id, const std::string& type) {
        auto& machine = fleet.add(id, now);
        machine.type = type;
        machine.typeInfo = &types.at(type);
        machine.zone = zone;
        machine.agent.acknowledged = true;
        machine.lease.active = true;
        fleet.setRegistration(machine, RegistrationState::stored);
        return machine;
    }
    Job& job(JobKind kind, Priority priority, double gpus = 0, double cpus = 2) {
        auto& job = *jobs.emplace_back(std::make_unique<Job>());
        job.spec.id = "job-" + std::to_string(jobs.size());
        job.spec.team = team;
        job.spec.kind = kind;
        job.spec.tasks = 20;
        job.spec.cpus = cpus;
        job.spec.gpus = gpus;
        job.beginRun(bookkeeping::JobOrigin::accepted, now);
        job.run->priority = priority;
        return job;
    }
    /// Records the demand of a job whose tasks need two accelerators and ten processors, which leaves six
    /// processors of a machine.
    void recordDemand(Priority priority) { policy.recordDemand(job(JobKind::array, priority, 2, 10)); }
    Job& array(Priority priority) { return job(JobKind::array, priority); }
    /// A service that has waited long enough for a plain machine.
    Job& service() {
        auto& newJob = job(JobKind::service, Priority::normal);
        newJob.run->waitingSince = now - 12s;
        return newJob;
    }
    void place(Machine& machine, Job& job, std::uint32_t tasks) {
        for (std::uint32_t task = 0; task < tasks; ++task)
            fleet.place(machine, job, task, task + 1, PlacementState::running, now);
    }
    void refresh() {
        std::vector<const Machine*> up;
        for (const auto& [id, each] : fleet.machines()) up.push_back(each.get());
        policy.refresh(up, now);
    }
    void makePlainUnavailable() { makeUnavailable("plain"); }
    void makeUnavailable(const std::string& type) {
        capacityErrors.record({type, "a", false}, now);
        capacityErrors.record({type, "a", true}, now);
    }
    bool allows(const Job& job, const Machine& machine) { return policy.allows(job, machine, now); }
};

}  // namespace

TEST_F(AcceleratorPolicyTest, PlainMachinesAndJobsThatNeedAcceleratorsAreAlwaysAllowed) {
    recordDemand(Priority::low);
    auto& gpu = machine("g", "gpu");
    place(gpu, array(Priority::high), 8);
    EXPECT_TRUE(allows(array(Priority::high), machine("p", "plain")));
    EXPECT_TRUE(allows(job(JobKind::array, Priority::low, 1), gpu));
}

TEST_F(AcceleratorPolicyTest, WithoutDemandJobsBelowHighPriorityAreAllowed) {
    auto& gpu = machine("g", "gpu");
    EXPECT_TRUE(allows(array(Priority::normal), gpu));
    EXPECT_FALSE(allows(array(Priority::high), gpu));
    auto& restricted = array(Priority::high);
    restricted.spec.types = std::vector<std::string>{"gpu"};
    EXPECT_TRUE(allows(restricted, gpu));  // the job may run nowhere else
}

TEST_F(AcceleratorPolicyTest, JobsOfNoLowerPriorityLeaveCapacityForTheDemand) {
    recordDemand(Priority::normal);
    auto& gpu = machine("g", "gpu");
    auto& same = array(Priority::normal);
    EXPECT_TRUE(allows(same, gpu));
    place(gpu, same, 2);
    EXPECT_TRUE(allows(same, gpu));
    place(gpu, array(Priority::low), 4);
    EXPECT_TRUE(allows(same, gpu));  // lower priorities count as preemptible
    place(gpu, array(Priority::high), 1);
    EXPECT_FALSE(allows(same, gpu));
    EXPECT_TRUE(allows(array(Priority::low), gpu));  // its tasks can be preempted
}

TEST_F(AcceleratorPolicyTest, LargestDemandAndLowestPriorityCount) {
    recordDemand(Priority::high);
    policy.recordDemand(job(JobKind::array, Priority::low, 1, 15));
    EXPECT_FALSE(allows(array(Priority::low), machine("g", "gpu")));
}

TEST_F(AcceleratorPolicyTest, DemandCountsOnlyOnTypesThatItsOwnerAllows) {
    auto& restricted = job(JobKind::array, Priority::low, 2, 16);
    restricted.spec.types = std::vector<std::string>{"other"};
    policy.recordDemand(restricted);
    EXPECT_TRUE(allows(array(Priority::normal), machine("g", "gpu")));
}

TEST_F(AcceleratorPolicyTest, UnstartedJobIsAllowedAfterAMinute) {
    policy.recordDemand(job(JobKind::array, Priority::low, 2, 16));
    auto& gpu = machine("g", "gpu");
    auto& waiting = array(Priority::normal);
    now += 59s;
    EXPECT_FALSE(allows(waiting, gpu));
    now += 1s;
    EXPECT_TRUE(allows(waiting, gpu));
    waiting.run->placedTotal = 1;
    EXPECT_FALSE(allows(waiting, gpu));
}

TEST_F(AcceleratorPolicyTest, ReplicaWaitsForPlainMachinesFirst) {
    auto& gpu = machine("g", "gpu");
    auto& replica = job(JobKind::service, Priority::normal);
    EXPECT_FALSE(allows(replica, gpu));
    makePlainUnavailable();
    EXPECT_TRUE(allows(replica, gpu));  // no plain machine can be obtained
    now += 1h;
    // The capacity errors have expired.
    EXPECT_TRUE(plainMachineObtainable(replica.spec, types, capacityErrors, now));
    replica.run->waitingSince = now - 11s;
    EXPECT_FALSE(allows(replica, gpu));
    replica.run->waitingSince = now - 12s;
    EXPECT_TRUE(allows(replica, gpu));
}

TEST_F(AcceleratorPolicyTest, ReplicaTakesDemandedCapacityOnlyWithoutPlainMachines) {
    policy.recordDemand(job(JobKind::array, Priority::normal, 2, 16));
    auto& gpu = machine("g", "gpu");
    auto& plain = machine("p", "plain");
    refresh();
    EXPECT_FALSE(allows(service(), gpu));  // a plain machine can be requested
    makePlainUnavailable();
    plain.spot = gpu.spot;
    EXPECT_TRUE(allows(service(), gpu));  // capacity for four replicas counts as full
    machine("p2", "plain");
    refresh();
    EXPECT_FALSE(allows(service(), gpu));  // plain machines that are up have capacity
}

TEST_F(AcceleratorPolicyTest, ReplicasOccupyAnEighthOfTheMachinesIfTheCloudHasNoMore) {
    policy.recordDemand(job(JobKind::array, Priority::normal, 2, 16));
    makePlainUnavailable();
    auto& occupied = machine("g0", "gpu");
    place(occupied, service(), 1);
    for (const auto* id : {"g1", "g2", "g3", "g4", "g5", "g6", "g7"}) machine(id, "gpu");
    auto& unoccupied = *fleet.find("g1");
    refresh();
    EXPECT_TRUE(allows(service(), unoccupied));  // the cloud may have more machines
    makeUnavailable("gpu");
    EXPECT_FALSE(allows(service(), unoccupied));  // one of eight is occupied
    EXPECT_TRUE(allows(service(), occupied));     // already occupied
    machine("g8", "gpu");
    refresh();
    EXPECT_TRUE(allows(service(), unoccupied));
    place(unoccupied, job(JobKind::array, Priority::normal, 1), 1);
    EXPECT_FALSE(allows(service(), unoccupied));  // its accelerators are in use
}
