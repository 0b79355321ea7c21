// How a controller paces its requests where the service's limit is not known for sure.
#include "storage/token_bucket.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "base/clock.h"

using namespace burlpoint;
using namespace std::chrono_literals;

// The rate converges to what the service takes without knowing it, and grows again when the service takes
// more.
TEST(TokenBucket, RateFollowsTheServicesLimitDownAndUp) {
    Time now{1000s};
    storage::TokenBucket bucket(24, now);
    double saved = 25;  // by the service: a second's worth at most
    const auto minute = [&](double limit) {
        std::pair<int, int> taken{0, 0};  // changes carried out, refusals
        for (int step = 0; step < 3000; ++step) {
            now += 20ms;
            saved = std::min(limit, saved + limit * 0.02);
            if (!bucket.tryTake(1, 0, now)) continue;
            if (saved >= 1)
                ++taken.first, --saved;
            else
                ++taken.second, bucket.recordRefusal(now);
        }
        return taken;
    };
    EXPECT_EQ(minute(25).second, 0);
    minute(12);
    const auto [carried, refusals] = minute(12);
    EXPECT_GT(carried, 60 * 12 * 0.75);
    EXPECT_LT(refusals, 20);
    minute(25);
    EXPECT_NEAR(bucket.ratePerSecond(now), 24, 0.01);
    for (int i = 0; i < 100; ++i) bucket.recordRefusal(now += 2s);
    EXPECT_GE(bucket.ratePerSecond(now), 3);  // never below an eighth
    now += 1s;
    EXPECT_TRUE(bucket.tryTake(1, 0, now));
}

TEST(TokenBucket, RateStaysBelowTheAnnouncedLimitAfterARefusal) {
    Time now{1000s};
    storage::TokenBucket bucket(24, now, 16);
    EXPECT_EQ(bucket.ratePerSecond(now += 10s), 24);  // it may still be had
    bucket.recordRefusal(now);
    EXPECT_LT(bucket.ratePerSecond(now), 16);
    EXPECT_NEAR(bucket.ratePerSecond(now += 100s), 16, 0.01);
}

// Refusals at the same time lower the rate once. A rate below one a second still lets single requests
// through.
TEST(TokenBucket, SimultaneousRefusalsLowerTheRateOnce) {
    Time now{1000s};
    storage::TokenBucket bucket(24, now);
    for (int i = 0; i < 8; ++i) bucket.recordRefusal(now);
    EXPECT_GT(bucket.ratePerSecond(now), 16);
    storage::TokenBucket slow(0.6, now);
    EXPECT_TRUE(slow.tryTake(1, 0, now + 3s));
}
