#pragma once

// The commands that go into the response to a heartbeat: stops and acknowledgements first, then starts where
// the machine may take them. Owns nothing: what starts is the scheduler's decision. Part of a leader, on its
// thread.

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
    /// All are kept by reference and have to outlive this.
    HeartbeatCommands(bookkeeping::StateReplica& replica, SchedulingInputs& inputs,
                      DegradedFirstScheduler& scheduler);

    /// The commands for the machine, which the event's heartbeat has been applied to.
    std::vector<protocol::WorkerCommand> compose(bookkeeping::Machine& machine,
                                                 const HeartbeatReceived& event, Time now);

  private:
    bookkeeping::StateReplica& replica_;
    SchedulingInputs& inputs_;
    DegradedFirstScheduler& scheduler_;
};

}  // namespace burlpoint::coordination
