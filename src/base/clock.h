#pragma once

/// Time as every layer measures it. Holds no state.

#include <chrono>

namespace burlpoint {

/// Never set back; what a process decides by. It may drift from other machines' clocks by 0.05%.
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
/// Timeouts and pauses of the process itself.
using Duration = std::chrono::milliseconds;
/// Times as messages and settings give them.
using Seconds = std::chrono::duration<double>;

/// A time in seconds by the steps of the steady clock.
inline Clock::duration toClockDuration(Seconds seconds) {
    return std::chrono::duration_cast<Clock::duration>(seconds);
}

}  // namespace burlpoint
