#pragma once

// Failure detection for worker machines, as a leader runs it: which machines are suspected and probed, which
// have failed, and whose lease has expired. Whether missing heartbeats are rather the fault of this
// controller's own network is decided by the IsolationDetector that this class owns. What is known of each
// machine is in the fleet. This module sends and removes nothing: the leader acts on its findings. Used on
// the thread that owns the leader.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "coordination/workers/isolation_detector.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

class FailureDetector {
  public:
    /// Counts over the monitored machines at one moment. Monitored are those that send heartbeats, and those
    /// that may still hold tasks of an earlier leader.
    struct Census {
        std::size_t alive = 0;
        std::size_t suspected = 0;
        /// Their lease has expired, so nothing that was sent to them is on them any more.
        std::vector<bookkeeping::Machine*> expired;
    };
    struct Findings {
        std::vector<bookkeeping::Machine*> toProbe;  // some may have no known address
        std::vector<bookkeeping::Machine*> failedMachines;
        Isolation isolation = Isolation::none;  // unless none, this controller should not lead
    };

    /// The references must outlive the detector. `fencingToken` and `began` are those of the leadership;
    /// `leaseBound` is the longest that a worker's lease may last after a heartbeat of it was answered.
    FailureDetector(const protocol::Settings& settings, bookkeeping::Fleet& fleet, std::uint64_t fencingToken,
                    Time began, Clock::duration leaseBound);

    /// A heartbeat arrived that was newer than all before it from the same worker.
    void noteHeartbeat(Time now);
    /// To be called with every tick. A long gap since the tick before means that this controller was
    /// suspended, so the heartbeats missing in that time count against no machine.
    void noteTick(Time now);

    /// Is the next census due?
    bool isDue(Time now) const { return now >= nextCensus_; }
    /// Counts the machines and finds those whose lease has expired. The leader clears these before it calls
    /// evaluate(). The next census is due half a second later.
    Census takeCensus(Time now);
    /// What follows from a census taken at `now`, whose expired machines have been cleared since.
    Findings evaluate(const Census& census, Time now);

  private:
    /// Whether suspected machines may be declared failed.
    enum class FailurePolicy {
        allow,   // few machines are suspected
        suspend  // many are suspected at once, so that the cause is probably not in the machines
    };
    static FailurePolicy failurePolicy(const Census& census);
    std::optional<Clock::duration> suspectedFor(const bookkeeping::Machine& machine, Time now) const;
    void evaluateMachine(bookkeeping::Machine& machine, FailurePolicy policy, Time now,
                         Findings& findings) const;
    bool hasFailed(const bookkeeping::Machine& machine, Clock::duration suspected, Time now) const;

    bookkeeping::Fleet& fleet_;
    const Time began_;
    const Clock::duration suspicionTimeout_;  // without a heartbeat for longer, a machine is suspected
    const Clock::duration failureTimeout_;    // suspected for longer without answering a probe, it has failed
    const Clock::duration heartbeatInterval_;
    IsolationDetector isolation_;

    Time nextCensus_;
    Time lastTick_{};
};

}  // namespace burlpoint::coordination
