#pragma once

// Tombstones of machines that have left the fleet. Delayed or duplicated heartbeats of such machines may
// still arrive, and the cloud may list them for a while. Owns the newest heartbeat version received from each
// of them, until the leadership ends. Used on the thread that owns the leader.

#include <map>
#include <string>

#include "bookkeeping/fleet.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

class MachineTombstones {
  public:
    /// Records that the machine leaves the fleet.
    void add(const bookkeeping::Machine& machine);
    /// Records that the cloud has confirmed the machine's deletion, so every further heartbeat of it is
    /// stale.
    void addDeleted(const std::string& id);

    /// True if the machine has ever left the fleet. It may have returned since.
    bool contains(const std::string& id) const { return newestVersions_.contains(id); }
    bool isDeleted(const std::string& id) const;
    /// True if the heartbeat is from a machine that has left the fleet, and no newer than the newest
    /// heartbeat received before it left.
    bool isStale(const protocol::Heartbeat& heartbeat) const;
    /// Restores the version counters of a machine that has returned to the fleet, so that heartbeats from
    /// before it left are still recognised as stale.
    void restoreCounters(bookkeeping::Machine& machine) const;

  private:
    std::map<std::string, bookkeeping::HeartbeatVersion> newestVersions_;
};

}  // namespace burlpoint::coordination
