#pragma once

// Decides whether a leader is cut off from the workers: if no machine sends heartbeats any more, the cause is
// more likely this controller's network than a failure of all machines at once, and another controller should
// lead. Owns what the leader remembers of being reached by workers at all. Used on the thread that owns the
// leader.

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace burlpoint::coordination {

/// Whether this controller is cut off from the workers.
enum class Isolation {
    none,
    lostWorkers,  // all machines are suspected, and another controller may reach them
    neverReached  // it kept leading without workers, and no worker has reached it since
};

class IsolationDetector {
  public:
    struct Config {
        std::size_t controllers;     // in the cluster, this one included
        std::uint64_t fencingToken;  // of the leadership
        Time began;                  // when the leadership began
        Clock::duration leaseBound;  // the longest that a worker's lease may last
        Clock::duration suspicionTimeout;
    };

    explicit IsolationDetector(const Config& config);

    /// A heartbeat arrived that was newer than all before it from the same worker.
    void noteHeartbeat(Time now);
    /// This controller was suspended until now, so that it missed the heartbeats itself.
    void noteSuspension(Time now);

    /// `alive` and `suspected` are numbers of machines at this moment.
    Isolation evaluate(std::size_t alive, std::size_t suspected, Time now);

  private:
    bool isUnreached(std::size_t alive, std::size_t suspected, Time now) const;
    bool staysWithoutWorkers() const;

    const Config config_;
    Time lastHeartbeat_;         // of any worker, or the end of this controller's suspension
    bool anyHeartbeat_ = false;  // a worker has reached this leader
    bool leadsWithoutWorkers_ = false;
};

}  // namespace burlpoint::coordination
