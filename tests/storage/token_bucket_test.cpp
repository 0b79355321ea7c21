// How a controller limits its request rate when the service's limit is unknown or may change.
#include "storage/token_bucket.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "base/clock.h"

using namespace burlpoint;
using namespace std::chrono_literals;

// The rate must converge to an unknown lower limit of the service, and must recover once the service's limit
// is raised.
TEST(TokenBucket, RateFollowsTheServicesLimitDownAndUp) {
    Time now{1000s};
    storage::TokenBucket bucket(24, now);
    double serviceTokens = 25;  // tokens of the service's own bucket, at most those of one second
    const auto runOneMinute = [&](double limit) {
        std::pair<int, int> counts{0, 0};  // accepted requests, rejections
        for (int step = 0; step < 3000; ++step) {
            now += 20ms;
            serviceTokens = std::min(limit, serviceTokens + limit * 0.02);
            if (!bucket.tryTake(1, 0, now)) continue;
            if (serviceTokens >= 1)
                ++counts.first, --serviceTokens;
            else
                ++counts.second, bucket.recordRejection(now);
        }
        return counts;
    };
    EXPECT_EQ(runOneMinute(25).second, 0);
    runOneMinute(12);
    const auto [accepted, rejections] = runOneMinute(12);
    EXPECT_GT(accepted, 60 * 12 * 0.75);
    EXPECT_LT(rejections, 20);
    runOneMinute(25);
    EXPECT_NEAR(bucket.ratePerSecond(now), 24, 0.01);
    for (int i = 0; i < 100; ++i) bucket.recordRejection(now += 2s);
    EXPECT_GE(bucket.ratePerSecond(now), 3);  // never below an eighth of the maximum
    now += 1s;
    EXPECT_TRUE(bucket.tryTake(1, 0, now));
}

TEST(TokenBucket, RateStaysBelowTheAnnouncedLimitAfterARefusal) {
    Time now{1000s};
    storage::TokenBucket bucket(24, now, 16);
    EXPECT_EQ(bucket.ratePerSecond(now += 10s), 24);  // the higher limit may still be in force
    bucket.recordRejection(now);
    EXPECT_LT(bucket.ratePerSecond(now), 16);
    EXPECT_NEAR(bucket.ratePerSecond(now += 100s), 16, 0.01);
}

// Simultaneous rejections must lower the rate only once. A rate below one per second must still allow single
// requests.
TEST(TokenBucket, SimultaneousRefusalsLowerTheRateOnce) {
    Time now{1000s};
    storage::TokenBucket bucket(24, now);
    for (int i = 0; i < 8; ++i) bucket.recordRejection(now);
    EXPECT_GT(bucket.ratePerSecond(now), 16);
    storage::TokenBucket slow(0.6, now);
    EXPECT_TRUE(slow.tryTake(1, 0, now + 3s));
}
