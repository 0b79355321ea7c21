#pragma once

// The whole state of a leader as debug log lines: machines, waiting jobs and capacity errors. Owns nothing.

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "coordination/autoscaling/capacity_errors.h"
#include "coordination/scheduling/job_queue.h"

namespace burlpoint::coordination {

/// Logs one line for each machine, each waiting job and each offering that the cloud refused lately.
void logLeaderState(const bookkeeping::Fleet& fleet, const JobQueue& jobQueue,
                    const CapacityErrors& capacityErrors, Time now);

}  // namespace burlpoint::coordination
