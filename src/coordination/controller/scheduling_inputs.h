#pragma once

// Brings up to date what the scheduling modules read beside the fleet: the order of the waiting jobs, and the
// counts over all machines by which fetches are paced and accelerators are kept. Counting over the fleet is
// too expensive for every heartbeat, so this module owns when it is next due. Part of a leader, on its
// thread.

#include "base/clock.h"
#include "base/wall_clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "coordination/scheduling/accelerator_policy.h"
#include "coordination/scheduling/fetch_pacing.h"
#include "coordination/scheduling/job_queue.h"

namespace burlpoint::coordination {

/// What the inputs are computed from, and the modules that hold them.
struct SchedulingInputsContext {
    bookkeeping::StateReplica& replica;
    bookkeeping::Fleet& fleet;
    const WallClock& wallClock;
    JobQueue& jobQueue;
    FetchPacing& pacing;
    AcceleratorPolicy& accelerators;
};

class SchedulingInputs {
  public:
    /// All that the context refers to has to outlive this.
    explicit SchedulingInputs(const SchedulingInputsContext& context);

    /// Refreshes the job queue if it is stale, then the counts over the fleet if they are due.
    void refresh(Time now);

  private:
    void refreshJobQueue(Time now);
    void refreshFleetCounts(Time now);

    const SchedulingInputsContext context_;
    Time nextFleetCounts_{};
};

}  // namespace burlpoint::coordination
