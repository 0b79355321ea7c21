#pragma once

// Numbers of attempts. Owns the counter of one leadership.

#include <cstdint>

namespace burlpoint::coordination {

/// Numbers that no attempt had before: the leadership's token, which no other leadership has, times 2^32,
/// plus a counter.
class AttemptNumbers {
  public:
    explicit AttemptNumbers(std::uint64_t token) : last_(token << kCounterBits) {}

    std::uint64_t next() { return ++last_; }

  private:
    static constexpr unsigned kCounterBits = 32;

    std::uint64_t last_;
};

}  // namespace burlpoint::coordination
