#include "coordination/controller/cloud_response_handler.h"

#include <algorithm>
#include <set>
#include <string>

#include "bookkeeping/machine_status.h"

namespace burlpoint::coordination {

using protocol::CloudInstance;
using protocol::MachineState;

namespace {

constexpr Seconds kMaxInstanceAge{86'400};  // limits the reported age: subtracting a huge age could overflow

}  // namespace

CloudResponseHandler::CloudResponseHandler(const CloudResponseHandlerContext& context) : context_(context) {}

void CloudResponseHandler::handle(const ScaleOutCompleted& event, Time now) {
    const auto request =
        context_.autoscaler.recordScaleOutOutcome(event.name, event.outcome, event.machines.size(), now);
    if (!request) return;
    for (const auto& id : event.machines) {
        if (context_.membership.isOrWasMember(id)) continue;
        context_.membership.findOrAdd(id, {request->type, request->zone, request->spot}, now);
        context_.registry.scheduleAddition(id);
    }
}

void CloudResponseHandler::handle(const ScaleInCompleted& event, Time now) {
    context_.autoscaler.recordScaleInOutcome(event.outcome, now);
    if (event.outcome != ScaleInOutcome::deleted) return;
    for (const auto& id : event.machines) {
        if (auto* machine = context_.fleet.find(id)) context_.membership.remove(*machine, now);
        context_.membership.recordDeletion(id);
    }
}

void CloudResponseHandler::handle(const MachinesListed& event, Time now) {
    context_.autoscaler.recordMachineListingCompletion();
    if (!event.complete) return;
    std::set<std::string> listed;
    for (const auto& instance : event.machines) {
        listed.insert(instance.id);
        applyListedInstance(instance, now);
    }
    const auto vanishedMachines =
        context_.autoscaler.vanishedMachines(context_.fleet, listed, event.requestedAt);
    for (auto* machine : vanishedMachines) context_.membership.remove(*machine, now);
}

/// Updates the fleet from a machine in the cloud's list. The machine may be new to this leader: an earlier
/// leader may have requested it, or a request whose outcome was unknown may have created it late.
void CloudResponseHandler::applyListedInstance(const CloudInstance& instance, Time now) {
    if (context_.membership.isDeleted(instance.id)) return;
    const bool known = context_.fleet.find(instance.id) != nullptr;
    auto& machine =
        context_.membership.findOrAdd(instance.id, {instance.type, instance.zone, instance.spot}, now);
    // The instance age is the boot time so far, which only matters for a machine that is still booting. A
    // machine that may have had tasks has booted already.
    if (machine.agent.incarnation == 0 && !bookkeeping::mayHoldTasks(context_.replica, instance.id)) {
        const auto age = std::chrono::duration_cast<Clock::duration>(std::min(instance.age, kMaxInstanceAge));
        machine.cloud.firstSeenAt = std::min(machine.cloud.firstSeenAt, now - age);
    }
    if (!known) machine.history.lastBusyAt = now;
    if (machine.address.empty()) machine.address = instance.address;
    if (instance.state == MachineState::failed) machine.cloud.failed = true;
}

void CloudResponseHandler::handle(const TypesListed& event) {
    if (event.types.empty()) return;
    bool changed = false;
    for (const auto& type : event.types) changed |= updateType(type);
    for (const auto& [id, machine] : context_.fleet.machines())
        if (!machine->typeInfo) machine->typeInfo = bookkeeping::findType(context_.types, machine->type);
    if (changed) context_.writer.markTypesUnstored();
    context_.jobQueue.markStale();
}

/// Replaces the known machine type of that name. Returns true if the change is to be stored.
bool CloudResponseHandler::updateType(const protocol::MachineType& type) {
    auto& known = context_.types[type.name];
    // Prices change all the time and are requested again from the cloud, so a change of price alone does not
    // justify a write to the key-value store.
    auto compared = type;
    compared.price = known.price;
    compared.spotPrice = known.spotPrice;
    const bool changed = !(compared == known);
    known = type;
    return changed;
}

}  // namespace burlpoint::coordination
