#include "coordination/autoscaling/capacity_errors.h"

#include <algorithm>

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {

// Short enough to notice soon that there is capacity again, with few requests meanwhile.
constexpr Clock::duration kFirstPause = 4s;
constexpr Clock::duration kLongestPause = 16s;

}  // namespace

void CapacityErrors::note(const Offering& offering, Time now) {
    auto& refusal = capacityErrors_[offering];
    refusal.pause = std::clamp(refusal.pause * 2, kFirstPause, kLongestPause);
    refusal.until = now + refusal.pause;
}

void CapacityErrors::forget(const Offering& offering) { capacityErrors_.erase(offering); }

bool CapacityErrors::refused(const Offering& offering, Time now) const {
    const auto found = capacityErrors_.find(offering);
    return found != capacityErrors_.end() && found->second.until > now;
}

bool CapacityErrors::unavailableEverywhere(const MachineType& type, Time now) const {
    return std::all_of(type.zones.begin(), type.zones.end(), [&](const auto& zone) {
        return refused({type.name, zone, false}, now);
    });
}

std::vector<Offering> CapacityErrors::unavailableNow(Time now) const {
    std::vector<Offering> offerings;
    for (const auto& [offering, refusal] : capacityErrors_)
        if (refusal.until > now) offerings.push_back(offering);
    return offerings;
}

}  // namespace burlpoint::coordination
