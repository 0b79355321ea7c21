#pragma once

// Begins the run of a job, after which this leader places the job's tasks. Owns no state; each job owns its
// run. Used on the leader's thread.

#include "base/clock.h"
#include "base/wall_clock.h"
#include "bookkeeping/job.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/state/state_writer.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

class JobActivator {
  public:
    /// Keeps references to all arguments, which must outlive this object.
    JobActivator(const protocol::Settings& settings, const WallClock& wallClock, JobQueue& jobQueue,
                 StateWriter& writer);

    /// Begins the run of a job that has none and adds the job to the queue.
    void begin(bookkeeping::Job& job, bookkeeping::JobOrigin origin, Time now);

  private:
    const protocol::Settings& settings_;
    const WallClock& wallClock_;
    JobQueue& jobQueue_;
    StateWriter& writer_;
};

}  // namespace burlpoint::coordination
