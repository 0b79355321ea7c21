// What the cloud's answers mean for the fleet, and the requests to it as actions.
#include <algorithm>

#include "base/clock.h"
#include "bookkeeping/machine_status.h"
#include "bookkeeping/machine_types.h"
#include "coordination/controller/leader.h"

namespace burlpoint::coordination {

using protocol::CloudInstance;
using protocol::MachineState;

namespace {

constexpr Seconds kMaxAge{86'400};  // whatever the cloud says, a day is old

Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

}  // namespace

void Leader::autoscale() {
    const auto due = [this](const Job& job) { return wallClock_.steadyAt(*job.dueAtMs); };
    auto requests = autoscaler_.decide(fleet_, types_, {jobQueue_.waiting(), due}, now_);
    for (auto& rental : requests.scaleOuts) actions_.push_back(ScaleOut{std::move(rental)});
    if (!requests.scaleIn.empty()) actions_.push_back(ScaleIn{std::move(requests.scaleIn)});
    if (requests.listMachines) actions_.push_back(ListMachines{});
    if (requests.listTypes) actions_.push_back(ListTypes{});
}

void Leader::on(ScaleOutCompleted& event) {
    const auto request =
        autoscaler_.scaleOutCompleted(event.name, event.outcome, event.machines.size(), now_);
    if (!request) return;
    for (const auto& id : event.machines) {
        if (tombstones_.contains(id) || fleet_.find(id)) continue;
        findOrAddMachine(id, request->type, request->zone, request->spot);
        registry_.noteRequested(id);
    }
}

void Leader::on(ScaleInCompleted& event) {
    autoscaler_.scaleInCompleted(event.ok ? ScaleInOutcome::accepted : ScaleInOutcome::unknown, now_);
    if (!event.ok) return;
    for (const auto& id : event.machines) {
        if (auto* machine = fleet_.find(id)) removeMachine(*machine);
        tombstones_.addDeleted(id);
    }
}

void Leader::on(MachinesListed& event) {
    autoscaler_.machinesListed();
    if (!event.ok) return;
    std::set<std::string> listed;
    for (const auto& rented : event.machines) {
        listed.insert(rented.id);
        noteListed(rented);
    }
    for (auto* machine : autoscaler_.vanished(fleet_, listed, event.asked)) removeMachine(*machine);
}

/// The cloud has the machine: rented by this leader or an earlier one, or by a request that was carried out
/// late.
void Leader::noteListed(const CloudInstance& rented) {
    if (tombstones_.isDeleted(rented.id)) return;
    const bool known = fleet_.find(rented.id) != nullptr;
    auto& machine = findOrAddMachine(rented.id, rented.type, rented.zone, rented.spot);
    // One that may have had tasks is silent, not booting, and its age says nothing.
    if (machine.incarnation == 0 && !mayHoldTasks(replica_, rented.id))
        machine.firstSeenAt = std::min(machine.firstSeenAt, now_ - ticks(std::min(rented.age, kMaxAge)));
    if (!known) machine.lastBusyAt = now_;
    if (machine.address.empty()) machine.address = rented.address;
    if (rented.state == MachineState::failed) machine.failed = true;
}

void Leader::on(TypesListed& event) {
    if (event.types.empty()) return;
    bool changed = false;
    for (auto& type : event.types) {
        auto& known = types_[type.name];
        // Prices move all the time and are asked for anew; only the rest is worth a write.
        auto compared = type;
        compared.price = known.price;
        compared.spotPrice = known.spotPrice;
        changed |= !(compared == known);
        known = std::move(type);
    }
    for (const auto& [id, machine] : fleet_.machines())
        if (!machine->typeInfo) machine->typeInfo = bookkeeping::findType(types_, machine->type);
    if (changed) writer_.noteTypesChanged();
    jobQueue_.markStale();
}

}  // namespace burlpoint::coordination
