#pragma once

// Begins the run of a job: from then on this leader places its tasks. The runs themselves are owned by the
// jobs.

#include "bookkeeping/job.h"
#include "coordination/day_clock.h"
#include "coordination/job_order.h"
#include "coordination/state_writer.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

class JobRuns {
  public:
    /// All are kept by reference and have to outlive this.
    JobRuns(const protocol::Settings& settings, const DayClock& dayClock, JobOrder& order,
            StateWriter& writer);

    /// Begins the run of a job that has none. `inherited`: it was accepted, and may have been started, before
    /// this leader began.
    void begin(bookkeeping::Job& job, bool inherited, transport::Time now);

  private:
    const protocol::Settings& settings_;
    const DayClock& dayClock_;
    JobOrder& order_;
    StateWriter& writer_;
};

}  // namespace burlpoint::coordination
