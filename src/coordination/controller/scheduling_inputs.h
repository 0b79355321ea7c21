#pragma once

// Refreshes the derived inputs of the scheduling modules: the order of the waiting jobs, and the counts over
// all machines that control the pacing of image fetches and the reservation of accelerators. Counting over
// the fleet is too expensive for every heartbeat, so this module owns the time of the next count. Part of a
// leader, used on its thread.

#include "base/clock.h"
#include "base/wall_clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "coordination/scheduling/accelerator_policy.h"
#include "coordination/scheduling/fetch_pacing.h"
#include "coordination/scheduling/job_queue.h"

namespace burlpoint::coordination {

/// The sources of the inputs, and the modules that hold the results.
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
    /// All objects that the context refers to must outlive this object.
    explicit SchedulingInputs(const SchedulingInputsContext& context);

    /// Refreshes the job queue if it is stale, and then the counts over the fleet if they are due.
    void refresh(Time now);

  private:
    void refreshJobQueue(Time now);
    void refreshFleetCounts(Time now);

    const SchedulingInputsContext context_;
    Time nextFleetCounts_{};
};

}  // namespace burlpoint::coordination
