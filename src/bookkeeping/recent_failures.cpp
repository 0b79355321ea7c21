#include "bookkeeping/recent_failures.h"

#include <algorithm>

namespace burlpoint::bookkeeping {

namespace {

constexpr std::size_t kMaxIds = 16;  // bounds the memory of a job that fails on every machine

}  // namespace

void RecentFailures::record(const std::string& id, Time now) {
    if (areForgotten(now)) clear();
    lastById_[id] = last_ = now;
    if (lastById_.size() > kMaxIds) dropOldest();
}

void RecentFailures::dropOldest() {
    lastById_.erase(std::min_element(lastById_.begin(), lastById_.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; }));
}

std::size_t RecentFailures::count(Time now) const { return areForgotten(now) ? 0 : lastById_.size(); }

std::optional<Time> RecentFailures::lastOf(const std::string& id, Time now) const {
    const auto found = lastById_.find(id);
    if (found == lastById_.end() || areForgotten(now)) return std::nullopt;
    return found->second;
}

}  // namespace burlpoint::bookkeeping
