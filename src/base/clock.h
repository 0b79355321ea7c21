#pragma once

// The clock and the units of time that all layers share. Holds no state.

#include <chrono>

namespace burlpoint {

/// The clock by which a process decides. It is never set back, but may drift from other machines' clocks by
/// 0.05%.
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
/// Timeouts and pauses of the process itself.
using Duration = std::chrono::milliseconds;
/// Times in messages and settings.
using Seconds = std::chrono::duration<double>;

/// Converts seconds to the steady clock's unit; what is less than a unit is cut off.
inline Clock::duration toClockDuration(Seconds seconds) {
    return std::chrono::duration_cast<Clock::duration>(seconds);
}

}  // namespace burlpoint
