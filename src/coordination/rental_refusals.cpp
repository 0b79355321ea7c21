#include "coordination/rental_refusals.h"

#include <algorithm>

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {

// Short enough to notice soon that there is capacity again, with few requests meanwhile.
constexpr Clock::duration kFirstPause = 4s;
constexpr Clock::duration kLongestPause = 16s;

}  // namespace

void RentalRefusals::note(const Offering& offering, Time now) {
    auto& refusal = refusals_[offering];
    refusal.pause = std::clamp(refusal.pause * 2, kFirstPause, kLongestPause);
    refusal.until = now + refusal.pause;
}

void RentalRefusals::forget(const Offering& offering) { refusals_.erase(offering); }

bool RentalRefusals::refused(const Offering& offering, Time now) const {
    const auto found = refusals_.find(offering);
    return found != refusals_.end() && found->second.until > now;
}

bool RentalRefusals::refusedEverywhere(const MachineType& type, Time now) const {
    return std::all_of(type.zones.begin(), type.zones.end(), [&](const auto& zone) {
        return refused({type.name, zone, false}, now);
    });
}

std::vector<Offering> RentalRefusals::refusedNow(Time now) const {
    std::vector<Offering> offerings;
    for (const auto& [offering, refusal] : refusals_)
        if (refusal.until > now) offerings.push_back(offering);
    return offerings;
}

}  // namespace burlpoint::coordination
