#include "coordination/api/submission_queue.h"

#include <algorithm>

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxQueued = 400;  // total over all queues; bounds their memory
constexpr std::size_t kMaxWritesInFlight = 8;
// Share of the key-value store's write rate that the submissions to one controller may use. The writes of a
// leader have a separate budget: with a shared one, the leader's controller would reject submissions whenever
// the leader has much to store.
constexpr double kWriteBudgetShare = 0.3;
constexpr std::chrono::seconds kMinRetryAfter = 1s;
constexpr Seconds kMaxRetryAfter = 30s;

}  // namespace

SubmissionQueue::SubmissionQueue(const protocol::Settings& settings, Time now)
    : writeBudget_(settings.storeWritesPerSecond * kWriteBudgetShare, now,
                   settings.minWritesPerSecond() * kWriteBudgetShare) {}

std::optional<std::chrono::seconds> SubmissionQueue::retryAfterIfFull(Time now) {
    const Seconds expectedWait(static_cast<double>(queued_) / writeBudget_.ratePerSecond(now));
    if (queued_ < kMaxQueued && expectedWait <= kMaxWait) return std::nullopt;
    const auto wholeSeconds = std::chrono::ceil<std::chrono::seconds>(std::min(expectedWait, kMaxRetryAfter));
    return std::max(wholeSeconds, kMinRetryAfter);
}

void SubmissionQueue::add(Submission submission) {
    auto& queue = queues_[submission.spec.team];
    queue.push_back(std::move(submission));
    ++queued_;
}

void SubmissionQueue::requeue(Submission submission) {
    auto& queue = queues_[submission.spec.team];
    queue.push_front(std::move(submission));
    ++queued_;
}

std::vector<Submission> SubmissionQueue::takeExpired(Time now) {
    std::vector<Submission> expired;
    for (auto& [team, queue] : queues_) {
        while (!queue.empty() && now - queue.front().queuedAt > kMaxWait) {
            expired.push_back(std::move(queue.front()));
            queue.pop_front();
            --queued_;
        }
    }
    std::erase_if(queues_, [](const auto& entry) { return entry.second.empty(); });
    return expired;
}

std::optional<Submission> SubmissionQueue::takeNext(Time now) {
    if (queues_.empty() || writesInFlight_ >= kMaxWritesInFlight) return std::nullopt;
    if (!writeBudget_.tryTake(1, 0, now)) return std::nullopt;
    auto next = queues_.upper_bound(lastServedTeam_);
    if (next == queues_.end()) next = queues_.begin();
    lastServedTeam_ = next->first;
    auto& queue = next->second;
    auto submission = std::move(queue.front());
    queue.pop_front();
    --queued_;
    if (queue.empty()) queues_.erase(next);
    ++writesInFlight_;
    return submission;
}

}  // namespace burlpoint::coordination
