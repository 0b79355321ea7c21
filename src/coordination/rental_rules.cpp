#include "coordination/rental_rules.h"

#include <algorithm>
#include <iterator>

namespace burlpoint::coordination {

using bookkeeping::needOf;
using bookkeeping::sizeOf;
using protocol::Kind;

namespace {

// Of the price per processor, against a plain machine; beyond that, plain work waits for plain machines.
constexpr double kMaxPriceRatio = 2;

/// The dearest processor among ordinary machines without accelerators that are large enough; 0: there is
/// none.
double plainProcessorPrice(const JobSpec& spec, const MachineTypes& types) {
    double price = 0;
    for (const auto& [name, type] : types) {
        if (type.gpus > 0 || type.cpus <= 0 || !sizeOf(type).covers(needOf(spec))) continue;
        price = std::max(price, type.price / type.cpus);
    }
    return price;
}

bool allowsOrdinaryInSomeZone(const JobSpec& spec, const MachineType& type) {
    return std::any_of(type.zones.begin(), type.zones.end(),
                       [&](const auto& zone) { return allows(spec, type.name, zone, false); });
}

bool rentable(const JobSpec& spec, const MachineType& type, const std::string& zone,
              const RentalRefusals& refusals, Time now) {
    return std::any_of(std::begin(kSpotChoices), std::end(kSpotChoices), [&](bool spot) {
        return allows(spec, type.name, zone, spot) && !refusals.refused({type.name, zone, spot}, now);
    });
}

}  // namespace

const MachineType* findType(const MachineTypes& types, const std::string& name) {
    const auto found = types.find(name);
    return found == types.end() ? nullptr : &found->second;
}

bool allows(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
    if (spot && !spec.spot) return false;
    if (spec.zone && *spec.zone != zone) return false;
    return !spec.types || std::find(spec.types->begin(), spec.types->end(), type) != spec.types->end();
}

bool rentableIn(const std::string& zone, const JobSpec& spec, const MachineTypes& types,
                const RentalRefusals& refusals, Time now) {
    const auto need = needOf(spec);
    return std::any_of(types.begin(), types.end(), [&](const auto& entry) {
        const auto& type = entry.second;
        const bool offered = std::find(type.zones.begin(), type.zones.end(), zone) != type.zones.end();
        return offered && sizeOf(type).covers(need) && rentable(spec, type, zone, refusals, now);
    });
}

bool plainMachineRentable(const JobSpec& spec, const MachineTypes& types, const RentalRefusals& refusals,
                          Time now) {
    const auto need = needOf(spec);
    return std::any_of(types.begin(), types.end(), [&](const auto& entry) {
        const auto& type = entry.second;
        if (type.gpus > 0 || !sizeOf(type).covers(need)) return false;
        return std::any_of(type.zones.begin(), type.zones.end(),
                           [&](const auto& zone) { return rentable(spec, type, zone, refusals, now); });
    });
}

bool needsAcceleratorMachine(const JobSpec& spec, const MachineTypes& types) {
    if (spec.gpus > 0) return false;
    const auto need = needOf(spec);
    return std::none_of(types.begin(), types.end(), [&](const auto& entry) {
        const auto& type = entry.second;
        return type.gpus <= 0 && sizeOf(type).covers(need) && allowsOrdinaryInSomeZone(spec, type);
    });
}

bool worthRenting(const JobSpec& spec, const MachineType& type, bool spot, const MachineTypes& types) {
    const bool dearForIt = type.gpus > 0 && spec.gpus <= 0 && spec.kind == Kind::array;
    if (!dearForIt || needsAcceleratorMachine(spec, types)) return true;
    const double plain = plainProcessorPrice(spec, types);
    return plain <= 0 || priceOf(type, spot) / type.cpus <= kMaxPriceRatio * plain;
}

}  // namespace burlpoint::coordination
