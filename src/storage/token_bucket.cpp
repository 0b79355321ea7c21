#include "storage/token_bucket.h"

#include <algorithm>

namespace burlpoint::storage {

namespace {
constexpr double kSlower = 0.7;                     // of the rate, after a refusal
constexpr double kFaster = 0.02;                    // of the highest rate, a second
constexpr auto kOneSign = std::chrono::seconds(1);  // refusals within this are one and the same excess
}  // namespace

void TokenBucket::refill(Time now) {
    if (now > at_) {
        const auto seconds = std::chrono::duration<double>(now - at_).count();
        rate_ =
            std::min(lowered_ ? std::min(maxRate_, next_) : maxRate_, rate_ + maxRate_ * kFaster * seconds);
        // Room for one change at least: below that a low rate would never let anything through.
        level_ = std::min(std::max(1.0, rate_), level_ + rate_ * seconds);
        at_ = now;
    }
}

void TokenBucket::refused(Time now) {
    refill(now);
    level_ = std::min(level_, 0.0);  // the service has nothing saved up
    if (lowered_ && now - *lowered_ < kOneSign) return;
    lowered_ = now;
    rate_ = std::max(minRate_, std::min(rate_, next_) * kSlower);
}

bool TokenBucket::take(double n, double reserve, Time now) {
    refill(now);
    if (level_ < n + reserve) return false;
    level_ -= n;
    return true;
}

}  // namespace burlpoint::storage
