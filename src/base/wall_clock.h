#pragma once

// Conversion between times of day, which stored records hold, and the steady clock, by which a controller
// decides.

#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace burlpoint {

/// The time of day in milliseconds since 1970, as accurate as the system's clock is.
inline std::uint64_t wallClockMs() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

/// Maps between the two clocks by one moment at which both were read. Later adjustments of the system's clock
/// are not followed.
class WallClock {
  public:
    /// `steady` and `wallMs` (milliseconds since 1970) are the same moment.
    WallClock(Time steady, std::uint64_t wallMs) : steady_(steady), wallMs_(wallMs) {}

    /// The steady clock's time at a time of day, which may be before the constructor's.
    Time steadyAt(std::uint64_t wallMs) const {
        const auto sinceThen = static_cast<std::int64_t>(wallMs) - static_cast<std::int64_t>(wallMs_);
        return steady_ + std::chrono::milliseconds(sinceThen);
    }
    /// The time of day at a moment that is not before the constructor's, in whole milliseconds since 1970.
    std::uint64_t wallMsAt(Time steady) const {
        const auto sinceThen = std::chrono::duration_cast<std::chrono::milliseconds>(steady - steady_);
        return wallMs_ + static_cast<std::uint64_t>(sinceThen.count());
    }

  private:
    Time steady_;
    std::uint64_t wallMs_;
};

}  // namespace burlpoint
