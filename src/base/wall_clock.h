#pragma once

// Conversion between times of day, as records have them, and the steady clock, by which a node decides.

#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace burlpoint {

/// The time of day in milliseconds since 1970, as far as the system's clock is right.
inline std::uint64_t wallClockMs() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

/// Ties one moment of this node's steady clock to the time of day it had then. Later adjustments of the time
/// of day are not followed.
class WallClock {
  public:
    /// At `steady` it was `wallMs` by the time of day, in milliseconds.
    WallClock(Time steady, std::uint64_t wallMs) : steady_(steady), wallMs_(wallMs) {}

    /// When it was that time of day, in milliseconds, by the steady clock; may be before or after now.
    Time steadyAt(std::uint64_t wallMs) const {
        const auto sinceThen = static_cast<std::int64_t>(wallMs) - static_cast<std::int64_t>(wallMs_);
        return steady_ + std::chrono::milliseconds(sinceThen);
    }
    /// The time of day, in whole milliseconds, at a moment that is not before the constructor's.
    std::uint64_t wallMsAt(Time steady) const {
        const auto sinceThen = std::chrono::duration_cast<std::chrono::milliseconds>(steady - steady_);
        return wallMs_ + static_cast<std::uint64_t>(sinceThen.count());
    }

  private:
    Time steady_;
    std::uint64_t wallMs_;
};

}  // namespace burlpoint
