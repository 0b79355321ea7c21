#include "coordination/roster.h"

#include "coordination/machine_status.h"

namespace burlpoint::coordination {

using bookkeeping::Machine;
using bookkeeping::RosterState;

Roster::Roster(bookkeeping::StateReplica& replica, bookkeeping::Fleet& fleet)
    : replica_(replica), fleet_(fleet) {}

storage::MachineRecord Roster::recordOf(const Machine& machine) {
    return {machine.session > 0 ? machine.address : "", machine.type, machine.zone, machine.spot};
}

bool Roster::mayHoldTasks(const std::string& id) const { return coordination::mayHoldTasks(replica_, id); }

void Roster::noteRented(const std::string& id) { additions_.insert(id); }

void Roster::ensureEntry(Machine& machine) {
    if (machine.roster == RosterState::writing) return;
    // It was forgotten, and is back. A deletion of its entry may still be on its way, so the entry counts
    // only once it is written anew: with its new version that deletion fails.
    removals_.erase(machine.id);
    if (removalsSent_.contains(machine.id)) {
        fleet_.setRoster(machine, RosterState::absent);
        additions_.insert(machine.id);
        return;
    }
    const auto stored = replica_.roster.find(machine.id);
    if (stored != replica_.roster.end() && stored->second.record == recordOf(machine)) {
        fleet_.setRoster(machine, RosterState::stored);
        additions_.erase(machine.id);
        return;
    }
    fleet_.setRoster(machine, mayHoldTasks(machine.id) ? RosterState::stored : RosterState::absent);
    additions_.insert(machine.id);
}

void Roster::ensureEntriesOfReporting() {
    for (auto& [id, machine] : fleet_.machines())
        if (machine->reports && machine->roster != RosterState::stored) ensureEntry(*machine);
}

void Roster::forget(const Machine& machine) {
    if (machine.roster != RosterState::absent) removals_.insert(machine.id);
    additions_.erase(machine.id);
}

void Roster::dropOrphans() {
    for (const auto& [id, stored] : replica_.roster)
        if (!fleet_.find(id)) removals_.insert(id);
}

void Roster::dropSettledRemovals() {
    std::erase_if(removals_, [this](const auto& id) { return !replica_.roster.contains(id); });
}

std::uint64_t Roster::versionOf(const std::string& id) const {
    const auto stored = replica_.roster.find(id);
    return stored == replica_.roster.end() ? 0 : stored->second.version;
}

void Roster::additionSent(const std::string& id) {
    auto& machine = *fleet_.find(id);
    if (machine.roster == RosterState::absent) fleet_.setRoster(machine, RosterState::writing);
}

void Roster::additionStored(const std::string& id, const storage::MachineRecord& record,
                            std::uint64_t revision) {
    replica_.roster[id] = {record, revision};
    removalsSent_.erase(id);
    auto* machine = fleet_.find(id);
    if (!machine) {
        removals_.insert(id);
        return;
    }
    if (!record.address.empty())
        fleet_.setRoster(*machine, RosterState::stored);
    else if (machine->roster == RosterState::writing)
        fleet_.setRoster(*machine, RosterState::absent);
    if (record == recordOf(*machine)) additions_.erase(id);
}

void Roster::additionNotStored(const std::string& id) {
    auto* machine = fleet_.find(id);
    if (machine && machine->roster == RosterState::writing) fleet_.setRoster(*machine, RosterState::absent);
}

void Roster::removalSent(const std::string& id) { removalsSent_.insert(id); }

void Roster::removalStored(const std::string& id) {
    replica_.roster.erase(id);
    removals_.erase(id);
}

}  // namespace burlpoint::coordination
