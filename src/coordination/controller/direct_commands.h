#pragma once

// Messages that the leader sends to workers on its own initiative, in addition to heartbeat responses:
// probes, and stop commands that cannot wait for the next heartbeat. Owns no state: the fleet holds the
// placements to stop and whether a probe of a machine is pending. Part of a leader, used on its thread.

#include <vector>

#include "bookkeeping/fleet.h"
#include "coordination/controller/leader_actions.h"
#include "coordination/scheduling/task_terminator.h"

namespace burlpoint::coordination {

class DirectCommands {
  public:
    /// All arguments are kept by reference and must outlive this object. Messages to send are appended to
    /// `actions`.
    DirectCommands(bookkeeping::Fleet& fleet, TaskTerminator& terminator, std::vector<Action>& actions);

    /// Sends the machine's worker a direct message that carries the fencing token. The worker's response is
    /// newer than all messages received from it so far. Does nothing while a probe is pending, or if the
    /// machine's address is not known.
    void probe(bookkeeping::Machine& machine);

    /// Sends the stop commands that the terminator has marked as urgent since the last call.
    void sendUrgentStops();

  private:
    void send(const bookkeeping::Machine& machine);

    bookkeeping::Fleet& fleet_;
    TaskTerminator& terminator_;
    std::vector<Action>& actions_;
};

}  // namespace burlpoint::coordination
