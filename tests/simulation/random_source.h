#pragma once

// The random numbers of one simulated cluster. A history is repeated exactly from its seed, so the order of
// the draws is part of what a seed means.

#include <cstdint>
#include <random>

#include "base/clock.h"

namespace burlpoint::simulation {

class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed) : generator_(seed) {}

    /// At least 0 and less than 1.
    double fraction() { return std::uniform_real_distribution<>(0, 1)(generator_); }
    /// At least 0 and less than `bound`.
    int below(int bound) { return std::uniform_int_distribution<>(0, bound - 1)(generator_); }
    bool chance(double probability) { return fraction() < probability; }
    /// Draws nothing while the probability is 0.
    bool chanceIfPossible(double probability) { return probability > 0 && chance(probability); }
    Seconds seconds(double from, double to) { return Seconds(from + (to - from) * fraction()); }
    /// Between two numbers of seconds.
    Clock::duration delay(double from, double to) {
        return toClockDuration(Seconds(std::uniform_real_distribution<>(from, to)(generator_)));
    }

  private:
    std::mt19937_64 generator_;
};

}  // namespace burlpoint::simulation
