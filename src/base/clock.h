#pragma once

// The clock and the units of time that all layers share. Holds no state.

#include <chrono>

namespace burlpoint {

/// The clock that all timeouts and decisions of a process use. It is monotonic, but may drift from other
/// machines' clocks by 0.05%.
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
/// For timeouts and delays inside a process.
using Duration = std::chrono::milliseconds;
/// For durations in messages and settings.
using Seconds = std::chrono::duration<double>;

/// Converts seconds to the steady clock's unit, truncating towards zero.
inline Clock::duration toClockDuration(Seconds seconds) {
    return std::chrono::duration_cast<Clock::duration>(seconds);
}

}  // namespace burlpoint
