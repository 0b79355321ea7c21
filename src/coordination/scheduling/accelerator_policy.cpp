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

// How long a service replica waits for a plain machine before it may use a machine with accelerators.
constexpr auto kMaxWaitForPlainMachine = 12s;
// The plain machines of a zone and purchase option count as full once their capacity suffices for no more
// than this many replicas of the job.
constexpr double kMinPlainReplicas = 4;
// If the cloud has no more machines of a type with accelerators, replicas may occupy one in this many of the
// machines that are up.
constexpr std::uint32_t kOccupiedShareDivisor = 8;

bool isReplica(const Job& job) { return job.spec.kind == JobKind::service; }

/// The machine's capacity that the demand could still use after one more task of the job. Replicas and tasks
/// of `lowestPriority` and above are subtracted; tasks of lower priorities are not, since they could be
/// preempted.
Resources remainingForDemand(const Job& job, const Machine& machine, Priority lowestPriority) {
    auto left = bookkeeping::capacityOf(*machine.typeInfo) - bookkeeping::needOf(job.spec) -
                machine.use.withoutAccelerators[bookkeeping::kReplicaUse];
    const auto lowest = static_cast<std::size_t>(lowestPriority);
    for (auto priority = lowest; priority < bookkeeping::kPriorities; ++priority)
        left -= machine.use.withoutAccelerators[priority];
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
        if (!bookkeeping::capacityOf(type).covers(need)) continue;
        if (allowed && std::find(allowed->begin(), allowed->end(), name) == allowed->end()) continue;
        auto& demand = demands_.try_emplace(name, Demand{need, job.priority()}).first->second;
        auto& maxPerTask = demand.perTask;
        maxPerTask.cpus = std::max(maxPerTask.cpus, need.cpus);
        maxPerTask.gpus = std::max(maxPerTask.gpus, need.gpus);
        maxPerTask.memoryGb = std::max(maxPerTask.memoryGb, need.memoryGb);
        demand.lowestPriority = std::min(demand.lowestPriority, job.priority());
    }
}

void AcceleratorPolicy::refresh(const std::vector<const Machine*>& up, Time now) {
    machineCounts_.clear();
    plainCpus_.clear();
    for (const auto* machine : up) {
        if (!machine->typeInfo) continue;
        if (machine->typeInfo->gpus <= 0 && isUsable(*machine, now)) countPlainCapacity(*machine);
        countOccupied(*machine);
    }
}

void AcceleratorPolicy::countPlainCapacity(const Machine& machine) {
    auto& cpus = plainCpus_[{machine.zone, machine.spot}];
    cpus += machine.typeInfo->cpus - machine.use.total.cpus;
    for (const auto& stoppable : machine.use.preemptible) cpus += stoppable.cpus;
    cpus -= machine.use.preemptible.back().cpus;  // production tasks are not preempted
}

void AcceleratorPolicy::countOccupied(const Machine& machine) {
    const auto demand = demands_.find(machine.type);
    if (demand == demands_.end()) return;
    auto& count = machineCounts_[machine.type];
    ++count.all;
    const auto left = bookkeeping::capacityOf(*machine.typeInfo) -
                      machine.use.withoutAccelerators[bookkeeping::kReplicaUse];
    if (!left.covers(demand->second.perTask)) ++count.occupied;
}

bool AcceleratorPolicy::allows(const Job& job, const Machine& machine, Time now) const {
    const auto* type = machine.typeInfo;
    if (!type || type->gpus <= 0 || job.spec.gpus > 0) return true;
    if (job.run->hasWaitedUnstarted(kMaxSoftConstraintTime, now)) return true;
    if (waitsForPlainMachine(job, now)) return false;
    const auto found = demands_.find(machine.type);
    if (found == demands_.end()) return mayUseWithoutDemand(job);
    const auto& demand = found->second;
    // Jobs that need the machine can preempt tasks of a lower priority, but no replicas.
    if (job.priority() < demand.lowestPriority && !isReplica(job)) return true;
    const auto left = remainingForDemand(job, machine, demand.lowestPriority);
    if (left.covers(demand.perTask)) return true;
    return isReplica(job) && replicaMayUse(job, machine, demand, left, now);
}

/// True if the job is a service that should wait for a plain machine first: a replica runs as long as its
/// service and would occupy the expensive machine for all that time.
bool AcceleratorPolicy::waitsForPlainMachine(const Job& job, Time now) const {
    if (!isReplica(job) || now - job.run->waitingSince >= kMaxWaitForPlainMachine) return false;
    return plainMachineObtainable(job.spec, types_, capacityErrors_, now);
}

/// True if the job may use a machine with accelerators of a type that no job has demanded so far. Tasks of
/// high and production priority may not, since the first job that demands the type could hardly preempt them.
/// Services and jobs that can run only on machines with accelerators are exempt.
bool AcceleratorPolicy::mayUseWithoutDemand(const Job& job) const {
    return job.priority() < Priority::high || isReplica(job) || needsAcceleratorMachine(job.spec, types_);
}

/// True if a replica may use the machine although the capacity that remains (`left`) is too small for the
/// demand. Requires that no plain machine is available to it, neither a new one nor one that is up.
bool AcceleratorPolicy::replicaMayUse(const Job& job, const Machine& machine, const Demand& demand,
                                      const Resources& left, Time now) const {
    if (plainMachineObtainable(job.spec, types_, capacityErrors_, now)) return false;
    const auto plainCpus = plainCpus_.find({machine.zone, machine.spot});
    if (plainCpus != plainCpus_.end() && plainCpus->second > kMinPlainReplicas * job.spec.cpus) return false;
    // If the machine is already too full for the demand, one more replica takes nothing from it.
    const bool occupied = !(left + bookkeeping::needOf(job.spec)).covers(demand.perTask);
    return occupied || replicaMayOccupy(machine, now);
}

/// True if a replica may occupy a machine that still has capacity for the demand: none of its accelerators
/// may be in use, and either the cloud has more such machines or replicas occupy less than their share of
/// them.
bool AcceleratorPolicy::replicaMayOccupy(const Machine& machine, Time now) const {
    if (machine.use.total.gpus > 0) return false;
    const auto found = machineCounts_.find(machine.type);
    const bool fewOccupied =
        found == machineCounts_.end() || found->second.occupied * kOccupiedShareDivisor < found->second.all;
    return fewOccupied || moreObtainable(machine.type, now);
}

bool AcceleratorPolicy::moreObtainable(const std::string& type, Time now) const {
    const auto* known = bookkeeping::findType(types_, type);
    return !known || !capacityErrors_.unavailableEverywhere(*known, now);
}

}  // namespace burlpoint::coordination
