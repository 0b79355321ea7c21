#include "bookkeeping/job_failures.h"

#include <gtest/gtest.h>

#include <string>

using namespace burlpoint;
using namespace std::chrono_literals;
using bookkeeping::JobFailures;

TEST(JobFailures, FailuresOnThreeMachinesSuggestFaultyJob) {
    const Time now{1000s};
    JobFailures failures;
    for (const char* id : {"m1", "m2", "m2"}) failures.record(id, now);
    EXPECT_EQ(failures.machineCount(now), 2u);
    EXPECT_FALSE(failures.suggestFaultyJob(now));
    failures.record("m3", now + 1s);
    EXPECT_TRUE(failures.suggestFaultyJob(now + 1s));
    EXPECT_EQ(failures.lastOn("m2", now + 1s), now);
    EXPECT_FALSE(failures.lastOn("m4", now + 1s));
    failures.clear();
    EXPECT_FALSE(failures.suggestFaultyJob(now + 1s));
}

// Guards against a service that counts as faulty for the rest of a leadership: its tasks never succeed, so
// only time ends that.
TEST(JobFailures, FailuresAreForgottenTwoMinutesAfterTheLast) {
    const Time start{1000s};
    JobFailures failures;
    for (const char* id : {"m1", "m2"}) failures.record(id, start);
    failures.record("m3", start + 100s);
    EXPECT_EQ(failures.machineCount(start + 220s), 3u);
    EXPECT_EQ(failures.machineCount(start + 221s), 0u);
    EXPECT_FALSE(failures.lastOn("m3", start + 221s));
    failures.record("m4", start + 221s);
    EXPECT_EQ(failures.machineCount(start + 221s), 1u);
}

TEST(JobFailures, FailuresOnEverMoreMachinesThenTheLatestSixteenAreKept) {
    Time now{1000s};
    JobFailures failures;
    for (int i = 0; i < 100; ++i) failures.record(std::string("m").append(std::to_string(i)), now += 1s);
    EXPECT_EQ(failures.machineCount(now), 16u);
    EXPECT_TRUE(failures.lastOn("m84", now));
    EXPECT_FALSE(failures.lastOn("m83", now));
}
