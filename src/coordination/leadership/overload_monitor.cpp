#include "coordination/leadership/overload_monitor.h"

#include <algorithm>

namespace burlpoint::coordination {
using namespace std::chrono_literals;

namespace {

// A tick with at least this delay counts as late. One long batch of work delays a tick by less.
constexpr auto kLateTickThreshold = 200ms;
// The process counts as overloaded once all ticks have been late for this long.
constexpr auto kOverloadedAfter = 1200ms;
// A new leader does not resign for overload within this time: after a failover it reads the state, reconciles
// heartbeats and answers all workers at once, which makes its ticks late for some seconds on any machine.
constexpr auto kFailoverGracePeriod = 8s;
// Minimum time between two resignations for overload: its initial value, and the upper limit of its doubling.
constexpr Clock::duration kInitialPause = 60s;
constexpr Clock::duration kMaxPause = 960s;
// If the last resignation is at least this long ago, the next pause is `kInitialPause` again.
constexpr auto kPauseResetAfter = 3600s;

}  // namespace

void OverloadMonitor::recordTick(Time due, Time now) {
    if (now - due < kLateTickThreshold)
        lateSince_.reset();
    else if (!lateSince_)
        lateSince_ = due;
}

void OverloadMonitor::recordLeadershipStart(Time now) {
    leadingSince_ = now;
    lateSince_.reset();
}

bool OverloadMonitor::isOverloaded(Time now) const {
    return lateSince_ && now - *lateSince_ >= kOverloadedAfter;
}

bool OverloadMonitor::shouldResign(Time now) const {
    if (now - leadingSince_ < kFailoverGracePeriod || !isOverloaded(now)) return false;
    return resignationPause_ == Clock::duration::zero() || now - resignedAt_ >= resignationPause_;
}

void OverloadMonitor::recordResignation(Time now) {
    const bool first = resignationPause_ == Clock::duration::zero() || now - resignedAt_ >= kPauseResetAfter;
    resignationPause_ = first ? kInitialPause : std::min(resignationPause_ * 2, kMaxPause);
    resignedAt_ = now;
}

}  // namespace burlpoint::coordination
