#pragma once

// The leader lease: until when this controller may act on a lease that another process counts. Owns that
// time. It does no I/O and is used on the event loop's thread.

#include <algorithm>
#include <chrono>

#include "base/clock.h"

namespace burlpoint::coordination {

/// A lease as its holder counts it. The time starts when the last successful request was sent, not when it
/// was answered, so that it is over here before it is over for whoever granted it.
class LeaderLease {
  public:
    /// Starts a new lease of `life` that was requested at `sent`.
    void begin(Time sent, Duration life) {
        until_ = safeEnd(sent, life);
        life_ = life;
    }
    /// A renewal for the same life, requested at `sent`, succeeded. Answers may come out of order: an earlier
    /// request never shortens the lease.
    void renewed(Time sent) { until_ = std::max(until_, safeEnd(sent, life_)); }
    /// Ends the lease at once.
    void end() { until_ = Time::min(); }
    /// Does the lease still last at `now`?
    bool valid(Time now) const { return now < until_; }

  private:
    static Time safeEnd(Time sent, Duration life) {
        // 0.1% covers two clocks drifting apart. The rest is for an answer of this controller that is on its
        // way as the lease ends.
        return sent + life - life / 1000 - std::chrono::milliseconds(150);
    }

    Time until_ = Time::min();
    Duration life_{0};
};

}  // namespace burlpoint::coordination
