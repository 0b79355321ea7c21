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

    /// Sends the machine's worker a direct message that carries the fencing token and the pending stop
    /// commands, if any. The worker's response is newer than all messages received from it so far. Does
    /// nothing while a probe is pending, or if the machine's address is not known.
    void probe(bookkeeping::Machine& machine);

    /// Sends all pending stop commands of each machine for which the terminator has requested new stops since
    /// the last call and which has had no heartbeat answered since. Skips machines whose worker has not yet
    /// acknowledged the fencing token, or whose address is not known.
    void sendUrgentStops();

  private:
    void send(const bookkeeping::Machine& machine);

    bookkeeping::Fleet& fleet_;
    TaskTerminator& terminator_;
    std::vector<Action>& actions_;
};

}  // namespace burlpoint::coordination
