#pragma once

// Composes the commands in the response to a heartbeat: stops and acknowledgements first, then starts if the
// machine may run new tasks. Owns no state: the scheduler decides which tasks start. Part of a leader, used
// on its thread.

#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "coordination/controller/leader_events.h"
#include "coordination/controller/scheduling_inputs.h"
#include "coordination/scheduling/degraded_first_scheduler.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

class HeartbeatCommands {
  public:
    /// All arguments are kept by reference and must outlive this object.
    HeartbeatCommands(bookkeeping::StateReplica& replica, SchedulingInputs& inputs,
                      DegradedFirstScheduler& scheduler);

    /// Returns the commands for the machine. The event's heartbeat must have been applied to the machine.
    std::vector<protocol::WorkerCommand> compose(bookkeeping::Machine& machine,
                                                 const HeartbeatReceived& event, Time now);

  private:
    bookkeeping::StateReplica& replica_;
    SchedulingInputs& inputs_;
    DegradedFirstScheduler& scheduler_;
};

}  // namespace burlpoint::coordination
