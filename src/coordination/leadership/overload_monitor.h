#pragma once

// Detects that this process falls behind with its work. Owns since when the event loop's ticks have been late
// and when this controller last resigned for that reason. Used on the event loop's thread.

#include <optional>

#include "base/clock.h"

namespace burlpoint::coordination {

/// Decides when a leader whose event loop falls behind should resign, because its processor may be slower
/// than its peers' for a while. As the peers may be no faster, the minimum time until this controller resigns
/// again is 60 s after the first resignation and doubles with each further one, up to 960 s.
class OverloadMonitor {
  public:
    /// Records that a tick that was due at `due` runs at `now`. Must be called for every tick.
    void recordTick(Time due, Time now);
    /// Records that this controller became leader at `now`. Earlier late ticks no longer count.
    void recordLeadershipStart(Time now);
    /// True if every tick that was due in the last 1.2 s or longer ran at least 200 ms late, so that workers
    /// would not be answered in time.
    bool isOverloaded(Time now) const;
    /// True if the leader should resign now. Must only be called while this controller leads.
    bool shouldResign(Time now) const;
    /// Records that the leader resigned at `now` because of the overload.
    void recordResignation(Time now);

  private:
    std::optional<Time> lateSince_;  // when the first tick of the current run of late ticks was due
    Time leadingSince_{};
    Time resignedAt_{};
    Clock::duration resignationPause_{};  // minimum time between two resignations, 0 before the first
};

}  // namespace burlpoint::coordination
