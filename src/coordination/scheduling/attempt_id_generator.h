#pragma once

// Generates attempt numbers. Owns the counter of one leader. Used on the leader's thread.

#include <cstdint>

namespace burlpoint::coordination {

/// Generates numbers that no attempt had before: the leader's fencing token, which no other leader has, in
/// the upper 32 bits and a counter in the lower 32.
class AttemptIdGenerator {
  public:
    explicit AttemptIdGenerator(std::uint64_t fencingToken) : last_(fencingToken << kCounterBits) {}

    std::uint64_t next() { return ++last_; }

  private:
    static constexpr unsigned kCounterBits = 32;

    std::uint64_t last_;
};

}  // namespace burlpoint::coordination
