#include "coordination/state/machine_registry.h"

#include "bookkeeping/machine_status.h"

namespace burlpoint::coordination {

using bookkeeping::Machine;
using bookkeeping::RegistrationState;

MachineRegistry::MachineRegistry(bookkeeping::StateReplica& replica, bookkeeping::Fleet& fleet)
    : replica_(replica), fleet_(fleet) {}

storage::MachineRecord MachineRegistry::expectedEntry(const Machine& machine) {
    return {machine.agent.incarnation > 0 ? machine.address : "", machine.type, machine.zone, machine.spot};
}

bool MachineRegistry::mayHoldTasks(const std::string& id) const {
    return bookkeeping::mayHoldTasks(replica_, id);
}

void MachineRegistry::scheduleAddition(const std::string& id) { additions_.insert(id); }

void MachineRegistry::ensureEntry(Machine& machine) {
    if (machine.registry.state == RegistrationState::writing) return;
    removals_.erase(machine.id);
    if (removalsSent_.contains(machine.id)) {
        // The machine had left and has returned, and the deletion of its entry may still be executed. The
        // entry counts as stored only after it is rewritten: the new version makes the deletion fail.
        fleet_.setRegistration(machine, RegistrationState::absent);
        additions_.insert(machine.id);
    } else if (isUpToDate(machine)) {
        fleet_.setRegistration(machine, RegistrationState::stored);
        additions_.erase(machine.id);
    } else {
        // An outdated entry with an address is sufficient for starting tasks.
        fleet_.setRegistration(
            machine, mayHoldTasks(machine.id) ? RegistrationState::stored : RegistrationState::absent);
        additions_.insert(machine.id);
    }
}

bool MachineRegistry::isUpToDate(const Machine& machine) const {
    const auto stored = replica_.registeredMachines.find(machine.id);
    return stored != replica_.registeredMachines.end() && stored->second.record == expectedEntry(machine);
}

void MachineRegistry::ensureEntriesOfMachinesWithHeartbeat() {
    for (auto& [id, machine] : fleet_.machines())
        if (machine->lease.active && machine->registry.state != RegistrationState::stored)
            ensureEntry(*machine);
}

void MachineRegistry::scheduleRemoval(const Machine& machine) {
    if (machine.registry.state != RegistrationState::absent) removals_.insert(machine.id);
    additions_.erase(machine.id);
}

void MachineRegistry::removeEntriesWithoutMachine() {
    for (const auto& [id, stored] : replica_.registeredMachines)
        if (!fleet_.find(id)) removals_.insert(id);
}

void MachineRegistry::dropCompletedRemovals() {
    std::erase_if(removals_, [this](const auto& id) { return !replica_.registeredMachines.contains(id); });
}

std::uint64_t MachineRegistry::versionOf(const std::string& id) const {
    const auto stored = replica_.registeredMachines.find(id);
    return stored == replica_.registeredMachines.end() ? 0 : stored->second.version;
}

void MachineRegistry::recordAdditionSent(const std::string& id) {
    auto& machine = *fleet_.find(id);
    if (machine.registry.state == RegistrationState::absent)
        fleet_.setRegistration(machine, RegistrationState::writing);
}

void MachineRegistry::recordAdditionStored(const std::string& id, const storage::MachineRecord& record,
                                           std::uint64_t revision) {
    replica_.registeredMachines[id] = {record, revision};
    removalsSent_.erase(id);
    auto* machine = fleet_.find(id);
    if (!machine) {
        removals_.insert(id);
        return;
    }
    // An entry without an address belongs to a machine without a heartbeat and does not allow tasks.
    if (!record.address.empty())
        fleet_.setRegistration(*machine, RegistrationState::stored);
    else if (machine->registry.state == RegistrationState::writing)
        fleet_.setRegistration(*machine, RegistrationState::absent);
    if (record == expectedEntry(*machine)) additions_.erase(id);
}

void MachineRegistry::recordAdditionNotStored(const std::string& id) {
    auto* machine = fleet_.find(id);
    if (machine && machine->registry.state == RegistrationState::writing)
        fleet_.setRegistration(*machine, RegistrationState::absent);
}

void MachineRegistry::recordRemovalSent(const std::string& id) { removalsSent_.insert(id); }

void MachineRegistry::recordRemovalStored(const std::string& id) {
    replica_.registeredMachines.erase(id);
    removals_.erase(id);
}

}  // namespace burlpoint::coordination
