#pragma once

// The key-value store of a simulated cluster, with its faults: outages, slow responses, transactions that are
// applied late, and limits that are lowered during a history.

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/state_replica.h"
#include "simulation/environment.h"
#include "simulation/requester.h"
#include "storage/records.h"
#include "storage/store_stub.h"

namespace burlpoint::simulation {

class SimulatedStore {
  public:
    explicit SimulatedStore(Environment& environment);

    /// Refuses all requests for this time.
    void beginOutage(Seconds time) { outageUntil_ = environment_.now() + toClockDuration(time); }
    bool isUnavailable() const { return environment_.now() < outageUntil_; }
    /// The request and the response of a transaction take up to this long each. The leader's timeout for a
    /// transaction is 1.5 s.
    void setLatency(Seconds latency) { latency_ = latency; }
    Seconds latency() const { return latency_; }
    /// Lowers the limits of the store after the given time; `limits.changes` is the number of writes per
    /// second.
    void lowerLimits(Seconds after, tests::StubLimits limits);
    /// Applies lowered limits once they are due and renews the limit of writes each second. To be called at
    /// each time step.
    void step();

    /// Applies a leader's transaction, subject to faults, and responds with the outcome.
    void commit(const coordination::WriteState& action, const Requester& requester);
    /// Applies a transaction of a user or an election, without delay or faults. Writes nothing if a condition
    /// does not hold.
    void commitImmediately(const std::vector<protocol::KeyCondition>& conditions,
                           const std::vector<protocol::KeyWrite>& writes);
    /// Applies the changes after `position` in the log to the replica and moves `position` to the end.
    std::vector<bookkeeping::ReplicaChange> readChanges(bookkeeping::StateReplica& replica,
                                                        std::size_t& position) const;

    std::uint64_t fencingToken() const;
    storage::JobRecord recordOf(const std::string& job) const;
    /// The stored state, or cancelled if no state is stored and a dependency is cancelled.
    storage::TerminalState terminalStateOf(const std::string& job) const;
    /// Whether all dependencies of the job are stored as done.
    bool dependenciesDone(const std::string& job) const;
    const tests::Store& contents() const { return store_; }
    /// A key whose condition did not hold in a leader's last transaction; empty if all held.
    const std::string& lastFailedKey() const { return lastFailedKey_; }

  private:
    storage::TransactionResult apply(const coordination::WriteState& action);
    void commitSlowly(const coordination::WriteState& action, const Requester& requester);

    Environment& environment_;
    tests::Store store_;
    Time outageUntil_{};
    Seconds latency_{0};
    std::optional<tests::StubLimits> loweredLimits_;
    Time nextRefill_{};  // when the lowered limit of writes is renewed
    std::string lastFailedKey_;
};

}  // namespace burlpoint::simulation
