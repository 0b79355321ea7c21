#include "storage/token_bucket.h"

#include <algorithm>

namespace burlpoint::storage {

namespace {

/// A rejection multiplies the rate by this factor.
constexpr double kDecreaseFactor = 0.7;
/// The rate grows by this share of the maximum rate per second.
constexpr double kIncreasePerSecond = 0.02;
/// Rejections within this time after the rate was lowered have the same cause and don't lower it again.
constexpr auto kRejectionWindow = std::chrono::seconds(1);
/// The bucket can always hold one whole token. Otherwise a rate below one per second would never allow a
/// request.
constexpr double kMinCapacity = 1.0;

}  // namespace

void TokenBucket::refill(Time now) {
    if (now <= refilledAt_) return;
    const auto elapsedSeconds = std::chrono::duration<double>(now - refilledAt_).count();
    const auto maxRate =
        loweredAt_ ? std::min(maxRatePerSecond_, announcedRatePerSecond_) : maxRatePerSecond_;
    ratePerSecond_ =
        std::min(maxRate, ratePerSecond_ + maxRatePerSecond_ * kIncreasePerSecond * elapsedSeconds);
    const auto capacity = std::max(kMinCapacity, ratePerSecond_);
    tokens_ = std::min(capacity, tokens_ + ratePerSecond_ * elapsedSeconds);
    refilledAt_ = now;
}

void TokenBucket::recordRejection(Time now) {
    refill(now);
    tokens_ = std::min(tokens_, 0.0);  // the service's own bucket is empty
    if (loweredAt_ && now - *loweredAt_ < kRejectionWindow) return;
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
