#pragma once

// Applies changes of stored jobs: begins the runs of jobs that have become ready, and stops jobs that have
// ended or were cancelled. Owns no state: the replica owns the jobs and their runs. Part of a leader, used on
// its thread.

#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/state_replica.h"
#include "coordination/scheduling/job_activator.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/scheduling/task_terminator.h"
#include "coordination/state/state_writer.h"

namespace burlpoint::coordination {

class JobChangeHandler {
  public:
    /// All arguments are kept by reference and must outlive this object.
    JobChangeHandler(bookkeeping::StateReplica& replica, JobQueue& jobQueue, JobActivator& activator,
                     StateWriter& writer, TaskTerminator& terminator);

    /// Begins the runs of all jobs that were ready before this leadership began. Runs of an earlier
    /// leadership are discarded.
    void inheritAll(Time now);

    /// Applies changed records of jobs. Ids that the replica does not contain are skipped.
    void apply(const std::vector<std::string>& ids, Time now);
    void apply(const std::vector<bookkeeping::ReplicaChange>& changes, Time now);

  private:
    void apply(bookkeeping::Job& job, Time now);

    bookkeeping::StateReplica& replica_;
    JobQueue& jobQueue_;
    JobActivator& activator_;
    StateWriter& writer_;
    TaskTerminator& terminator_;
};

}  // namespace burlpoint::coordination
