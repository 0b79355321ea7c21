// What the cloud's answers mean for the fleet, and the requests to it as actions.
#include <algorithm>

#include "coordination/leader.h"
#include "coordination/machine_status.h"

namespace burlpoint::coordination {

using protocol::MachineState;
using protocol::Rented;

namespace {

constexpr Seconds kMaxAge{86'400};  // whatever the cloud says, a day is old

Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

}  // namespace

void Leader::provision() {
    const auto due = [this](const Job& job) { return dayClock_.steadyAt(*job.dueMs); };
    auto requests = provisioner_.decide(fleet_, types_, {order_.waiting(), due}, now_);
    for (auto& rental : requests.rentals) actions_.push_back(Rent{std::move(rental)});
    if (!requests.releases.empty()) actions_.push_back(Release{std::move(requests.releases)});
    if (requests.listMachines) actions_.push_back(ListMachines{});
    if (requests.listTypes) actions_.push_back(ListTypes{});
}

void Leader::on(RentalAnswered& command) {
    const auto request =
        provisioner_.rentalAnswered(command.name, command.outcome, command.machines.size(), now_);
    if (!request) return;
    for (const auto& id : command.machines) {
        if (removedMachines_.contains(id) || fleet_.find(id)) continue;
        findOrAddMachine(id, request->type, request->zone, request->spot);
        roster_.noteRented(id);
    }
}

void Leader::on(ReleaseAnswered& command) {
    provisioner_.releaseAnswered(command.ok, now_);
    if (!command.ok) return;
    for (const auto& id : command.machines) {
        if (auto* machine = fleet_.find(id)) removeMachine(*machine);
        removedMachines_.noteDeleted(id);
    }
}

void Leader::on(MachinesListed& command) {
    provisioner_.machinesListed();
    if (!command.ok) return;
    std::set<std::string> listed;
    for (const auto& rented : command.machines) {
        listed.insert(rented.id);
        noteListed(rented);
    }
    for (auto* machine : provisioner_.vanished(fleet_, listed, command.asked)) removeMachine(*machine);
}

/// The cloud has the machine: rented by this leader or an earlier one, or by a request that was carried out
/// late.
void Leader::noteListed(const Rented& rented) {
    if (removedMachines_.isDeleted(rented.id)) return;
    const bool known = fleet_.find(rented.id) != nullptr;
    auto& machine = findOrAddMachine(rented.id, rented.type, rented.zone, rented.spot);
    // One that may have had tasks is silent, not booting, and its age says nothing.
    if (machine.session == 0 && !mayHoldTasks(replica_, rented.id))
        machine.knownSince = std::min(machine.knownSince, now_ - ticks(std::min(rented.age, kMaxAge)));
    if (!known) machine.busyUntil = now_;
    if (machine.address.empty()) machine.address = rented.address;
    if (rented.state == MachineState::failed) machine.failed = true;
}

void Leader::on(TypesListed& command) {
    if (command.types.empty()) return;
    bool changed = false;
    for (auto& type : command.types) {
        auto& known = types_[type.name];
        // Prices move all the time and are asked for anew; only the rest is worth a write.
        auto compared = type;
        compared.price = known.price;
        compared.spotPrice = known.spotPrice;
        changed |= !(compared == known);
        known = std::move(type);
    }
    for (const auto& [id, machine] : fleet_.machines())
        if (!machine->kind) machine->kind = findType(types_, machine->type);
    if (changed) writer_.noteTypesChanged();
    order_.markStale();
}

}  // namespace burlpoint::coordination
