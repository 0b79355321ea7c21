#pragma once

// Writes the state of a leader to the debug log: machines, waiting jobs and capacity errors. Stateless.

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "coordination/autoscaling/capacity_errors.h"
#include "coordination/scheduling/job_queue.h"

namespace burlpoint::coordination {

/// Logs one line for each machine, each waiting job and each offering with an active capacity error.
void logLeaderState(const bookkeeping::Fleet& fleet, const JobQueue& jobQueue,
                    const CapacityErrors& capacityErrors, Time now);

}  // namespace burlpoint::coordination
