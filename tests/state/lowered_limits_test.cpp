// The key-value store's limits are lowered while a leader runs, with or without an announcement in the
// settings. Everything must be stored eventually, and the leader must adapt to the limits.
#include <gtest/gtest.h>

#include "state/lowered_limits_harness.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using storage::TerminalState;

namespace {

/// Whether the settings announce the lower limits.
enum class Announcement { announced, unannounced };

/// Finishes some of the tasks and jobs before the store's limits are lowered and the rest afterwards, and
/// checks that all of them are stored.
void expectEverythingStoredAfterLowering(Announcement announcement, std::size_t ops,
                                         std::size_t maxValueBytes, double writesPerSecond) {
    LoweredLimitsHarness harness;
    const bool announced = announcement == Announcement::announced;
    if (announced) harness.settings.nextStoreLimits = kAnnouncedLimits;
    harness.accept(arrayJob("wk-1", 40'000), kChunkTasksFor8KiB);
    for (int i = 0; i < 30; ++i) {
        const auto id = "wk-" + std::to_string(100 + i);
        harness.accept(i % 3 ? arrayJob(id, 2) : jobWithLongRecord(id), kChunkTasksFor8KiB);
    }
    harness.startLeader();
    harness.heartbeat("wk-1", everyNth(4, 0, 40'000));
    for (int i = 0; i < 10; ++i) harness.heartbeat("wk-" + std::to_string(100 + i), {0, 1});
    harness.run(4);
    EXPECT_EQ(harness.store.tooLarge + harness.store.rateLimited, 0u);
    EXPECT_EQ(harness.storedBitmap("wk-1"), bitmapOf(everyNth(4, 0, 40'000), 40'000));
    harness.lowerLimits(ops, maxValueBytes, writesPerSecond);
    for (std::uint32_t from : {1u, 2u}) {
        harness.heartbeat("wk-1", everyNth(4, from, 40'000));
        for (int i = 0; i < 10; ++i)
            harness.heartbeat("wk-" + std::to_string(100 + 10 * static_cast<int>(from) + i), {0, 1});
        harness.run(from == 1 ? 3 : 120);
    }
    EXPECT_EQ(harness.store.tooLarge == 0, announced);  // a leader that knows the limits never exceeds them
    const auto bits = harness.storedBitmap("wk-1");
    for (std::uint32_t t = 0; t < 40'000; ++t)
        if (bits[t] != (t % 4 != 3)) FAIL() << "bit " << t;
    for (int i = 0; i < 30; ++i)
        EXPECT_EQ(harness.terminalStateOf("wk-" + std::to_string(100 + i)), TerminalState::done) << 100 + i;
    harness.heartbeat("wk-1", everyNth(4, 3, 40'000));
    harness.run(60);
    EXPECT_EQ(harness.terminalStateOf("wk-1"), TerminalState::done);
    EXPECT_FALSE(harness.resigned);
}

}  // namespace

TEST(Limits, EverythingIsStoredUnderAnnouncedLowerLimits) {
    expectEverythingStoredAfterLowering(Announcement::announced, 10, 2048, 28);
}
TEST(Limits, EverythingIsStoredUnderUnannouncedLowerLimits) {
    expectEverythingStoredAfterLowering(Announcement::unannounced, 3, 1024, 7);
}
TEST(Limits, EverythingIsStoredUnderTheLowestLimits) {
    expectEverythingStoredAfterLowering(Announcement::unannounced, 1, 512, 5);
}

// A value that the store rejects even alone must not delay other writes, must not be retried continuously,
// and must be stored once the limit allows it.
TEST(Limits, OversizedValueDoesNotDelayOtherWrites) {
    LoweredLimitsHarness harness;
    harness.accept(arrayJob("wk-1", 2), 8);
    auto open = arrayJob("wk-2", 40);
    harness.accept(open, 8);
    harness.startLeader();
    harness.heartbeat("wk-1", {});
    harness.lowerLimits(32, 60, 40);  // large enough for bitmaps, too small for any record
    harness.heartbeat("wk-1", {0, 1});
    harness.heartbeat("wk-2", everyNth(2, 0, 40));
    harness.run(20);
    EXPECT_EQ(harness.terminalStateOf("wk-1"), TerminalState::none);
    EXPECT_EQ(harness.storedBitmap("wk-2"), bitmapOf(everyNth(2, 0, 40), 40));
    const auto rejections = harness.store.tooLarge;
    harness.run(25);
    EXPECT_LE(harness.store.tooLarge, rejections + 3);  // retried only after the deferral
    harness.lowerLimits(32, 8192, 40);
    harness.run(40);
    EXPECT_EQ(harness.terminalStateOf("wk-1"), TerminalState::done);
    EXPECT_FALSE(harness.resigned);
}

// When many jobs with long records end at the same time, their records must be split into several
// transactions of at most 64 KiB each.
TEST(Limits, TransactionsOfLongRecordsStayWithin64KiB) {
    LoweredLimitsHarness harness;
    harness.settings.storeWritesPerSecond = 200;
    for (int i = 0; i < 40; ++i) harness.accept(jobWithLongRecord("wk-" + std::to_string(100 + i)), 8);
    harness.startLeader();
    for (int i = 0; i < 40; ++i) {
        harness.store.limits.changes = 0;  // no write succeeds, so the records accumulate
        harness.heartbeat("wk-" + std::to_string(100 + i), {0, 1});
    }
    harness.run(20);
    for (const auto& [id, job] : harness.replica.jobs())
        EXPECT_EQ(harness.terminalStateOf(id), TerminalState::done);
    EXPECT_EQ(harness.store.tooLarge, 0u);
}

// When many jobs end at the same time, the leader must slow its writes down to the store's rate. Otherwise
// nearly every transaction would be rejected.
TEST(Limits, LeaderAdaptsWriteRateToStoreLimit) {
    LoweredLimitsHarness harness;
    for (int i = 0; i < 120; ++i) harness.accept(arrayJob("wk-" + std::to_string(1000 + i), 1), 8);
    harness.startLeader();
    harness.heartbeat("wk-0", {});
    harness.lowerLimits(32, 8192, 6);
    for (int i = 0; i < 120; ++i) harness.heartbeat("wk-" + std::to_string(1000 + i), {0});
    harness.run(60);
    for (const auto& [id, job] : harness.replica.jobs())
        EXPECT_EQ(harness.terminalStateOf(id), TerminalState::done);
    EXPECT_GT(harness.store.rateLimited, 0u);
    EXPECT_LT(harness.store.rateLimited, 30u);
    EXPECT_FALSE(harness.resigned);
}

// After rejections for size, transactions must grow again once the limit is raised, with few rejected
// attempts while it is not.
TEST(Limits, TransactionsGrowAgainOnceTheLimitIsRaised) {
    LoweredLimitsHarness harness;
    harness.startLeader();
    harness.heartbeat("wk-0", {});
    harness.lowerLimits(2, 8192, 40);
    auto finish = [&, next = 0](int jobs) mutable {
        const int from = next;
        for (; next < from + jobs; ++next) {
            const auto id = "wk-" + std::to_string(1000 + next);
            harness.accept(arrayJob(id, 1), 8);
            harness.heartbeat(id, {0});
        }
    };
    for (int i = 0; i < 60; ++i) finish(6), harness.run(2);
    EXPECT_GT(harness.store.tooLarge, 3u);
    EXPECT_LT(harness.store.tooLarge, 20u);
    harness.lowerLimits(32, 8192, 40);
    for (int i = 0; i < 250; ++i) finish(6), harness.run(2);
    const auto from = harness.store.revision;
    finish(16);
    harness.run(4);
    EXPECT_LE(harness.store.revision - from,
              16u + 4u);  // 16 accepted jobs, and their terminal records in few transactions
    for (const auto& [id, job] : harness.replica.jobs())
        EXPECT_EQ(harness.terminalStateOf(id), TerminalState::done);
}
