#pragma once

#include <optional>

#include "base/clock.h"

/// Whether this process keeps up with its work. `OverloadMonitor` owns the history of how late the event loop
/// was, and how often a leader has given way for it.
namespace burlpoint::coordination {

/// Tells a leader whose event loop falls behind to leave the leadership to a peer: its processor may be
/// slower than theirs for a while. As they may be no faster, each time this leader stays longer before it
/// gives way again.
class OverloadMonitor {
  public:
    /// A tick that was due at `due` runs at `now`. All ticks are to be noted.
    void noteTick(Time due, Time now);
    /// This node leads from now on; what came before does not count.
    void noteLeading(Time now);
    /// The event loop has been late without a break for so long that workers would not be answered in time.
    bool isOverloaded(Time now) const;
    /// A leader should give way. Only as long as it leads.
    bool shouldGiveWay(Time now) const;
    /// It has given way.
    void noteGivenWay(Time now);

  private:
    std::optional<Time> lateSince_;
    Time leadingSince_{};
    Time givenWayAt_{};
    Clock::duration pause_{};  // after giving way, before it does so again
};

}  // namespace burlpoint::coordination
