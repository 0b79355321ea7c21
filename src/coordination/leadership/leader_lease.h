#pragma once

// The leader lease: until when this controller may act on a lease that another process granted. Owns that
// time. It does no I/O and is used on the event loop's thread.

#include <algorithm>
#include <chrono>

#include "base/clock.h"

namespace burlpoint::coordination {

/// A lease as seen by its holder. Its time runs from when the last successful request was sent, not from when
/// it was answered, so that the lease expires for the holder before it expires for the process that granted
/// it.
class LeaderLease {
  public:
    /// Starts a new lease that lasts for `duration` and was requested at `sent`.
    void begin(Time sent, Duration duration) {
        until_ = conservativeEnd(sent, duration);
        duration_ = duration;
    }
    /// Extends the lease after a successful renewal, requested at `sent`, for the same duration. Responses
    /// may arrive out of order: that to an earlier request never shortens the lease.
    void extend(Time sent) { until_ = std::max(until_, conservativeEnd(sent, duration_)); }
    /// Ends the lease at once.
    void end() { until_ = Time::min(); }
    /// True if the lease has not expired at `now`.
    bool valid(Time now) const { return now < until_; }

  private:
    static Time conservativeEnd(Time sent, Duration duration) {
        // The 0.1% covers the drift between two clocks. The 150 ms cover a response of this controller that
        // is in transit when the lease expires.
        return sent + duration - duration / 1000 - std::chrono::milliseconds(150);
    }

    Time until_ = Time::min();
    Duration duration_{0};
};

}  // namespace burlpoint::coordination
