#pragma once

// Machines from which nothing is heard: whose lease is over, whom to ask directly, whom to give up, and
// whether the silence is rather this node's own, so that it should not lead. This module owns what the leader
// remembers of being reached at all; what is known of each machine is in the fleet. It sends and removes
// nothing itself: the leader acts on what it finds.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bookkeeping/fleet.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

class SilenceMonitor {
  public:
    /// Machines that report, or of which an earlier leader's tasks are to be settled, at one moment.
    struct Census {
        std::size_t reporting = 0;
        std::size_t silent = 0;
        std::vector<bookkeeping::Machine*>
            lapsed;  // whose lease is over: nothing sent to them counts any more
    };
    struct Findings {
        std::vector<bookkeeping::Machine*> toProbe;  // to be asked directly; some may have no known address
        std::vector<bookkeeping::Machine*> toGiveUp;
        std::optional<std::string> resignation;  // why this node should not lead, if so
    };

    /// The references must outlive the monitor. `token` and `began` are the leadership's; `leaseBound` is how
    /// long a worker's lease may last after a report of it was answered.
    SilenceMonitor(const protocol::Settings& settings, bookkeeping::Fleet& fleet, std::uint64_t token,
                   transport::Time began, transport::Clock::duration leaseBound);

    /// News came from a worker, by a report.
    void noteReport(transport::Time now);
    /// To be called with every tick. A long gap since the one before was this node's own, so that the silence
    /// meanwhile is held against no machine.
    void noteTick(transport::Time now);

    /// Is it time to look at all machines again?
    bool isDue(transport::Time now) const { return now >= nextCheck_; }
    /// Counts the machines and finds those whose lease is over, which the leader clears before it asks for
    /// the findings. The next time is due half a second later.
    Census takeCensus(transport::Time now);
    /// What follows from a census taken at `now`, whose lapsed machines have been cleared since.
    Findings judge(const Census& census, transport::Time now);

  private:
    using Time = transport::Time;
    using Clock = transport::Clock;

    void judgeMachine(bookkeeping::Machine& machine, bool fewAreSilent, Time now, Findings& findings) const;
    std::optional<std::string> judgeOwnReach(const Census& census, Time now);

    bookkeeping::Fleet& fleet_;
    const std::size_t nodes_;
    const std::uint64_t token_;
    const Time began_;
    const Clock::duration leaseBound_;
    const Clock::duration patience_;  // a machine that is not heard for longer is silent
    const Clock::duration giveUp_;    // one that no probe reaches either is given up after this
    const Clock::duration reportInterval_;

    Time nextCheck_;
    Time lastTick_{};
    Time lastReport_;         // of any worker, or the end of this node's own absence
    bool anyReport_ = false;  // a worker has reached this leader
    bool leadsWithoutWorkers_ = false;
};

}  // namespace burlpoint::coordination
