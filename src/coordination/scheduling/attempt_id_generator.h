#pragma once

// Numbers of attempts. Owns the counter of one leadership.

#include <cstdint>

namespace burlpoint::coordination {

/// Numbers that no attempt had before: the leadership's fencing token, which no other leadership has, times
/// 2^32, plus a counter.
class AttemptIdGenerator {
  public:
    explicit AttemptIdGenerator(std::uint64_t fencingToken) : last_(fencingToken << kCounterBits) {}

    std::uint64_t next() { return ++last_; }

  private:
    static constexpr unsigned kCounterBits = 32;

    std::uint64_t last_;
};

}  // namespace burlpoint::coordination
