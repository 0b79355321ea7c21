#pragma once

// How much of the fleet was looked at on behalf of jobs. Owns the count.

#include <cstdint>

namespace burlpoint::coordination {

/// Counts the machines that were looked at for waiting jobs. Rounds over the waiting jobs are bounded by it,
/// so that their cost does not grow with the number of jobs times that of machines.
class ScanCounter {
  public:
    void add(std::uint64_t machines = 1) { total_ += machines; }
    std::uint64_t total() const { return total_; }

  private:
    std::uint64_t total_ = 0;
};

}  // namespace burlpoint::coordination
