#pragma once

// Handles the end of task attempts: removes their placements and updates the job, its gang and the failure
// history of the machine. Owns no state: placements are in the fleet, and each run belongs to its job. Used
// on the thread that owns the leader.

#include <functional>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "coordination/scheduling/gang_planner.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/scheduling/task_terminator.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

class AttemptCompletion {
  public:
    /// All arguments are kept by reference and must outlive this object.
    AttemptCompletion(bookkeeping::Fleet& fleet, const GangPlanner& gangPlanner, JobQueue& jobQueue,
                      TaskTerminator& terminator);

    /// Removes the placement `key`, which must exist on the machine. `reason` is why the attempt ended.
    void end(bookkeeping::Machine& machine, const bookkeeping::AttemptKey& key, protocol::ExitReason reason,
             Time now);

    /// Removes the placements for which `isGone` returns true, in key order and with ExitReason::none.
    /// Further placements may be removed with them, since a gang ends as a whole.
    void endIf(bookkeeping::Machine& machine,
               const std::function<bool(const bookkeeping::Placement&)>& isGone, Time now);

    /// Removes all placements and marks the machine as reconciled. Called after its lease has expired or it
    /// was deleted, so that no task sent to it before can still run there.
    void endAll(bookkeeping::Machine& machine, Time now);

  private:
    void handleEnded(bookkeeping::Machine& machine, const bookkeeping::Placement& placement,
                     protocol::ExitReason reason, Time now);
    static void applyExitReason(bookkeeping::Machine& machine, bookkeeping::Job& job,
                                protocol::ExitReason reason, Time now);
    static void recordFailure(bookkeeping::Machine& machine, bookkeeping::Job& job, Time now);
    static void updateWaitingState(const bookkeeping::Placement& placement, protocol::ExitReason reason,
                                   Time now);
    void handleGangTaskEnded(bookkeeping::Machine& machine, const bookkeeping::Placement& placement,
                             protocol::ExitReason reason, Time now);

    bookkeeping::Fleet& fleet_;
    const GangPlanner& gangPlanner_;
    JobQueue& jobQueue_;
    TaskTerminator& terminator_;
};

}  // namespace burlpoint::coordination
