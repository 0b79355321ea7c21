#include "coordination/scheduling/accelerator_policy.h"

#include <algorithm>
#include <chrono>

#include "coordination/autoscaling/instance_selection.h"
#include "coordination/scheduling/placement_constraints.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::MachineTypes;
using bookkeeping::Resources;
using protocol::JobKind;
using protocol::Priority;
using namespace std::chrono_literals;

namespace {

// How long a service replica waits for a plain machine before it may use one with accelerators.
constexpr auto kPlainMachinesOnly = 12s;
// Plain machines count as full for replicas once they have capacity for no more than this many of them.
constexpr double kMinPlainReplicas = 4;
// Where the cloud has no more machines, replicas may take up one of so many machines with accelerators.
constexpr std::uint32_t kTakenUpOneOf = 8;

bool isReplica(const Job& job) { return job.spec.kind == JobKind::service; }

/// What would be left of the machine for the demand, beside one more task of the job: replicas and tasks of
/// `lowestPriority` and above stay; the others could be preempted.
Resources leftBeside(const Job& job, const Machine& machine, Priority lowestPriority) {
    auto left = bookkeeping::sizeOf(*machine.typeInfo) - bookkeeping::needOf(job.spec) -
                machine.use.plain[bookkeeping::kReplicaUse];
    const auto lowest = static_cast<std::size_t>(lowestPriority);
    for (auto priority = lowest; priority < bookkeeping::kPriorities; ++priority)
        left -= machine.use.plain[priority];
    return left;
}

}  // namespace

AcceleratorPolicy::AcceleratorPolicy(const bookkeeping::MachineTypes& types,
                                     const CapacityErrors& capacityErrors)
    : types_(types), capacityErrors_(capacityErrors) {}

void AcceleratorPolicy::recordDemand(const Job& job) {
    if (job.spec.gpus <= 0) return;
    const auto need = bookkeeping::needOf(job.spec);
    const auto& allowed = job.spec.types;
    for (const auto& [name, type] : types_) {
        if (!bookkeeping::sizeOf(type).covers(need)) continue;
        if (allowed && std::find(allowed->begin(), allowed->end(), name) == allowed->end()) continue;
        auto& demand = demands_.try_emplace(name, Demand{need, job.priority()}).first->second;
        auto& most = demand.perTask;
        most.cpus = std::max(most.cpus, need.cpus);
        most.gpus = std::max(most.gpus, need.gpus);
        most.memoryGb = std::max(most.memoryGb, need.memoryGb);
        demand.lowestPriority = std::min(demand.lowestPriority, job.priority());
    }
}

void AcceleratorPolicy::refresh(const std::vector<const Machine*>& up, Time now) {
    machineCounts_.clear();
    plainCpus_.clear();
    for (const auto* machine : up) {
        if (!machine->typeInfo) continue;
        if (machine->typeInfo->gpus <= 0 && usable(*machine, now)) countPlainCapacity(*machine);
        countTakenUp(*machine);
    }
}

void AcceleratorPolicy::countPlainCapacity(const Machine& machine) {
    auto& cpus = plainCpus_[{machine.zone, machine.spot}];
    cpus += machine.typeInfo->cpus - machine.use.total.cpus;
    for (const auto& stoppable : machine.use.preemptible) cpus += stoppable.cpus;
    cpus -= machine.use.preemptible.back().cpus;  // production tasks are not preempted
}

void AcceleratorPolicy::countTakenUp(const Machine& machine) {
    const auto demand = demands_.find(machine.type);
    if (demand == demands_.end()) return;
    auto& count = machineCounts_[machine.type];
    ++count.all;
    const auto left = bookkeeping::sizeOf(*machine.typeInfo) - machine.use.plain[bookkeeping::kReplicaUse];
    if (!left.covers(demand->second.perTask)) ++count.takenUp;
}

bool AcceleratorPolicy::allows(const Job& job, const Machine& machine, Time now) const {
    const auto* type = machine.typeInfo;
    if (!type || type->gpus <= 0 || job.spec.gpus > 0) return true;
    if (job.run->hasWaitedUnstarted(kMaxSoftConstraintTime, now)) return true;
    if (waitsForPlainMachine(job, now)) return false;
    const auto found = demands_.find(machine.type);
    if (found == demands_.end()) return mayUseWithoutDemand(job);
    const auto& demand = found->second;
    // Tasks of a lower priority can be preempted by the jobs that need the machine; replicas can't.
    if (job.priority() < demand.lowestPriority && !isReplica(job)) return true;
    const auto left = leftBeside(job, machine, demand.lowestPriority);
    if (left.covers(demand.perTask)) return true;
    return isReplica(job) && replicaMayUse(job, machine, demand, left, now);
}

/// A replica stays for as long as its service does and would occupy the expensive machine for all that time.
bool AcceleratorPolicy::waitsForPlainMachine(const Job& job, Time now) const {
    if (!isReplica(job) || now - job.run->waitingSince >= kPlainMachinesOnly) return false;
    return plainMachineObtainable(job.spec, types_, capacityErrors_, now);
}

/// May the job use a machine with accelerators of a type that no job has demanded so far? Jobs of higher
/// priorities may not, unless they depend on it, since the first that demands the type could hardly preempt
/// them.
bool AcceleratorPolicy::mayUseWithoutDemand(const Job& job) const {
    return job.priority() < Priority::high || isReplica(job) || needsAcceleratorMachine(job.spec, types_);
}

/// May a replica use the machine though that leaves (`left`) too little for the demand? Only where it can't
/// go to a plain machine, neither a new one nor one that is up.
bool AcceleratorPolicy::replicaMayUse(const Job& job, const Machine& machine, const Demand& demand,
                                      const Resources& left, Time now) const {
    if (plainMachineObtainable(job.spec, types_, capacityErrors_, now)) return false;
    const auto plain = plainCpus_.find({machine.zone, machine.spot});
    if (plain != plainCpus_.end() && plain->second > kMinPlainReplicas * job.spec.cpus) return false;
    // One more replica takes nothing from the demand where others leave too little already.
    const bool takenUp = !(left + bookkeeping::needOf(job.spec)).covers(demand.perTask);
    return takenUp || replicaMayTakeUp(machine, now);
}

/// May a replica take up a machine that has had capacity for the demand so far? Only as long as the cloud has
/// more of them, or replicas have taken up no more than their share.
bool AcceleratorPolicy::replicaMayTakeUp(const Machine& machine, Time now) const {
    if (machine.use.total.gpus > 0) return false;
    const auto found = machineCounts_.find(machine.type);
    const bool fewTakenUp =
        found == machineCounts_.end() || found->second.takenUp * kTakenUpOneOf < found->second.all;
    return fewTakenUp || moreObtainable(machine.type, now);
}

bool AcceleratorPolicy::moreObtainable(const std::string& type, Time now) const {
    const auto* known = bookkeeping::findType(types_, type);
    return !known || !capacityErrors_.unavailableEverywhere(*known, now);
}

}  // namespace burlpoint::coordination
