// A leader whose key-value store takes less from some moment on, whether that was announced or not:
// everything is stored in the end, and the leader keeps to what the store takes.
#include <gtest/gtest.h>

#include "state/lowered_limits_fixture.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using storage::TerminalState;

namespace {

/// Whether the settings name the limits that the store will have.
enum class Drop { announced, unannounced };

/// Some of the tasks and jobs are done before the store's limits drop, the rest afterwards. All must be
/// stored.
void expectEverythingStoredAcross(Drop drop, std::size_t ops, std::size_t maxValueBytes, double perSecond) {
    Cluster c;
    const bool announced = drop == Drop::announced;
    if (announced) c.settings.nextStoreLimits = kNext;
    c.accept(arrayOf("wk-1", 40'000), kOldChunk);
    for (int i = 0; i < 30; ++i) {
        const auto id = "wk-" + std::to_string(100 + i);
        c.accept(i % 3 ? arrayOf(id, 2) : withLongTexts(id), kOldChunk);
    }
    c.lead();
    c.heartbeat("wk-1", every(4, 0, 40'000));
    for (int i = 0; i < 10; ++i) c.heartbeat("wk-" + std::to_string(100 + i), {0, 1});
    c.run(4);
    EXPECT_EQ(c.store.tooLarge + c.store.tooMany, 0u);
    EXPECT_EQ(c.stored("wk-1"), bitsOf(every(4, 0, 40'000), 40'000));
    c.lower(ops, maxValueBytes, perSecond);
    for (std::uint32_t from : {1u, 2u}) {
        c.heartbeat("wk-1", every(4, from, 40'000));
        for (int i = 0; i < 10; ++i)
            c.heartbeat("wk-" + std::to_string(100 + 10 * static_cast<int>(from) + i), {0, 1});
        c.run(from == 1 ? 3 : 120);
    }
    EXPECT_EQ(c.store.tooLarge == 0, announced);  // a leader that knows the limits keeps to them
    const auto bits = c.stored("wk-1");
    for (std::uint32_t t = 0; t < 40'000; ++t)
        if (bits[t] != (t % 4 != 3)) FAIL() << "bit " << t;
    for (int i = 0; i < 30; ++i)
        EXPECT_EQ(c.terminalStateOf("wk-" + std::to_string(100 + i)), TerminalState::done) << 100 + i;
    c.heartbeat("wk-1", every(4, 3, 40'000));
    c.run(60);
    EXPECT_EQ(c.terminalStateOf("wk-1"), TerminalState::done);
    EXPECT_FALSE(c.resigned);
}

}  // namespace

TEST(Limits, EverythingIsStoredUnderAnnouncedLowerLimits) {
    expectEverythingStoredAcross(Drop::announced, 10, 2048, 28);
}
TEST(Limits, EverythingIsStoredUnderUnannouncedLowerLimits) {
    expectEverythingStoredAcross(Drop::unannounced, 3, 1024, 7);
}
TEST(Limits, EverythingIsStoredUnderTheLowestLimits) {
    expectEverythingStoredAcross(Drop::unannounced, 1, 512, 5);
}

// A write that the store refuses in any form waits without delaying others, and is stored once the store
// takes it.
TEST(Limits, ValueTooLargeToStoreDelaysNoOther) {
    Cluster c;
    c.accept(arrayOf("wk-1", 2), 8);
    auto open = arrayOf("wk-2", 40);
    c.accept(open, 8);
    c.lead();
    c.heartbeat("wk-1", {});
    c.lower(32, 60, 40);  // no record is as small as this, bitmaps are
    c.heartbeat("wk-1", {0, 1});
    c.heartbeat("wk-2", every(2, 0, 40));
    c.run(20);
    EXPECT_EQ(c.terminalStateOf("wk-1"), TerminalState::none);
    EXPECT_EQ(c.stored("wk-2"), bitsOf(every(2, 0, 40), 40));
    const auto refused = c.store.tooLarge;
    c.run(25);
    EXPECT_LE(c.store.tooLarge, refused + 3);  // not over and over
    c.lower(32, 8192, 40);
    c.run(40);
    EXPECT_EQ(c.terminalStateOf("wk-1"), TerminalState::done);
    EXPECT_FALSE(c.resigned);
}

// Many jobs with long records end at once: their records go into several transactions of at most 64 KiB each.
TEST(Limits, TransactionsOfLongRecordsStayWithin64KiB) {
    Cluster c;
    c.settings.storeWritesPerSecond = 200;
    for (int i = 0; i < 40; ++i) c.accept(withLongTexts("wk-" + std::to_string(100 + i)), 8);
    c.lead();
    for (int i = 0; i < 40; ++i) {
        c.store.limits.changes = 0;  // they gather
        c.heartbeat("wk-" + std::to_string(100 + i), {0, 1});
    }
    c.run(20);
    for (const auto& [id, job] : c.replica.jobs()) EXPECT_EQ(c.terminalStateOf(id), TerminalState::done);
    EXPECT_EQ(c.store.tooLarge, 0u);
}

// Many jobs end at once: they are written no faster than the store takes them, or each transaction would be
// refused.
TEST(Limits, LeaderSlowsItsWritesToTheStoresRate) {
    Cluster c;
    for (int i = 0; i < 120; ++i) c.accept(arrayOf("wk-" + std::to_string(1000 + i), 1), 8);
    c.lead();
    c.heartbeat("wk-0", {});
    c.lower(32, 8192, 6);
    for (int i = 0; i < 120; ++i) c.heartbeat("wk-" + std::to_string(1000 + i), {0});
    c.run(60);
    for (const auto& [id, job] : c.replica.jobs()) EXPECT_EQ(c.terminalStateOf(id), TerminalState::done);
    EXPECT_GT(c.store.tooMany, 0u);
    EXPECT_LT(c.store.tooMany, 30u);
    EXPECT_FALSE(c.resigned);
}

// A leader whose transactions were too large makes them larger again after a while, but seldom tries in vain.
TEST(Limits, TransactionsGrowAgainOnceTheLimitIsRaised) {
    Cluster c;
    c.lead();
    c.heartbeat("wk-0", {});
    c.lower(2, 8192, 40);
    auto finish = [&, next = 0](int jobs) mutable {
        const int from = next;
        for (; next < from + jobs; ++next) {
            const auto id = "wk-" + std::to_string(1000 + next);
            c.accept(arrayOf(id, 1), 8);
            c.heartbeat(id, {0});
        }
    };
    for (int i = 0; i < 60; ++i) finish(6), c.run(2);
    EXPECT_GT(c.store.tooLarge, 3u);
    EXPECT_LT(c.store.tooLarge, 20u);
    c.lower(32, 8192, 40);
    for (int i = 0; i < 250; ++i) finish(6), c.run(2);
    const auto from = c.store.revision;
    finish(16);
    c.run(4);
    EXPECT_LE(c.store.revision - from, 16u + 4u);  // 16 acceptances, and the ends together
    for (const auto& [id, job] : c.replica.jobs()) EXPECT_EQ(c.terminalStateOf(id), TerminalState::done);
}
