#pragma once

#include <optional>

#include "base/clock.h"

namespace burlpoint::storage {

/// A bucket of requests or changes: `rate` a second, at most a second's worth saved up. Where the service's
/// limit is not known for sure, the rate follows what is answered: down by a share with each refusal, slowly
/// up again by steady steps, so that users of one limit settle around it without knowing of each other.
class TokenBucket {
  public:
    /// `next`: the limit that the service announces for later. From the first refusal on it is the highest
    /// rate gone back to: either the lower limit is in force, or the higher one is shared by too many
    /// already.
    TokenBucket(double rate, Time now, double next = 1e9)
        : maxRate_(rate), next_(next), minRate_(rate / 8), rate_(rate), level_(rate), at_(now) {}
    /// Takes `n` if at least `reserve` remains afterwards for what matters more.
    bool take(double n, double reserve, Time now);
    double available(Time now) { return refill(now), level_; }
    /// For what must not wait: taken in any case, later callers wait the longer.
    void force(double n, Time now) { refill(now), level_ -= n; }
    /// The service refused changes as too many.
    void refused(Time now);
    double rate(Time now) { return refill(now), rate_; }

  private:
    void refill(Time now);
    double maxRate_;
    double next_;
    double minRate_;
    double rate_;
    double level_;
    Time at_;
    std::optional<Time> lowered_;
};

}  // namespace burlpoint::storage
