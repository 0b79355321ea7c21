#pragma once

// The key-value store of a simulated cluster, with its faults: outages, slow answers, transactions that are
// carried out late, and lower limits from some moment on.

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

    /// Refuses everybody for this time.
    void beginOutage(Seconds time) { outageUntil_ = environment_.now() + toClockDuration(time); }
    bool isOut() const { return environment_.now() < outageUntil_; }
    /// Each way of a transaction takes up to this long; a leader waits 1.5 s for the answer.
    void setLatency(Seconds latency) { latency_ = latency; }
    Seconds latency() const { return latency_; }
    /// From then on the store takes no more than this; `limits.changes` are those of a second.
    void lowerLimits(Seconds after, tests::StubLimits limits);
    /// Counts changes anew each second once the limits are lowered. Called at each step of time.
    void step();

    /// A transaction of a leader, with all that can go wrong.
    void commit(const coordination::WriteState& action, const Requester& requester);
    /// A transaction of a user, which nothing delays. Does nothing if a condition fails.
    void commitAtOnce(const std::vector<protocol::KeyCondition>& conditions,
                      const std::vector<protocol::KeyWrite>& writes);
    /// Applies what was written since `position` to the replica, and moves `position` to the end.
    std::vector<bookkeeping::Change> readChanges(bookkeeping::StateReplica& replica,
                                                 std::size_t& position) const;

    std::uint64_t fencingToken() const;
    storage::JobRecord recordOf(const std::string& job) const;
    /// As stored, or cancelled with a job that it needs.
    storage::TerminalState terminalStateOf(const std::string& job) const;
    /// All jobs that it needs are stored as done.
    bool dependenciesDone(const std::string& job) const;
    const tests::Store& contents() const { return store_; }
    /// A key whose condition failed in the last transaction of a leader; empty if none did.
    const std::string& lastFailedKey() const { return lastFailedKey_; }

  private:
    storage::TransactionResult apply(const coordination::WriteState& action);
    void commitSlowly(const coordination::WriteState& action, const Requester& requester);

    Environment& environment_;
    tests::Store store_;
    Time outageUntil_{};
    Seconds latency_{0};
    std::optional<tests::StubLimits> loweredLimits_;
    Time nextRefill_{};  // of the changes that the lowered limits allow in a second
    std::string lastFailedKey_;
};

}  // namespace burlpoint::simulation
