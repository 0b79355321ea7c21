#pragma once

#include <algorithm>
#include <chrono>

#include "base/clock.h"

/// How long what another process grants may be relied on here. `LeaderLease` owns the end of that time.
namespace burlpoint::coordination {

/// How long this node may act as leader: counted from when the last successful renewal was sent, so that it
/// ends before the key-value store's count does.
class LeaderLease {
  public:
    /// Begins anew, for `life` from when the request was sent that it was granted to.
    void begin(Time sent, Duration life) {
        until_ = bound(sent, life);
        life_ = life;
    }
    /// A renewal for the same life, asked for at `sent`, was granted. An answer that was overtaken by that to
    /// a later request shortens nothing.
    void renewed(Time sent) { until_ = std::max(until_, bound(sent, life_)); }
    /// Ends it at once.
    void end() { until_ = Time::min(); }
    /// Does it still last?
    bool valid(Time now) const { return now < until_; }

  private:
    static Time bound(Time sent, Duration life) {
        // 0.1% covers two clocks drifting apart; the rest is for an answer on its way out.
        return sent + life - life / 1000 - std::chrono::milliseconds(150);
    }
    Time until_ = Time::min();
    Duration life_{0};
};

}  // namespace burlpoint::coordination
