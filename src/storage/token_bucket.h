#pragma once

// A rate limit that a controller imposes on its own requests to a service, or on its own writes to the
// key-value store. It keeps to the service's limit where that is known and adapts to refusals where it is
// not. Owns the current rate and the tokens saved up; does no I/O and reads no clock.

#include <optional>

#include "base/clock.h"

namespace burlpoint::storage {

/// A token bucket with an adaptive rate. It holds at most one second's worth of tokens. A refusal multiplies
/// the rate by a constant below one; afterwards the rate grows back linearly (additive increase,
/// multiplicative decrease), so that several controllers that share one limit converge to it without knowing
/// of each other.
class TokenBucket {
  public:
    /// `ratePerSecond`: the highest rate, and the one to begin with.
    /// `announcedRatePerSecond`: a limit that the service has announced to come into force at some later
    /// time. From the first refusal on it caps the rate: either the lower limit is in force by then, or too
    /// many share the higher one.
    TokenBucket(double ratePerSecond, Time now, double announcedRatePerSecond = kNoAnnouncedRate)
        : maxRatePerSecond_(ratePerSecond),
          announcedRatePerSecond_(announcedRatePerSecond),
          minRatePerSecond_(ratePerSecond * kLowestShareOfRate),
          ratePerSecond_(ratePerSecond),
          tokens_(ratePerSecond),
          refilledAt_(now) {}

    /// Takes `tokens` if at least `reserve` tokens are left afterwards for more important requests. Returns
    /// whether they were taken.
    bool tryTake(double tokens, double reserve, Time now);
    /// Takes `tokens` in any case, for a request that must not wait. The bucket may go below zero, so that
    /// later requests wait longer.
    void takeUnconditionally(double tokens, Time now) { refill(now), tokens_ -= tokens; }
    /// The service has refused a request because of its rate limit: lowers the rate and empties the bucket.
    void recordRefusal(Time now);

    /// Tokens saved up; below zero after `takeUnconditionally`.
    double available(Time now) { return refill(now), tokens_; }
    double ratePerSecond(Time now) { return refill(now), ratePerSecond_; }

  private:
    static constexpr double kNoAnnouncedRate = 1e9;  // a second; above every limit in use
    static constexpr double kLowestShareOfRate = 1.0 / 8;

    void refill(Time now);

    double maxRatePerSecond_;
    double announcedRatePerSecond_;
    double minRatePerSecond_;
    double ratePerSecond_;
    double tokens_;
    Time refilledAt_;
    std::optional<Time> loweredAt_;  // when a refusal lowered the rate last
};

}  // namespace burlpoint::storage
