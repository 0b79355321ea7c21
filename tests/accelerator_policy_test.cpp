#include "coordination/scheduling/accelerator_policy.h"

#include <gtest/gtest.h>

#include <memory>

#include "base/clock.h"
#include "bookkeeping/machine_types.h"

using namespace burlpoint;
using namespace burlpoint::coordination;
using namespace std::chrono_literals;
using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::PlacementState;
using bookkeeping::RegistrationState;
using protocol::JobKind;
using protocol::Priority;

namespace {

/// Types of 8 plain processors, and of 16 with two accelerators, in one zone. Jobs need two processors a
/// task.
struct Accelerators : testing::Test {
    MachineTypes types{{"plain", {"plain", 8, 0, 32, 50, 1, 1, 0.3, Seconds(10), {"a"}}},
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
        machine.acknowledged = true;
        machine.sendsHeartbeats = true;
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
    /// A job with accelerators that leaves six processors of each machine.
    void need(Priority priority) { policy.recordNeed(job(JobKind::array, priority, 2, 10)); }
    Job& array(Priority priority) { return job(JobKind::array, priority); }
    /// A service that has waited for plain machines for long enough.
    Job& service() {
        auto& made = job(JobKind::service, Priority::normal);
        made.run->waitingSince = now - 12s;
        return made;
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
    void refusePlain() { refuse("plain"); }
    void refuse(const std::string& type) {
        capacityErrors.note({type, "a", false}, now);
        capacityErrors.note({type, "a", true}, now);
    }
    bool allows(const Job& job, const Machine& machine) { return policy.allows(job, machine, now); }
};

}  // namespace

TEST_F(Accelerators, OtherMachinesAndWorkThatNeedsThemAreNotHeldBack) {
    need(Priority::low);
    auto& gpu = machine("g", "gpu");
    place(gpu, array(Priority::high), 8);
    EXPECT_TRUE(allows(array(Priority::high), machine("p", "plain")));
    EXPECT_TRUE(allows(job(JobKind::array, Priority::low, 1), gpu));
}

TEST_F(Accelerators, WithoutANeedWorkBelowHighPriorityMayUseThem) {
    auto& gpu = machine("g", "gpu");
    EXPECT_TRUE(allows(array(Priority::normal), gpu));
    EXPECT_FALSE(allows(array(Priority::high), gpu));
    auto& bound = array(Priority::high);
    bound.spec.types = std::vector<std::string>{"gpu"};
    EXPECT_TRUE(allows(bound, gpu));  // it may run nowhere else
}

TEST_F(Accelerators, WorkOfNoLowerPriorityLeavesRoomForTheNeed) {
    need(Priority::normal);
    auto& gpu = machine("g", "gpu");
    auto& same = array(Priority::normal);
    EXPECT_TRUE(allows(same, gpu));
    place(gpu, same, 2);
    EXPECT_TRUE(allows(same, gpu));
    place(gpu, array(Priority::low), 4);
    EXPECT_TRUE(allows(same, gpu));  // lower work counts as stoppable
    place(gpu, array(Priority::high), 1);
    EXPECT_FALSE(allows(same, gpu));
    EXPECT_TRUE(allows(array(Priority::low), gpu));  // it would yield itself
}

TEST_F(Accelerators, TheLargestNeedAndTheLowestPriorityCount) {
    need(Priority::high);
    policy.recordNeed(job(JobKind::array, Priority::low, 1, 15));
    EXPECT_FALSE(allows(array(Priority::low), machine("g", "gpu")));
}

TEST_F(Accelerators, ANeedCountsOnlyWhereItsOwnerAllowsIt) {
    auto& elsewhere = job(JobKind::array, Priority::low, 2, 16);
    elsewhere.spec.types = std::vector<std::string>{"other"};
    policy.recordNeed(elsewhere);
    EXPECT_TRUE(allows(array(Priority::normal), machine("g", "gpu")));
}

TEST_F(Accelerators, NothingIsHeldBackForLong) {
    policy.recordNeed(job(JobKind::array, Priority::low, 2, 16));
    auto& gpu = machine("g", "gpu");
    auto& waits = array(Priority::normal);
    now += 59s;
    EXPECT_FALSE(allows(waits, gpu));
    now += 1s;
    EXPECT_TRUE(allows(waits, gpu));
    waits.run->placedTotal = 1;
    EXPECT_FALSE(allows(waits, gpu));
}

TEST_F(Accelerators, AReplicaWaitsForPlainMachinesFirst) {
    auto& gpu = machine("g", "gpu");
    auto& replica = job(JobKind::service, Priority::normal);
    EXPECT_FALSE(allows(replica, gpu));
    refusePlain();
    EXPECT_TRUE(allows(replica, gpu));  // there are none
    now += 1h;
    EXPECT_TRUE(plainMachineObtainable(replica.spec, types, capacityErrors, now));  // the refusals are over
    replica.run->waitingSince = now - 11s;
    EXPECT_FALSE(allows(replica, gpu));
    replica.run->waitingSince = now - 12s;
    EXPECT_TRUE(allows(replica, gpu));
}

TEST_F(Accelerators, AReplicaTakesTheNeedsRoomOnlyWhereNoPlainMachineIsLeft) {
    policy.recordNeed(job(JobKind::array, Priority::normal, 2, 16));
    auto& gpu = machine("g", "gpu");
    auto& plain = machine("p", "plain");
    refresh();
    EXPECT_FALSE(allows(service(), gpu));  // one can be rented
    refusePlain();
    plain.spot = gpu.spot;
    EXPECT_TRUE(allows(service(), gpu));  // room for four replicas is not enough of it
    machine("p2", "plain");
    refresh();
    EXPECT_FALSE(allows(service(), gpu));  // there is room on those that run
}

TEST_F(Accelerators, ReplicasShareAnEighthWhereTheCloudHasNoMore) {
    policy.recordNeed(job(JobKind::array, Priority::normal, 2, 16));
    refusePlain();
    auto& given = machine("g0", "gpu");
    place(given, service(), 1);
    for (const auto* id : {"g1", "g2", "g3", "g4", "g5", "g6", "g7"}) machine(id, "gpu");
    auto& untouched = *fleet.find("g1");
    refresh();
    EXPECT_TRUE(allows(service(), untouched));  // the cloud has more
    refuse("gpu");
    EXPECT_FALSE(allows(service(), untouched));  // one of eight was given over
    EXPECT_TRUE(allows(service(), given));       // which others may share
    machine("g8", "gpu");
    refresh();
    EXPECT_TRUE(allows(service(), untouched));
    place(untouched, job(JobKind::array, Priority::normal, 1), 1);
    EXPECT_FALSE(allows(service(), untouched));  // its accelerators are in use
}
