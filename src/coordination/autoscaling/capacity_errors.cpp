#include "coordination/autoscaling/capacity_errors.h"

#include <algorithm>

namespace burlpoint::coordination {

using bookkeeping::Offering;
using protocol::MachineType;
using namespace std::chrono_literals;

namespace {

// The bounds are short enough to notice soon that there is capacity again, and long enough to spend few
// requests on unavailable offerings.
constexpr Clock::duration kMinBackOff = 4s;
constexpr Clock::duration kMaxBackOff = 16s;

}  // namespace

void CapacityErrors::record(const Offering& offering, Time now) {
    auto& backOff = backOffs_[offering];
    backOff.length = std::clamp(backOff.length * 2, kMinBackOff, kMaxBackOff);
    backOff.until = now + backOff.length;
}

void CapacityErrors::clear(const Offering& offering) { backOffs_.erase(offering); }

bool CapacityErrors::isUnavailable(const Offering& offering, Time now) const {
    const auto found = backOffs_.find(offering);
    return found != backOffs_.end() && found->second.until > now;
}

bool CapacityErrors::unavailableEverywhere(const MachineType& type, Time now) const {
    return std::all_of(type.zones.begin(), type.zones.end(), [&](const auto& zone) {
        return isUnavailable({type.name, zone, false}, now);
    });
}

std::vector<Offering> CapacityErrors::unavailableNow(Time now) const {
    std::vector<Offering> offerings;
    for (const auto& [offering, backOff] : backOffs_)
        if (backOff.until > now) offerings.push_back(offering);
    return offerings;
}

}  // namespace burlpoint::coordination
