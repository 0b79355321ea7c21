#include "bookkeeping/recent_starts.h"

#include <algorithm>
#include <chrono>

namespace burlpoint::bookkeeping {

namespace {

// A worker drops the response to a heartbeat that it sent more than 4 s ago. The heartbeat was sent before
// the response, and the clocks of worker and leader drift apart by at most 0.1%.
constexpr std::chrono::milliseconds kMaxResponseAge{4004};

}  // namespace

std::vector<RecentStarts::Start>::const_iterator RecentStarts::firstRecent(Time now) const {
    return std::find_if(starts_.begin(), starts_.end(),
                        [&](const auto& start) { return now - start.sentAt <= kMaxResponseAge; });
}

void RecentStarts::record(const AttemptKey& attempt, Time now) {
    starts_.erase(starts_.begin(), firstRecent(now));
    starts_.push_back({attempt, now});
}

void RecentStarts::remove(const AttemptKey& attempt) {
    std::erase_if(starts_, [&](const auto& start) { return start.attempt == attempt; });
}

bool RecentStarts::contains(const AttemptKey& attempt, Time now) const {
    return std::any_of(firstRecent(now), starts_.end(),
                       [&](const auto& start) { return start.attempt == attempt; });
}

bool RecentStarts::containsTask(const Job& job, std::uint32_t task, Time now) const {
    return std::any_of(firstRecent(now), starts_.end(), [&](const auto& start) {
        return start.attempt.job == &job && start.attempt.task == task;
    });
}

bool RecentStarts::containsJob(const Job& job, Time now) const {
    return std::any_of(firstRecent(now), starts_.end(),
                       [&](const auto& start) { return start.attempt.job == &job; });
}

}  // namespace burlpoint::bookkeeping
