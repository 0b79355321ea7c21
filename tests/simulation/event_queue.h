#pragma once

// The clock of a simulated cluster and the events scheduled on it.

#include <functional>
#include <map>

#include "base/clock.h"

namespace burlpoint::simulation {

class EventQueue {
  public:
    Time now() const { return now_; }
    void advance(Clock::duration step) { now_ += step; }

    void schedule(Clock::duration delay, std::function<void()> event) {
        events_.emplace(now_ + delay, std::move(event));
    }
    /// Runs all due events in order of time, including due events that are scheduled by these.
    void runDue() {
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
    }

  private:
    Time now_{std::chrono::seconds(1000)};
    std::multimap<Time, std::function<void()>> events_;
};

}  // namespace burlpoint::simulation
