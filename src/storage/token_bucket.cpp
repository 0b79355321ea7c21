#include "storage/token_bucket.h"

#include <algorithm>

namespace burlpoint::storage {

namespace {

/// A refusal multiplies the rate by this.
constexpr double kDecreaseFactor = 0.7;
/// The rate grows by this share of the highest rate each second.
constexpr double kIncreasePerSecond = 0.02;
/// Refusals within this time of each other have the same cause and lower the rate only once.
constexpr auto kRefusalWindow = std::chrono::seconds(1);
/// The bucket can always fill up to one whole token. With less, a rate below one a second would never let
/// anything through.
constexpr double kMinCapacity = 1.0;

}  // namespace

void TokenBucket::refill(Time now) {
    if (now <= refilledAt_) return;
    const auto elapsedSeconds = std::chrono::duration<double>(now - refilledAt_).count();
    const auto ceiling =
        loweredAt_ ? std::min(maxRatePerSecond_, announcedRatePerSecond_) : maxRatePerSecond_;
    ratePerSecond_ =
        std::min(ceiling, ratePerSecond_ + maxRatePerSecond_ * kIncreasePerSecond * elapsedSeconds);
    const auto capacity = std::max(kMinCapacity, ratePerSecond_);
    tokens_ = std::min(capacity, tokens_ + ratePerSecond_ * elapsedSeconds);
    refilledAt_ = now;
}

void TokenBucket::recordRefusal(Time now) {
    refill(now);
    tokens_ = std::min(tokens_, 0.0);  // the service's own bucket is empty
    if (loweredAt_ && now - *loweredAt_ < kRefusalWindow) return;
    loweredAt_ = now;
    const auto lowered = std::min(ratePerSecond_, announcedRatePerSecond_) * kDecreaseFactor;
    ratePerSecond_ = std::max(minRatePerSecond_, lowered);
}

bool TokenBucket::tryTake(double tokens, double reserve, Time now) {
    refill(now);
    if (tokens_ < tokens + reserve) return false;
    tokens_ -= tokens;
    return true;
}

}  // namespace burlpoint::storage
