#pragma once

#include <chrono>

#include "base/clock.h"

/// What a node tells the load balancer: whether it can take requests. `Readiness` owns the history that this
/// depends on.
namespace burlpoint::coordination {

/// Whether this node tells the load balancer that it can take requests. Losing readiness costs the more the
/// more often it happens, so a node on the edge stays out instead of flapping.
class Readiness {
  public:
    /// Notes whether the node is able to serve at `now`; to be called often, with times that do not go back.
    /// The first time that it is able counts at once, later ones after a penalty without a break.
    void update(bool able, Time now);
    /// As of the last update; not ready before the first.
    bool ready() const { return ready_; }

  private:
    bool ready_ = false;
    bool wasEverReady_ = false;
    Time ableSince_ = Time::max();     // max: not able
    Time lostAt_{};                    // when readiness was lost last
    std::chrono::seconds penalty_{3};  // able for so long before it is ready again
};

}  // namespace burlpoint::coordination
