#pragma once

// Conversion between wall-clock times, which stored records contain, and the steady clock, which a controller
// uses for its decisions.

#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace burlpoint {

/// The wall-clock time in milliseconds since 1970, as accurate as the system's clock.
inline std::uint64_t wallClockMs() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

/// Converts between the two clocks by a reference point at which both were read. Later adjustments of the
/// system's clock have no effect.
class WallClock {
  public:
    /// `steady` and `wallMs`, in milliseconds since 1970, denote the same moment: the reference point.
    WallClock(Time steady, std::uint64_t wallMs) : referenceSteady_(steady), referenceWallMs_(wallMs) {}

    /// The steady clock's time at a wall-clock time, which may be before the reference point.
    Time steadyAt(std::uint64_t wallMs) const {
        const auto sinceReference =
            static_cast<std::int64_t>(wallMs) - static_cast<std::int64_t>(referenceWallMs_);
        return referenceSteady_ + std::chrono::milliseconds(sinceReference);
    }
    /// The wall-clock time in whole milliseconds since 1970 at a moment not before the reference point.
    std::uint64_t wallMsAt(Time steady) const {
        const auto sinceReference =
            std::chrono::duration_cast<std::chrono::milliseconds>(steady - referenceSteady_);
        return referenceWallMs_ + static_cast<std::uint64_t>(sinceReference.count());
    }

  private:
    Time referenceSteady_;
    std::uint64_t referenceWallMs_;
};

}  // namespace burlpoint
