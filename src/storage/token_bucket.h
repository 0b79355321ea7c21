#pragma once

// Client-side rate limit for a controller's requests to a service, or for its writes to the key-value store.
// It stays within the service's limit if that is known, and otherwise adapts to rejections. Owns the current
// rate and the accumulated tokens; does no I/O and reads no clock.

#include <optional>

#include "base/clock.h"

namespace burlpoint::storage {

/// A token bucket with an adaptive rate. Its capacity is the tokens of one second at the current rate, but at
/// least one token. A rejection multiplies the rate by a constant below one; afterwards the rate grows back
/// linearly (additive increase, multiplicative decrease), so that controllers that share one limit converge
/// to it without coordination.
class TokenBucket {
  public:
    /// `ratePerSecond`: the maximum and initial rate.
    /// `announcedRatePerSecond`: a limit that the service has announced for an unspecified later time. It
    /// caps the rate from the first rejection on: either the lower limit is already in force, or too many
    /// clients share the higher one.
    TokenBucket(double ratePerSecond, Time now, double announcedRatePerSecond = kNoAnnouncedRate)
        : maxRatePerSecond_(ratePerSecond),
          announcedRatePerSecond_(announcedRatePerSecond),
          minRatePerSecond_(ratePerSecond * kMinRateShare),
          ratePerSecond_(ratePerSecond),
          tokens_(ratePerSecond),
          refilledAt_(now) {}

    /// Takes `tokens` if at least `reserve` tokens remain for more important requests. Returns whether they
    /// were taken.
    bool tryTake(double tokens, double reserve, Time now);
    /// Takes `tokens` for a request that must not wait. The number of tokens may become negative, so that
    /// later requests wait longer.
    void takeUnconditionally(double tokens, Time now) { refill(now), tokens_ -= tokens; }
    /// Lowers the rate and empties the bucket after the service rejected a request because of its rate limit.
    void recordRejection(Time now);

    /// Returns the available tokens, which may be negative after takeUnconditionally().
    double available(Time now) { return refill(now), tokens_; }
    double ratePerSecond(Time now) { return refill(now), ratePerSecond_; }

  private:
    static constexpr double kNoAnnouncedRate = 1e9;  // per second; above every limit in use
    static constexpr double kMinRateShare = 1.0 / 8;

    void refill(Time now);

    double maxRatePerSecond_;
    double announcedRatePerSecond_;
    double minRatePerSecond_;
    double ratePerSecond_;
    double tokens_;
    Time refilledAt_;
    std::optional<Time> loweredAt_;  // when a rejection last lowered the rate
};

}  // namespace burlpoint::storage
