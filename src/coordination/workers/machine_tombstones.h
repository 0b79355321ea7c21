#pragma once

// Machines that have left the fleet. Late copies of their messages may still arrive, and the cloud may list
// them for a while, so this module owns what was the newest message of each.

#include <map>
#include <string>

#include "bookkeeping/fleet.h"

namespace burlpoint::coordination {

class MachineTombstones {
  public:
    /// The machine leaves the fleet.
    void note(const bookkeeping::Machine& machine);
    /// The cloud has deleted the machine: whatever still comes of it is late.
    void noteDeleted(const std::string& id);

    /// Has the machine left the fleet at some time? It may be back since.
    bool contains(const std::string& id) const { return newest_.contains(id); }
    bool isDeleted(const std::string& id) const;
    /// Is the heartbeat no newer than the newest message of a machine that has left?
    bool isLateCopy(const protocol::Heartbeat& heartbeat) const;
    /// Takes over the counters of its time before into a machine that is back in the fleet: what is not newer
    /// stays old.
    void restoreCounters(bookkeeping::Machine& machine) const;

  private:
    std::map<std::string, bookkeeping::HeartbeatVersion> newest_;
};

}  // namespace burlpoint::coordination
