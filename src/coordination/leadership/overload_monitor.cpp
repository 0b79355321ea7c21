#include "coordination/leadership/overload_monitor.h"

#include <algorithm>

namespace burlpoint::coordination {
using namespace std::chrono_literals;

namespace {

constexpr auto kLate = 200ms;              // a tick later than this is behind, not merely after a long batch
constexpr auto kOverloadedAfter = 1200ms;  // of ticks that were all late
// A take-over reads, reconciles and answers everything at once, and is late for some seconds on any machine.
constexpr auto kTakeOver = 8s;
constexpr Clock::duration kFirstPause = 60s;
constexpr Clock::duration kLongestPause = 960s;
// So long after it gave way, the next time counts as the first again.
constexpr auto kForgottenAfter = 3600s;

}  // namespace

void OverloadMonitor::noteTick(Time due, Time now) {
    if (now - due < kLate)
        lateSince_.reset();
    else if (!lateSince_)
        lateSince_ = due;
}

void OverloadMonitor::noteLeading(Time now) {
    leadingSince_ = now;
    lateSince_.reset();
}

bool OverloadMonitor::isOverloaded(Time now) const {
    return lateSince_ && now - *lateSince_ >= kOverloadedAfter;
}

bool OverloadMonitor::shouldGiveWay(Time now) const {
    if (now - leadingSince_ < kTakeOver || !isOverloaded(now)) return false;
    return pause_ == Clock::duration::zero() || now - givenWayAt_ >= pause_;
}

void OverloadMonitor::noteGivenWay(Time now) {
    const bool first = pause_ == Clock::duration::zero() || now - givenWayAt_ >= kForgottenAfter;
    pause_ = first ? kFirstPause : std::min(pause_ * 2, kLongestPause);
    givenWayAt_ = now;
}

}  // namespace burlpoint::coordination
