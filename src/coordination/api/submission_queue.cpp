#include "coordination/api/submission_queue.h"

#include <algorithm>

namespace burlpoint::coordination {
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxQueued = 400;  // in all queues, which bounds their memory
constexpr std::size_t kMaxStoring = 8;   // transactions under way
// Of the key-value store's changes. A leader's writes are paced by a budget of their own: were both one, its
// node would turn users away whenever it has much to store.
constexpr double kShare = 0.3;
constexpr std::chrono::seconds kShortestRetry = 1s;
constexpr Seconds kLongestRetry = 30s;

}  // namespace

SubmissionQueue::SubmissionQueue(const protocol::Settings& settings, Time now)
    : changes_(settings.storeWritesPerSecond * kShare, now, settings.minWritesPerSecond() * kShare) {}

std::optional<std::chrono::seconds> SubmissionQueue::retryAfter(Time now) {
    const Seconds expected(static_cast<double>(queued_) / changes_.ratePerSecond(now));
    if (queued_ < kMaxQueued && expected <= kMaxWait) return std::nullopt;
    const auto after = std::chrono::ceil<std::chrono::seconds>(std::min(expected, kLongestRetry));
    return std::max(after, kShortestRetry);
}

void SubmissionQueue::add(Submission submission) {
    auto& queue = queues_[submission.spec.team];
    queue.push_back(std::move(submission));
    ++queued_;
}

void SubmissionQueue::putBack(Submission submission) {
    auto& queue = queues_[submission.spec.team];
    queue.push_front(std::move(submission));
    ++queued_;
}

std::vector<Submission> SubmissionQueue::takeExpired(Time now) {
    std::vector<Submission> expired;
    for (auto& [team, queue] : queues_) {
        while (!queue.empty() && now - queue.front().since > kMaxWait) {
            expired.push_back(std::move(queue.front()));
            queue.pop_front();
            --queued_;
        }
    }
    std::erase_if(queues_, [](const auto& entry) { return entry.second.empty(); });
    return expired;
}

std::optional<Submission> SubmissionQueue::takeNext(Time now) {
    if (queues_.empty() || storing_ >= kMaxStoring) return std::nullopt;
    if (!changes_.tryTake(1, 0, now)) return std::nullopt;
    auto next = queues_.upper_bound(lastTeam_);
    if (next == queues_.end()) next = queues_.begin();
    lastTeam_ = next->first;
    auto& queue = next->second;
    auto submission = std::move(queue.front());
    queue.pop_front();
    --queued_;
    if (queue.empty()) queues_.erase(next);
    ++storing_;
    return submission;
}

void SubmissionQueue::stored() { --storing_; }

}  // namespace burlpoint::coordination
