#include "bookkeeping/job_failures.h"

#include <algorithm>

namespace burlpoint::bookkeeping {

using namespace std::chrono_literals;

namespace {

// Longer than the longest back-off after failures: a faulty job that is retried after each back-off remains
// known as faulty.
constexpr auto kRetention = 120s;
// Bounds the memory of a job that fails on every machine. The back-off is at its longest before that.
constexpr std::size_t kMaxMachines = 16;

}  // namespace

void JobFailures::record(const std::string& machine, Time now) {
    if (areForgotten(now)) clear();
    lastByMachine_[machine] = last_ = now;
    if (lastByMachine_.size() > kMaxMachines) dropOldest();
}

void JobFailures::dropOldest() {
    lastByMachine_.erase(std::min_element(lastByMachine_.begin(), lastByMachine_.end(),
                                          [](const auto& a, const auto& b) { return a.second < b.second; }));
}

std::size_t JobFailures::machineCount(Time now) const {
    return areForgotten(now) ? 0 : lastByMachine_.size();
}

bool JobFailures::suggestFaultyJob(Time now) const { return machineCount(now) >= kFaultyJobMachines; }

std::optional<Time> JobFailures::lastOn(const std::string& machine, Time now) const {
    const auto found = lastByMachine_.find(machine);
    if (found == lastByMachine_.end() || areForgotten(now)) return std::nullopt;
    return found->second;
}

bool JobFailures::areForgotten(Time now) const { return now - last_ > kRetention; }

}  // namespace burlpoint::bookkeeping
