#pragma once

// Failure detection for worker machines, run by the leader: determines which machines are suspected and have
// to be probed, which have failed, and whose lease has expired. The IsolationDetector that this class owns
// decides whether missing heartbeats are caused by this controller's own network instead. The state of each
// machine is in the fleet. The detector sends no messages and removes no machines: the leader acts on its
// findings. Used on the thread that owns the leader.

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
    /// The monitored machines at one moment. A machine is monitored if its lease is active or if it may still
    /// hold tasks of an earlier leader.
    struct HealthSummary {
        std::size_t alive = 0;
        std::size_t suspected = 0;
        /// Machines whose lease has expired, so that no task sent to them can still run there.
        std::vector<bookkeeping::Machine*> expired;
    };
    struct Findings {
        std::vector<bookkeeping::Machine*> toProbe;  // their address may be unknown
        std::vector<bookkeeping::Machine*> failedMachines;
        Isolation isolation = Isolation::none;  // any other value: this controller should resign
    };

    /// The references must outlive the detector. `fencingToken` and `leadershipStart` are the token and the
    /// start of this leadership. `maxLeaseDuration` is the longest time that a worker's lease can last after
    /// a response to one of its heartbeats.
    FailureDetector(const protocol::Settings& settings, bookkeeping::Fleet& fleet, std::uint64_t fencingToken,
                    Time leadershipStart, Clock::duration maxLeaseDuration);

    /// Records the arrival of a heartbeat that is newer than all previous ones of the same worker.
    void recordHeartbeat(Time now);
    /// Must be called on every tick of the leader. A gap of more than 3 s between two ticks means that this
    /// controller was suspended, overloaded or without a valid leader lease, so no machine is suspected
    /// because of heartbeats missing in that time.
    void recordTick(Time now);

    /// True if the next evaluation is due: half a second after the last call of summarizeHealth().
    bool isEvaluationDue(Time now) const { return now >= nextEvaluation_; }
    /// Counts the monitored machines and collects those whose lease has expired. The leader ends the
    /// placements and the leases of the latter before it calls evaluate().
    HealthSummary summarizeHealth(Time now);
    /// Evaluates a summary made at `now`, after the placements and leases of its expired machines were ended.
    Findings evaluate(const HealthSummary& summary, Time now);

  private:
    /// Whether suspected machines may be declared failed.
    enum class FailurePolicy {
        allow,   // few machines are suspected
        suspend  // many are suspected at once, so the machines are probably not the cause
    };
    static FailurePolicy failurePolicy(const HealthSummary& summary);
    std::optional<Clock::duration> suspicionDuration(const bookkeeping::Machine& machine, Time now) const;
    void evaluateMachine(bookkeeping::Machine& machine, FailurePolicy policy, Time now,
                         Findings& findings) const;
    bool hasFailed(const bookkeeping::Machine& machine, Clock::duration suspected, Time now) const;

    bookkeeping::Fleet& fleet_;
    const Time leadershipStart_;
    const Clock::duration suspicionTimeout_;  // time without a heartbeat after which a machine is suspected
    const Clock::duration failureTimeout_;    // suspected this long without a probe answer: failed
    const Clock::duration heartbeatInterval_;
    IsolationDetector isolation_;

    Time nextEvaluation_;
    Time lastTick_{};
};

}  // namespace burlpoint::coordination
