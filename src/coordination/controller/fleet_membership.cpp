#include "coordination/controller/fleet_membership.h"

#include <spdlog/spdlog.h>

namespace burlpoint::coordination {

using bookkeeping::Machine;

FleetMembership::FleetMembership(bookkeeping::Fleet& fleet, const bookkeeping::MachineTypes& types,
                                 MachineRegistry& registry, AttemptCompletion& completion, JobQueue& jobQueue)
    : fleet_(fleet), types_(types), registry_(registry), completion_(completion), jobQueue_(jobQueue) {}

Machine& FleetMembership::findOrAdd(const std::string& id, const bookkeeping::Offering& offering, Time now) {
    const bool known = fleet_.find(id) != nullptr;
    auto& machine = fleet_.add(id, now);
    if (known) return machine;
    machine.type = offering.type;
    machine.zone = offering.zone;
    machine.spot = offering.spot;
    machine.typeInfo = bookkeeping::findType(types_, offering.type);
    machine.registry.reconciled = !registry_.mayHoldTasks(id);
    tombstones_.restoreCounters(machine);  // the machine may have left the fleet earlier
    return machine;
}

void FleetMembership::remove(Machine& machine, Time now) {
    const auto id = machine.id;
    tombstones_.add(machine);
    completion_.endAll(machine, now);
    registry_.scheduleRemoval(machine);
    fleet_.erase(id);
    jobQueue_.markStale();
}

bool FleetMembership::isOrWasMember(const std::string& id) const {
    return tombstones_.contains(id) || fleet_.find(id);
}

bool FleetMembership::isFromBeforeRemoval(const protocol::Heartbeat& heartbeat) const {
    return !fleet_.find(heartbeat.machine) && tombstones_.isStale(heartbeat);
}

void quarantine(Machine& machine) {
    spdlog::info("machine quarantined: worker restarted its message counters machine={}", machine.id);
    machine.agent.quarantined = true;
    machine.cloud.deletionRequested = true;
}

}  // namespace burlpoint::coordination
