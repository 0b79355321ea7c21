#pragma once

// Messages that the leader sends to workers by itself, beside the responses to their heartbeats: probes, and
// stops that cannot wait for the next heartbeat. Owns nothing: what is to stop is in the fleet, and whether a
// probe is under way is in each machine. Part of a leader, on its thread.

#include <vector>

#include "bookkeeping/fleet.h"
#include "coordination/controller/leader_actions.h"
#include "coordination/scheduling/task_terminator.h"

namespace burlpoint::coordination {

class DirectCommands {
  public:
    /// All are kept by reference and have to outlive this; what is to be sent is appended to `actions`.
    DirectCommands(bookkeeping::Fleet& fleet, TaskTerminator& terminator, std::vector<Action>& actions);

    /// Sends the machine a direct message, which carries the fencing token. Its answer is newer than every
    /// message so far. Does nothing while a probe is under way, or if the address is not known.
    void probe(bookkeeping::Machine& machine);

    /// Sends the stops that the terminator has marked as urgent since the last call.
    void sendUrgentStops();

  private:
    void send(const bookkeeping::Machine& machine);

    bookkeeping::Fleet& fleet_;
    TaskTerminator& terminator_;
    std::vector<Action>& actions_;
};

}  // namespace burlpoint::coordination
