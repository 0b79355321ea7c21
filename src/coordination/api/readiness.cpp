#include "coordination/api/readiness.h"

#include <algorithm>

namespace burlpoint::coordination {
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds kFirstPenalty = 3s;
constexpr std::chrono::seconds kLongestPenalty = 40s;
constexpr auto kLossesAddUpWithin = 120s;  // a loss that follows another so soon doubles the penalty

}  // namespace

void Readiness::update(bool able, Time now) {
    if (!able) {
        if (ready_) {
            const bool again = now - lostAt_ < kLossesAddUpWithin;
            penalty_ = again ? std::min(penalty_ * 2, kLongestPenalty) : kFirstPenalty;
            lostAt_ = now;
        }
        ready_ = false;
        ableSince_ = Time::max();
        return;
    }
    if (ableSince_ == Time::max()) ableSince_ = now;
    if (wasEverReady_ && now - ableSince_ < penalty_) return;
    ready_ = true;
    wasEverReady_ = true;
}

}  // namespace burlpoint::coordination
