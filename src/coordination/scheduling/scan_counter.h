#pragma once

// Counts the machines that were scanned on behalf of waiting jobs. Owns the count. Used on the leader's
// thread.

#include <cstdint>

namespace burlpoint::coordination {

/// Counts machine scans. A preemption round ends when the count has grown by the round's budget, so that its
/// cost does not grow with the number of jobs times the number of machines.
class ScanCounter {
  public:
    void add(std::uint64_t machines = 1) { total_ += machines; }
    std::uint64_t total() const { return total_; }

  private:
    std::uint64_t total_ = 0;
};

}  // namespace burlpoint::coordination
