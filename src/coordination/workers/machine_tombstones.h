#pragma once

// Tombstones of machines that have left the fleet. Late copies of their heartbeats may still arrive, and the
// cloud may list them for a while. Owns the newest heartbeat version seen of each such machine, until the
// leadership ends. Used on the thread that owns the leader.

#include <map>
#include <string>

#include "bookkeeping/fleet.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

class MachineTombstones {
  public:
    /// The machine leaves the fleet.
    void add(const bookkeeping::Machine& machine);
    /// The cloud has confirmed the machine's deletion, so every further heartbeat of it is a late copy.
    void addDeleted(const std::string& id);

    /// Has the machine ever left the fleet? It may have returned since.
    bool contains(const std::string& id) const { return newest_.contains(id); }
    bool isDeleted(const std::string& id) const;
    /// Is the heartbeat no newer than the newest one of a machine that has left?
    bool isLateCopy(const protocol::Heartbeat& heartbeat) const;
    /// Sets the version counters of a machine that has returned to the fleet, so that heartbeats from before
    /// it left are still recognised as old.
    void restoreCounters(bookkeeping::Machine& machine) const;

  private:
    std::map<std::string, bookkeeping::HeartbeatVersion> newest_;
};

}  // namespace burlpoint::coordination
