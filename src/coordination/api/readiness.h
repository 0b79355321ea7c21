#pragma once

// Whether this controller reports itself as ready to the load balancer. Owns the history of losses of
// readiness. Used on the controller's thread.

#include <chrono>

#include "base/clock.h"

namespace burlpoint::coordination {

/// Readiness with flap damping: after a loss, the controller has to stay healthy for a hold-down time before
/// it is ready again, and each further loss shortly afterwards doubles the hold-down. A controller that is
/// healthy only now and then stays out of the load balancer's rotation instead of flapping.
class Readiness {
  public:
    /// Takes in whether the controller can serve users at `now`. To be called several times a second, with
    /// times that do not go back. The controller is ready as soon as it is healthy for the first time, and
    /// later on after the hold-down without interruption. It is unready as soon as it is not healthy.
    void update(bool healthy, Time now);

    /// As of the last update; false before the first.
    bool ready() const { return ready_; }

  private:
    static constexpr std::chrono::seconds kInitialHoldDown{3};

    void noteUnhealthy(Time now);

    bool ready_ = false;
    bool wasEverReady_ = false;
    Time healthySince_ = Time::max();  // max: not healthy
    Time lostAt_{};                    // when readiness was lost last
    std::chrono::seconds holdDown_ = kInitialHoldDown;
};

}  // namespace burlpoint::coordination
