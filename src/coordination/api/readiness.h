#pragma once

// Decides whether this controller reports itself as ready to the load balancer. Owns the time of the last
// loss of readiness and the hold-down. Used on the controller's thread.

#include <chrono>

#include "base/clock.h"

namespace burlpoint::coordination {

/// Readiness with flap damping. After a loss of readiness, the controller has to stay healthy for a hold-down
/// time of 3 s before it is ready again. Each further loss less than 120 s after the previous one doubles the
/// hold-down, up to 40 s. A controller that is healthy only intermittently stays out of the load balancer's
/// rotation instead of flapping.
class Readiness {
  public:
    /// Records whether the controller can serve users at `now`. Must be called several times a second, with
    /// non-decreasing times. The controller becomes ready as soon as it is healthy for the first time, and
    /// after a loss once it has been healthy for the whole hold-down. It becomes unready as soon as it is
    /// unhealthy.
    void update(bool healthy, Time now);

    /// True if the controller was ready at the last update; false before the first update.
    bool ready() const { return ready_; }

  private:
    static constexpr std::chrono::seconds kInitialHoldDown{3};

    void recordUnhealthy(Time now);

    bool ready_ = false;
    bool wasEverReady_ = false;
    Time healthySince_ = Time::max();  // max: unhealthy
    Time lastLossAt_{};                // time of the last loss of readiness
    std::chrono::seconds holdDown_ = kInitialHoldDown;
};

}  // namespace burlpoint::coordination
