#include "coordination/leadership/overload_monitor.h"

#include <gtest/gtest.h>

#include "base/clock.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using coordination::OverloadMonitor;

namespace {

class Overload : public testing::Test {
  protected:
    /// Simulates ticks over a time of `total`, each late by `late`.
    void tickLate(Clock::duration late, Clock::duration total) {
        const auto end = now + total;
        while (now < end) {
            const auto due = now + 100ms;
            now = due + late;
            monitor.recordTick(due, now);
        }
    }
    bool resignIfDue() {
        const bool should = monitor.shouldResign(now);
        if (should) monitor.recordResignation(now);
        return should;
    }

    OverloadMonitor monitor;
    Time now{1000s};
};

}  // namespace

TEST_F(Overload, TicksInTimeThenLeaderStays) {
    monitor.recordLeadershipStart(now);
    tickLate(50ms, 60s);
    EXPECT_FALSE(monitor.isOverloaded(now));
    EXPECT_FALSE(resignIfDue());
}

TEST_F(Overload, TicksLateForLongThenLeaderShouldResign) {
    monitor.recordLeadershipStart(now);
    tickLate(0ms, 20s);
    tickLate(300ms, 1s);
    EXPECT_FALSE(resignIfDue());  // one long batch of work is no overload
    tickLate(300ms, 1s);
    EXPECT_TRUE(resignIfDue());
}

TEST_F(Overload, OneTickInTimeThenOverloadEnds) {
    monitor.recordLeadershipStart(now);
    tickLate(0ms, 20s);
    for (int i = 0; i < 10; ++i) {
        tickLate(300ms, 1s);
        tickLate(0ms, 100ms);
        EXPECT_FALSE(resignIfDue());
    }
}

// A new leader has much work to do at once. If that counted as overload, no controller would stay leader.
TEST_F(Overload, TicksLateAfterFailoverThenLeaderStays) {
    monitor.recordLeadershipStart(now);
    tickLate(300ms, 6s);
    EXPECT_TRUE(monitor.isOverloaded(now));
    EXPECT_FALSE(resignIfDue());
    tickLate(300ms, 4s);
    EXPECT_TRUE(resignIfDue());
}

// If all controllers are overloaded, the leadership must not move between them repeatedly.
TEST_F(Overload, OverloadedAgainThenLeaderStaysLongerEachTime) {
    tickLate(300ms, 10s);
    ASSERT_TRUE(resignIfDue());
    Clock::duration last = 0s;
    for (int i = 0; i < 4; ++i) {
        const auto from = now;
        do tickLate(300ms, 1s);
        while (!resignIfDue());
        EXPECT_GT(now - from, last * 3 / 2);
        last = now - from;
    }
    tickLate(0ms, 2h);
    tickLate(300ms, 10s);
    ASSERT_TRUE(resignIfDue());
    const auto from = now;
    do tickLate(300ms, 1s);
    while (!resignIfDue());
    EXPECT_LT(now - from, 70s);  // the pause is reset to its initial value
}
