#include "bookkeeping/recent_failures.h"

#include <gtest/gtest.h>

#include <string>

using namespace burlpoint;
using namespace std::chrono_literals;
using bookkeeping::RecentFailures;

TEST(RecentFailures, EachIdCountsOnceUntilASuccess) {
    const Time now{1000s};
    RecentFailures failures(120s);
    for (const char* id : {"m1", "m2", "m2"}) failures.record(id, now);
    EXPECT_EQ(failures.count(now), 2u);
    failures.record("m3", now + 1s);
    EXPECT_EQ(failures.count(now + 1s), 3u);
    EXPECT_EQ(failures.lastOf("m2", now + 1s), now);
    EXPECT_FALSE(failures.lastOf("m4", now + 1s));
    failures.clear();
    EXPECT_EQ(failures.count(now + 1s), 0u);
}

// Guards against a service that counts as faulty for the rest of a leadership: its tasks never succeed, so
// only time ends that.
TEST(RecentFailures, AllAreForgottenAfterTheRetentionTimeSinceTheLast) {
    const Time start{1000s};
    RecentFailures failures(120s);
    for (const char* id : {"m1", "m2"}) failures.record(id, start);
    failures.record("m3", start + 100s);
    EXPECT_EQ(failures.count(start + 220s), 3u);
    EXPECT_EQ(failures.count(start + 221s), 0u);
    EXPECT_FALSE(failures.lastOf("m3", start + 221s));
    failures.record("m4", start + 221s);
    EXPECT_EQ(failures.count(start + 221s), 1u);
}

TEST(RecentFailures, EverMoreIdsThenTheLatestSixteenAreKept) {
    Time now{1000s};
    RecentFailures failures(120s);
    for (int i = 0; i < 100; ++i) failures.record(std::string("m").append(std::to_string(i)), now += 1s);
    EXPECT_EQ(failures.count(now), 16u);
    EXPECT_TRUE(failures.lastOf("m84", now));
    EXPECT_FALSE(failures.lastOf("m83", now));
}
