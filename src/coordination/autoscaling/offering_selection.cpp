#include "coordination/autoscaling/offering_selection.h"

#include "coordination/autoscaling/instance_selection.h"

namespace burlpoint::coordination {

using bookkeeping::capacityOf;
using bookkeeping::Offering;
using protocol::MachineType;

namespace {

// After a capacity error, and until an instance request for the offering is fulfilled in full, a plan
// requests at most this many machines of the offering; the rest are requested from other offerings.
constexpr std::uint32_t kMaxMachinesAfterError = 3;

}  // namespace

std::optional<Offering> OfferingSelection::cheapest(const TaskDemand& demand, bool plainObtainable,
                                                    const MissingMachines& missing) const {
    std::optional<Choice> best;
    for (const auto& [name, type] : types_) {
        if (!isCandidate(type, demand, plainObtainable)) continue;
        for (const auto& zone : type.zones) considerZone(best, type, zone, demand, missing);
    }
    if (!best) return std::nullopt;
    return std::move(best->offering);
}

/// True if the type is large enough for a task, and would not leave accelerators unused while plain machines
/// can be obtained.
bool OfferingSelection::isCandidate(const MachineType& type, const TaskDemand& demand,
                                    bool plainObtainable) const {
    if (!capacityOf(type).covers(demand.perTask)) return false;
    const bool acceleratorsUnused = type.gpus > 0 && demand.job.spec.gpus <= 0;
    return !acceleratorsUnused || !plainObtainable;
}

/// Replaces `best` with a cheaper offering of the type in the zone, if there is one.
void OfferingSelection::considerZone(std::optional<Choice>& best, const MachineType& type,
                                     const std::string& zone, const TaskDemand& demand,
                                     const MissingMachines& missing) const {
    const auto tasks = demand.tasksThatFit(capacityOf(type), zone);
    if (tasks == 0) return;
    const auto& spec = demand.job.spec;
    for (const bool spot : kPurchaseOptions) {
        const double pricePerTask = priceOf(type, spot) / tasks;
        if (best && pricePerTask >= best->pricePerTask) continue;
        if (!bookkeeping::ownerAllows(spec, type.name, zone, spot)) continue;
        if (!isPriceAcceptable(spec, type, spot, types_)) continue;
        Offering offering{type.name, zone, spot};
        if (!mayRequest(offering, missing)) continue;
        best = Choice{std::move(offering), pricePerTask};
    }
}

bool OfferingSelection::mayRequest(const Offering& offering, const MissingMachines& missing) const {
    if (capacityErrors_.isUnavailable(offering, now_)) return false;
    if (!capacityErrors_.hasRecentError(offering)) return true;
    const auto found = missing.find(offering);
    return found == missing.end() || found->second < kMaxMachinesAfterError;
}

}  // namespace burlpoint::coordination
