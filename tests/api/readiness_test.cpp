#include "coordination/api/readiness.h"

#include <gtest/gtest.h>

#include "base/clock.h"

using namespace burlpoint;
using namespace std::chrono_literals;

TEST(Readiness, NeverHealthyIsNotReady) {
    coordination::Readiness readiness;
    EXPECT_FALSE(readiness.ready());
    readiness.update(false, Time{1000s});
    EXPECT_FALSE(readiness.ready());
}

// A brief unhealthy period during the hold-down restarts it.
TEST(Readiness, InterruptedHoldDownStartsAnew) {
    coordination::Readiness readiness;
    Time now{1000s};
    readiness.update(true, now);
    readiness.update(false, now += 1s);
    readiness.update(true, now += 1s);
    readiness.update(true, now += 2900ms);
    EXPECT_FALSE(readiness.ready());
    readiness.update(false, now += 50ms);
    readiness.update(true, now += 50ms);
    readiness.update(true, now += 2900ms);
    EXPECT_FALSE(readiness.ready());
    readiness.update(true, now += 100ms);
    EXPECT_TRUE(readiness.ready());
}

TEST(Readiness, HoldDownGrowsWithEachLoss) {
    coordination::Readiness readiness;
    Time now{1000s};
    readiness.update(true, now);
    EXPECT_TRUE(readiness.ready());  // the first time without a hold-down
    const auto timeUntilReadyAgain = [&] {
        readiness.update(false, now);
        EXPECT_FALSE(readiness.ready());
        const auto from = now;
        do readiness.update(true, now += 500ms);
        while (!readiness.ready());
        return now - from;
    };
    const auto first = timeUntilReadyAgain(), second = timeUntilReadyAgain(), third = timeUntilReadyAgain();
    EXPECT_GE(first, 3s);
    EXPECT_GT(second, first);
    EXPECT_GT(third, second);
}
