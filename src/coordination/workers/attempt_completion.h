#pragma once

// What follows when an attempt is no longer on a machine: for its job, for its gang and for the machine's
// record of failures. Owns nothing: placements are in the fleet, runs belong to their jobs. Used on the
// thread that owns the leader.

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
    /// All are kept by reference and have to outlive this.
    AttemptCompletion(bookkeeping::Fleet& fleet, const GangPlanner& gangPlanner, JobQueue& jobQueue,
                      TaskTerminator& terminator);

    /// Removes a placement that is on the machine; the attempt ended for that reason.
    void end(bookkeeping::Machine& machine, const bookkeeping::AttemptKey& key, protocol::ExitReason reason,
             Time now);

    /// Removes the placements for which `isGone` holds, in the order of their keys and without a reason.
    /// Others may be removed with them, as gangs end as a whole.
    void endIf(bookkeeping::Machine& machine,
               const std::function<bool(const bookkeeping::Placement&)>& isGone, Time now);

    /// Removes all placements, and the machine counts as reconciled: its lease has expired or it was deleted,
    /// so nothing that was sent to it so far is on it any more.
    void endAll(bookkeeping::Machine& machine, Time now);

  private:
    void noteEnded(bookkeeping::Machine& machine, const bookkeeping::Placement& placement,
                   protocol::ExitReason reason, Time now);
    static void noteReason(bookkeeping::Machine& machine, bookkeeping::Job& job, protocol::ExitReason reason,
                           Time now);
    static void noteFailure(bookkeeping::Machine& machine, bookkeeping::Job& job, Time now);
    static void updateWaiting(const bookkeeping::Placement& placement, protocol::ExitReason reason, Time now);
    void noteGangTaskEnded(bookkeeping::Machine& machine, const bookkeeping::Placement& placement,
                           protocol::ExitReason reason, Time now);

    bookkeeping::Fleet& fleet_;
    const GangPlanner& gangPlanner_;
    JobQueue& jobQueue_;
    TaskTerminator& terminator_;
};

}  // namespace burlpoint::coordination
