#include "coordination/autoscaling/instance_selection.h"

#include <algorithm>
#include <iterator>

#include "bookkeeping/fleet.h"

namespace burlpoint::coordination {

using bookkeeping::capacityOf;
using bookkeeping::MachineTypes;
using bookkeeping::needOf;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::MachineType;

namespace {

// Highest price per processor, relative to a plain machine, at which an array that needs no accelerators uses
// a machine that has some. Above it the array waits for plain machines.
constexpr double kMaxPriceRatio = 2;

/// The highest on-demand price per processor among the plain machine types that are large enough; 0 if there
/// is none.
double plainProcessorPrice(const JobSpec& spec, const MachineTypes& types) {
    double price = 0;
    for (const auto& [name, type] : types) {
        if (type.gpus > 0 || type.cpus <= 0 || !capacityOf(type).covers(needOf(spec))) continue;
        price = std::max(price, type.price / type.cpus);
    }
    return price;
}

bool allowsOnDemandInSomeZone(const JobSpec& spec, const MachineType& type) {
    return std::any_of(type.zones.begin(), type.zones.end(), [&](const auto& zone) {
        return bookkeeping::ownerAllows(spec, type.name, zone, false);
    });
}

bool isObtainable(const JobSpec& spec, const MachineType& type, const std::string& zone,
                  const CapacityErrors& capacityErrors, Time now) {
    return std::any_of(std::begin(kPurchaseOptions), std::end(kPurchaseOptions), [&](bool spot) {
        return bookkeeping::ownerAllows(spec, type.name, zone, spot) &&
               !capacityErrors.isUnavailable({type.name, zone, spot}, now);
    });
}

}  // namespace

bool isObtainableIn(const std::string& zone, const JobSpec& spec, const MachineTypes& types,
                    const CapacityErrors& capacityErrors, Time now) {
    const auto need = needOf(spec);
    return std::any_of(types.begin(), types.end(), [&](const auto& entry) {
        const auto& type = entry.second;
        const bool offered = std::find(type.zones.begin(), type.zones.end(), zone) != type.zones.end();
        return offered && capacityOf(type).covers(need) &&
               isObtainable(spec, type, zone, capacityErrors, now);
    });
}

bool plainMachineObtainable(const JobSpec& spec, const MachineTypes& types,
                            const CapacityErrors& capacityErrors, Time now) {
    const auto need = needOf(spec);
    return std::any_of(types.begin(), types.end(), [&](const auto& entry) {
        const auto& type = entry.second;
        if (type.gpus > 0 || !capacityOf(type).covers(need)) return false;
        return std::any_of(type.zones.begin(), type.zones.end(), [&](const auto& zone) {
            return isObtainable(spec, type, zone, capacityErrors, now);
        });
    });
}

bool needsAcceleratorMachine(const JobSpec& spec, const MachineTypes& types) {
    if (spec.gpus > 0) return false;
    const auto need = needOf(spec);
    return std::none_of(types.begin(), types.end(), [&](const auto& entry) {
        const auto& type = entry.second;
        return type.gpus <= 0 && capacityOf(type).covers(need) && allowsOnDemandInSomeZone(spec, type);
    });
}

bool isPriceAcceptable(const JobSpec& spec, const MachineType& type, bool spot, const MachineTypes& types) {
    const bool acceleratorsUnused = type.gpus > 0 && spec.gpus <= 0;
    if (!acceleratorsUnused || spec.kind != JobKind::array) return true;
    if (needsAcceleratorMachine(spec, types)) return true;
    const double plainPrice = plainProcessorPrice(spec, types);
    return plainPrice <= 0 || priceOf(type, spot) / type.cpus <= kMaxPriceRatio * plainPrice;
}

}  // namespace burlpoint::coordination
