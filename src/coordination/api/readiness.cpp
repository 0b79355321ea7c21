#include "coordination/api/readiness.h"

#include <algorithm>

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds kMaxHoldDown = 40s;
constexpr std::chrono::seconds kFlapWindow = 120s;  // losses less than this apart count as flapping

}  // namespace

void Readiness::update(bool healthy, Time now) {
    if (!healthy) return recordUnhealthy(now);
    if (healthySince_ == Time::max()) healthySince_ = now;
    const bool heldDown = wasEverReady_ && now - healthySince_ < holdDown_;
    if (heldDown) return;
    ready_ = true;
    wasEverReady_ = true;
}

void Readiness::recordUnhealthy(Time now) {
    if (ready_) {
        const bool flapping = now - lastLossAt_ < kFlapWindow;
        holdDown_ = flapping ? std::min(holdDown_ * 2, kMaxHoldDown) : kInitialHoldDown;
        lastLossAt_ = now;
    }
    ready_ = false;
    healthySince_ = Time::max();
}

}  // namespace burlpoint::coordination
