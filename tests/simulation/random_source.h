#pragma once

// The random number generator of one simulated cluster. A history is reproduced exactly from its seed, so any
// change to the order of the draws changes the history that a seed stands for.

#include <cstdint>
#include <random>

#include "base/clock.h"

namespace burlpoint::simulation {

class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed) : generator_(seed) {}

    /// A uniform value in [0, 1).
    double fraction() { return std::uniform_real_distribution<>(0, 1)(generator_); }
    /// A uniform integer in [0, bound).
    int below(int bound) { return std::uniform_int_distribution<>(0, bound - 1)(generator_); }
    bool chance(double probability) { return fraction() < probability; }
    /// Like `chance`, but draws no random number if the probability is 0.
    bool chanceUnlessZero(double probability) { return probability > 0 && chance(probability); }
    Seconds seconds(double from, double to) { return Seconds(from + (to - from) * fraction()); }
    /// A uniform delay between two numbers of seconds.
    Clock::duration delay(double from, double to) {
        return toClockDuration(Seconds(std::uniform_real_distribution<>(from, to)(generator_)));
    }

  private:
    std::mt19937_64 generator_;
};

}  // namespace burlpoint::simulation
