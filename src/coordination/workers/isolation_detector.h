#pragma once

// Decides whether a leader is cut off from the workers. If no machine sends heartbeats, a fault of this
// controller's network is more likely than a failure of all machines at once, so another controller should
// lead. Owns the record of whether and when any worker last reached this leader. Used on the thread that owns
// the leader.

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace burlpoint::coordination {

/// Whether this controller is cut off from the workers.
enum class Isolation {
    none,
    lostWorkers,  // all machines are suspected, and another controller may reach them
    neverReached  // it kept leading without workers, and still no worker has reached it
};

class IsolationDetector {
  public:
    struct Config {
        std::size_t controllers;           // in the cluster, this one included
        std::uint64_t fencingToken;        // of the leadership
        Time leadershipStart;              // when the leadership began
        Clock::duration maxLeaseDuration;  // the longest time that a worker's lease can last
        Clock::duration suspicionTimeout;
    };

    explicit IsolationDetector(const Config& config);

    /// Records the arrival of a heartbeat that is newer than all previous ones of the same worker.
    void recordHeartbeat(Time now);
    /// Records that this controller was suspended until `now` and could not receive heartbeats.
    void recordSuspension(Time now);

    /// Evaluates the isolation of this controller from the numbers of machines `alive` and `suspected` at
    /// `now`.
    Isolation evaluate(std::size_t alive, std::size_t suspected, Time now);

  private:
    bool allWorkersSilent(std::size_t alive, std::size_t suspected, Time now) const;
    bool mayLeadWithoutWorkers() const;

    const Config config_;
    Time lastHeartbeat_;              // of any worker, or the end of this controller's suspension
    bool heartbeatReceived_ = false;  // a worker has reached this leader
    bool leadsWithoutWorkers_ = false;
};

}  // namespace burlpoint::coordination
