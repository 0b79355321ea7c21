#pragma once

#include <algorithm>
#include <chrono>

#include "transport/http.h"

/// How long what another process grants may be relied on here. `Tenure` owns the end of that time.
namespace burlpoint::coordination {

/// How long this node may act as leader: counted from when the last successful renewal was sent, so that it
/// ends before the state service's count does.
class Tenure {
  public:
    /// Begins anew, for `life` from when the request was sent that it was granted to.
    void begin(transport::Time sent, transport::Duration life) {
        until_ = bound(sent, life);
        life_ = life;
    }
    /// A renewal for the same life, asked for at `sent`, was granted. An answer that was overtaken by that to
    /// a later request shortens nothing.
    void renewed(transport::Time sent) { until_ = std::max(until_, bound(sent, life_)); }
    /// Ends it at once.
    void end() { until_ = transport::Time::min(); }
    /// Does it still last?
    bool valid(transport::Time now) const { return now < until_; }

  private:
    static transport::Time bound(transport::Time sent, transport::Duration life) {
        // 0.1% covers two clocks drifting apart; the rest is for an answer on its way out.
        return sent + life - life / 1000 - std::chrono::milliseconds(150);
    }
    transport::Time until_ = transport::Time::min();
    transport::Duration life_{0};
};

}  // namespace burlpoint::coordination
