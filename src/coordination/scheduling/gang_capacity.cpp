#include "coordination/scheduling/gang_capacity.h"

#include <algorithm>

#include "coordination/scheduling/placement_constraints.h"

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::Resources;

namespace {

/// Room that was made for another job is not to be had.
bool isKeptForAnother(const Machine& machine, const Job& job, Time now) {
    return machine.isReserved(now) && !machine.holding && machine.reservedFor != &job;
}

/// Tasks that would fit on the machine beside nothing but its replicas.
std::uint32_t roomBesideReplicas(const Machine& machine, const Resources& need) {
    return (bookkeeping::sizeOf(*machine.typeInfo) - machine.plainUse[bookkeeping::kReplicaUse]).times(need);
}

void addMachine(Machine& machine, const Job& job, const PlacementConstraints& constraints, Time now,
                GangCapacity& room) {
    const auto need = bookkeeping::needOf(job.spec);
    if (bookkeeping::ownerAllows(job.spec, machine.type, machine.zone, machine.spot))
        room.possible += roomBesideReplicas(machine, need);
    if (!bookkeeping::sizeOf(*machine.typeInfo).covers(need) || !constraints.mayStart(job, machine, now)) return;
    if (isKeptForAnother(machine, job, now)) return;
    const auto tasks = capacityWithPreemption(machine, job, now).times(need);
    if (tasks == 0) return;
    room.free += availableCapacity(machine, job, now).times(need);
    room.withPreemption += tasks;
    room.machines.push_back({&machine, tasks});
}

/// What machines in the zone, in all zones if it is empty, offer the gang.
GangCapacity gangCapacityIn(const std::string& zone, const Job& job, const Fleet& fleet,
                            const PlacementConstraints& constraints, ScanCounter& scans, Time now) {
    GangCapacity room;
    room.zone = zone;
    for (const auto& [id, machine] : fleet.machines()) {
        if (!zone.empty() && machine->zone != zone) continue;
        if (!machine->typeInfo || machine->typeInfo->gpus < job.spec.gpus) continue;
        scans.add();
        if (usable(*machine, now)) addMachine(*machine, job, constraints, now, room);
    }
    room.withPreemption = std::min(room.withPreemption, job.spec.tasks);
    room.possible = std::min(room.possible, job.spec.tasks);
    return room;
}

}  // namespace

GangCapacity bestGangCapacity(const Job& job, const Fleet& fleet, const std::vector<std::string>& zones,
                              const PlacementConstraints& constraints, ScanCounter& scans, Time now) {
    if (!job.spec.singleZone) return gangCapacityIn("", job, fleet, constraints, scans, now);
    GangCapacity best;
    for (const auto& zone : zones) {
        auto room = gangCapacityIn(zone, job, fleet, constraints, scans, now);
        if (room.merit() > best.merit()) best = std::move(room);
    }
    return best;
}

}  // namespace burlpoint::coordination
