#pragma once

// Workers' leases as the leader counts them. A worker stops its tasks when no heartbeat of it was answered
// for the time of its lease; the leader may only start them elsewhere once that time is over by its own
// count. This module owns the rules; the end of each lease, `leaseUntil`, is in the fleet. Part of a leader,
// on its thread.

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
        mustExpire  // the heartbeat must not be answered, so that the lease comes to its end
    };

    /// `settings` must outlive this. `fencingToken` and `began` are the leadership's.
    WorkerLeases(const protocol::Settings& settings, std::uint64_t fencingToken, Time began);

    /// How long a worker's lease may last, counted from the receipt of the heartbeat that renewed it.
    static Clock::duration bound(const protocol::Settings& settings);

    /// A machine that an earlier leader may have answered at any time before `now`.
    void inherit(bookkeeping::Machine& machine, Time now) const;

    /// Renews the lease for a heartbeat received at `now`, which is the machine's newest. It is not renewed
    /// without end while the worker shows an older fencing token, that is, while no answer reaches it.
    Renewal renew(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat, Time now) const;

    /// An answer to a heartbeat that is not the newest. It was sent before the newest message arrived, so the
    /// lease is extended as if it had come then.
    void extendForStaleHeartbeat(bookkeeping::Machine& machine) const;

  private:
    const protocol::Settings& settings_;
    const std::uint64_t fencingToken_;
    const Time began_;
};

}  // namespace burlpoint::coordination
