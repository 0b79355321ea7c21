#include "coordination/leadership/overload_monitor.h"

#include <algorithm>

namespace burlpoint::coordination {
using namespace std::chrono_literals;

namespace {

constexpr auto kLateTick = 200ms;          // more than one long batch of work delays a tick
constexpr auto kOverloadedAfter = 1200ms;  // of ticks that were all late
// After a failover the new leader reads, reconciles and answers everything at once, and is late for some
// seconds on any machine.
constexpr auto kFailoverTime = 8s;
constexpr Clock::duration kFirstPause = 60s;
constexpr Clock::duration kLongestPause = 960s;
// A resignation longer ago than this no longer lengthens the pause.
constexpr auto kForgottenAfter = 3600s;

}  // namespace

void OverloadMonitor::noteTick(Time due, Time now) {
    if (now - due < kLateTick)
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

bool OverloadMonitor::shouldResign(Time now) const {
    if (now - leadingSince_ < kFailoverTime || !isOverloaded(now)) return false;
    return pause_ == Clock::duration::zero() || now - resignedAt_ >= pause_;
}

void OverloadMonitor::noteResigned(Time now) {
    const bool first = pause_ == Clock::duration::zero() || now - resignedAt_ >= kForgottenAfter;
    pause_ = first ? kFirstPause : std::min(pause_ * 2, kLongestPause);
    resignedAt_ = now;
}

}  // namespace burlpoint::coordination
