#pragma once

// The leader's view of worker leases. A worker stops its tasks when none of its heartbeats was answered for
// the duration of its lease; the leader may start them elsewhere only once the lease has expired by the
// leader's own clock. This module owns the rules; the expiry time of each lease, `Machine::lease.until`, is
// in the fleet. Part of a leader, used on its thread.

#include <cstdint>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "protocol/settings.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

class WorkerLeases {
  public:
    enum class Renewal {
        renewed,
        mustExpire  // the heartbeat must be refused, so that the lease expires
    };

    /// `settings` must outlive this object. `fencingToken` and `leadershipStart` are those of the leadership.
    WorkerLeases(const protocol::Settings& settings, std::uint64_t fencingToken, Time leadershipStart);

    /// The maximum duration of a worker's lease, counted from the receipt of the heartbeat that renewed it.
    static Clock::duration maxDuration(const protocol::Settings& settings);

    /// Sets the lease of a machine whose last heartbeat an earlier leader may have answered at any time up to
    /// `now`.
    void inherit(bookkeeping::Machine& machine, Time now) const;

    /// Renews the lease for a heartbeat received at `now`, which must be the machine's newest. The number of
    /// renewals is limited while the worker shows an older fencing token, that is, while no response reaches
    /// it.
    Renewal renew(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat, Time now) const;

    /// Extends the lease for the response to a heartbeat that is not the machine's newest message. The
    /// heartbeat was sent before the newest message arrived, so it is treated as received at that time.
    void extendForStaleHeartbeat(bookkeeping::Machine& machine) const;

  private:
    const protocol::Settings& settings_;
    const std::uint64_t fencingToken_;
    const Time leadershipStart_;
};

}  // namespace burlpoint::coordination
