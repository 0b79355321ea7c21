#pragma once

// Takes changes of stored jobs into the leader's work: begins the runs of jobs that became ready, and stops
// those that ended or were cancelled. Owns nothing: the jobs and their runs are in the replica. Part of a
// leader, on its thread.

#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/state_replica.h"
#include "coordination/scheduling/job_activator.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/scheduling/task_terminator.h"
#include "coordination/state/state_writer.h"

namespace burlpoint::coordination {

class JobChanges {
  public:
    /// All are kept by reference and have to outlive this.
    JobChanges(bookkeeping::StateReplica& replica, JobQueue& jobQueue, JobActivator& activator,
               StateWriter& writer, TaskTerminator& terminator);

    /// Begins the runs of all jobs that were ready before this leader began, in place of any earlier
    /// leader's.
    void inheritAll(Time now);

    /// The jobs' stored records have changed. Ids that the replica does not know are skipped.
    void apply(const std::vector<std::string>& ids, Time now);
    void apply(const std::vector<bookkeeping::Change>& changes, Time now);

  private:
    void apply(bookkeeping::Job& job, Time now);

    bookkeeping::StateReplica& replica_;
    JobQueue& jobQueue_;
    JobActivator& activator_;
    StateWriter& writer_;
    TaskTerminator& terminator_;
};

}  // namespace burlpoint::coordination
