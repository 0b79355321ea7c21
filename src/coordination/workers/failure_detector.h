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

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

class FailureDetector {
  public:
    /// Machines that heartbeat, or of which an earlier leader's tasks are to be settled, at one moment.
    struct Census {
        std::size_t reporting = 0;
        std::size_t suspected = 0;
        std::vector<bookkeeping::Machine*>
            expired;  // whose lease is over: nothing sent to them counts any more
    };
    struct Findings {
        std::vector<bookkeeping::Machine*> toProbe;  // to be asked directly; some may have no known address
        std::vector<bookkeeping::Machine*> failedMachines;
        std::optional<std::string> resignation;  // why this node should not lead, if so
    };

    /// The references must outlive the monitor. `fencingToken` and `began` are the leadership's; `leaseBound`
    /// is how long a worker's lease may last after a heartbeat of it was answered.
    FailureDetector(const protocol::Settings& settings, bookkeeping::Fleet& fleet, std::uint64_t fencingToken,
                    Time began, Clock::duration leaseBound);

    /// News came from a worker, by a heartbeat.
    void noteHeartbeat(Time now);
    /// To be called with every tick. A long gap since the one before was this node's own, so that the silence
    /// meanwhile is held against no machine.
    void noteTick(Time now);

    /// Is it time to look at all machines again?
    bool isDue(Time now) const { return now >= nextCheck_; }
    /// Counts the machines and finds those whose lease is over, which the leader clears before it asks for
    /// the findings. The next time is due half a second later.
    Census takeCensus(Time now);
    /// What follows from a census taken at `now`, whose lapsed machines have been cleared since.
    Findings evaluate(const Census& census, Time now);

  private:
    void evaluateMachine(bookkeeping::Machine& machine, bool fewAreSuspected, Time now,
                         Findings& findings) const;
    std::optional<std::string> evaluateOwnReachability(const Census& census, Time now);

    bookkeeping::Fleet& fleet_;
    const std::size_t nodes_;
    const std::uint64_t fencingToken_;
    const Time began_;
    const Clock::duration leaseBound_;
    const Clock::duration suspicionTimeout_;  // a machine that is not heard for longer is silent
    const Clock::duration failureTimeout_;    // one that no probe reaches either is given up after this
    const Clock::duration heartbeatInterval_;

    Time nextCheck_;
    Time lastTick_{};
    Time lastHeartbeat_;         // of any worker, or the end of this node's own absence
    bool anyHeartbeat_ = false;  // a worker has reached this leader
    bool leadsWithoutWorkers_ = false;
};

}  // namespace burlpoint::coordination
