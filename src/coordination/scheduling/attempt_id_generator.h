#pragma once

// Generates attempt numbers that are unique across leaders. Owns the counter of one leader. Used on the
// leader's thread.

#include <cstdint>

namespace burlpoint::coordination {

/// Generates numbers that no earlier attempt had. The upper 32 bits hold the leader's fencing token, which no
/// other leader has, and the lower 32 bits a counter.
class AttemptIdGenerator {
  public:
    explicit AttemptIdGenerator(std::uint64_t fencingToken) : last_(fencingToken << kCounterBits) {}

    std::uint64_t next() { return ++last_; }

  private:
    static constexpr unsigned kCounterBits = 32;

    std::uint64_t last_;
};

}  // namespace burlpoint::coordination
