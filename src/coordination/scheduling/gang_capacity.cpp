#include "coordination/scheduling/gang_capacity.h"

#include <algorithm>
#include <utility>

#include "coordination/scheduling/zone_reservations.h"

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::Resources;

namespace {

std::uint32_t tasksWithReplicasOnly(const Machine& machine, const Resources& need) {
    const auto replicas = machine.use.withoutAccelerators[bookkeeping::kReplicaUse];
    return (bookkeeping::capacityOf(*machine.typeInfo) - replicas).fitCount(need);
}

void addMachine(Machine& machine, const Job& job, const PlacementConstraints& constraints, Time now,
                GangCapacity& capacity) {
    const auto need = bookkeeping::needOf(job.spec);
    if (bookkeeping::ownerAllows(job.spec, machine.type, machine.zone, machine.spot))
        capacity.withReplicasOnly += tasksWithReplicasOnly(machine, need);
    if (!bookkeeping::capacityOf(*machine.typeInfo).covers(need)) return;
    if (!constraints.mayStart(job, machine, now)) return;
    if (isReservedByPreemption(machine, now) && machine.reservation.job != &job) return;
    const auto tasks = capacityWithPreemption(machine, job, now).fitCount(need);
    if (tasks == 0) return;
    capacity.free += availableCapacity(machine, job, now).fitCount(need);
    capacity.withPreemption += tasks;
    capacity.machines.push_back({&machine, tasks});
}

GangCapacity gangCapacityIn(const std::string& zone, const Job& job, const Fleet& fleet,
                            const PlacementConstraints& constraints, ScanCounter& scans, Time now) {
    GangCapacity capacity;
    capacity.zone = zone;
    for (const auto& [id, machine] : fleet.machines()) {
        if (zone != kAllZones && machine->zone != zone) continue;
        if (!machine->typeInfo || machine->typeInfo->gpus < job.spec.gpus) continue;
        scans.add();
        if (isUsable(*machine, now)) addMachine(*machine, job, constraints, now, capacity);
    }
    capacity.withPreemption = std::min(capacity.withPreemption, job.spec.tasks);
    capacity.withReplicasOnly = std::min(capacity.withReplicasOnly, job.spec.tasks);
    return capacity;
}

}  // namespace

GangCapacity bestGangCapacity(const Job& job, const Fleet& fleet, const std::vector<std::string>& zones,
                              const PlacementConstraints& constraints, ScanCounter& scans, Time now) {
    if (!job.spec.singleZone) return gangCapacityIn(kAllZones, job, fleet, constraints, scans, now);
    GangCapacity best;
    for (const auto& zone : zones) {
        auto capacity = gangCapacityIn(zone, job, fleet, constraints, scans, now);
        if (capacity.comparisonKey() > best.comparisonKey()) best = std::move(capacity);
    }
    return best;
}

}  // namespace burlpoint::coordination
