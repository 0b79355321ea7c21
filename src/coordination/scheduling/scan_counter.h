#pragma once

// Counts how many machines were looked at on behalf of waiting jobs. Owns the count. Used on the leader's
// thread.

#include <cstdint>

namespace burlpoint::coordination {

/// Preemption rounds end when this count has grown by their budget, so that their cost does not grow with the
/// number of jobs times the number of machines.
class ScanCounter {
  public:
    void add(std::uint64_t machines = 1) { total_ += machines; }
    std::uint64_t total() const { return total_; }

  private:
    std::uint64_t total_ = 0;
};

}  // namespace burlpoint::coordination
