#pragma once

// Detects that this process falls behind with its work. Owns how late the event loop has been and when this
// leader last resigned for that reason. Used on the event loop's thread.

#include <optional>

#include "base/clock.h"

namespace burlpoint::coordination {

/// Tells a leader whose event loop falls behind to resign, as its processor may be slower than its peers' for
/// a while. The peers may be no faster, so the pause until this controller resigns again doubles each time.
class OverloadMonitor {
  public:
    /// A tick that was due at `due` runs at `now`. All ticks must be noted.
    void noteTick(Time due, Time now);
    /// This controller became leader at `now`. Earlier late ticks no longer count.
    void noteLeading(Time now);
    /// Have all ticks been late for so long that workers would not be answered in time?
    bool isOverloaded(Time now) const;
    /// Should the leader resign now? Only to be asked while this controller leads.
    bool shouldResign(Time now) const;
    /// The leader resigned because of the overload.
    void noteResigned(Time now);

  private:
    std::optional<Time> lateSince_;  // when the first of the late ticks without a break was due
    Time leadingSince_{};
    Time resignedAt_{};
    Clock::duration pause_{};  // after a resignation, before the next; 0: it never resigned
};

}  // namespace burlpoint::coordination
