#include "coordination/api/submission_queue.h"

#include <gtest/gtest.h>

#include "base/clock.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using coordination::Submission;
using coordination::SubmissionQueue;

namespace {

const Time kStart{1000s};

/// Settings with a write budget of 30 submissions per second: a burst of 30, and 36 within the longest wait.
protocol::Settings settings() {
    protocol::Settings s;
    s.storeWritesPerSecond = 100;
    return s;
}

Submission submission(const std::string& id, const std::string& team = "a", Time queuedAt = kStart) {
    Submission s;
    s.spec.id = id;
    s.spec.team = team;
    s.queuedAt = queuedAt;
    return s;
}

std::string nextId(SubmissionQueue& queue, Time now = kStart) {
    const auto taken = queue.takeNext(now);
    return taken ? taken->spec.id : "none";
}

}  // namespace

TEST(SubmissionQueue, TeamsAreServedRoundRobin) {
    SubmissionQueue queue(settings(), kStart);
    EXPECT_TRUE(queue.empty());
    for (const auto* id : {"wk-1", "wk-2", "wk-3"}) queue.add(submission(id, "a"));
    queue.add(submission("wk-4", "b"));
    queue.add(submission("wk-5", "c"));
    std::string order;
    while (!queue.empty()) order += nextId(queue) + " ";
    EXPECT_EQ(order, "wk-1 wk-4 wk-5 wk-2 wk-3 ");
    EXPECT_EQ(nextId(queue), "none");
}

TEST(SubmissionQueue, WritesInFlightAreLimited) {
    SubmissionQueue queue(settings(), kStart);
    for (int i = 0; i < 10; ++i) queue.add(submission("wk-" + std::to_string(i)));
    for (int i = 0; i < 8; ++i) EXPECT_EQ(nextId(queue), "wk-" + std::to_string(i));
    EXPECT_EQ(nextId(queue), "none");
    queue.writeCompleted();
    EXPECT_EQ(nextId(queue), "wk-8");
    EXPECT_EQ(nextId(queue), "none");
}

TEST(SubmissionQueue, WriteBudgetLimitsTheRate) {
    SubmissionQueue queue(settings(), kStart);
    for (int i = 0; i < 40; ++i) queue.add(submission("wk-" + std::to_string(i)));
    int taken = 0;
    while (queue.takeNext(kStart)) {
        queue.writeCompleted();
        ++taken;
    }
    EXPECT_EQ(taken, 30);  // the budget of one second
    EXPECT_TRUE(queue.takeNext(kStart + 100ms));
}

TEST(SubmissionQueue, RequeuedSubmissionIsTheNextOfItsTeam) {
    SubmissionQueue queue(settings(), kStart);
    queue.add(submission("wk-1"));
    queue.add(submission("wk-2"));
    auto refused = queue.takeNext(kStart);
    ASSERT_TRUE(refused);
    queue.writeCompleted();
    queue.requeue(std::move(*refused));
    EXPECT_EQ(nextId(queue), "wk-1");
    EXPECT_EQ(nextId(queue), "wk-2");
}

TEST(SubmissionQueue, ExpiredSubmissionsAreReturned) {
    SubmissionQueue queue(settings(), kStart);
    queue.add(submission("wk-1", "a", kStart));
    queue.add(submission("wk-2", "a", kStart + 1s));
    queue.add(submission("wk-3", "b", kStart));
    EXPECT_TRUE(queue.takeExpired(kStart + SubmissionQueue::kMaxWait).empty());
    const auto expired = queue.takeExpired(kStart + SubmissionQueue::kMaxWait + 1ms);
    ASSERT_EQ(expired.size(), 2u);
    EXPECT_EQ(expired[0].spec.id, "wk-1");
    EXPECT_EQ(expired[1].spec.id, "wk-3");
    EXPECT_EQ(nextId(queue, kStart + 2s), "wk-2");
    EXPECT_TRUE(queue.empty());
}

TEST(SubmissionQueue, FullQueueReturnsRetryAfter) {
    SubmissionQueue queue(settings(), kStart);
    int added = 0;
    while (!queue.retryAfterIfFull(kStart)) queue.add(submission("wk-" + std::to_string(added++)));
    EXPECT_EQ(added, 37);  // 36 are stored within kMaxWait, and one more is queued behind them
    EXPECT_EQ(queue.retryAfterIfFull(kStart), 2s);
    auto slow = settings();
    slow.storeWritesPerSecond = 0.1;
    SubmissionQueue slowQueue(slow, kStart);
    EXPECT_FALSE(slowQueue.retryAfterIfFull(kStart));
    slowQueue.add(submission("wk-1"));
    EXPECT_EQ(slowQueue.retryAfterIfFull(kStart), 30s);
}
