#pragma once

// What follows when an attempt is no longer on a machine: for its job, its gang and the machine's record of
// failures. Owns nothing.

#include <functional>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "coordination/scheduling/gang_planner.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/scheduling/task_terminator.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

class AttemptCompletion {
  public:
    /// All are kept by reference and have to outlive this.
    AttemptCompletion(bookkeeping::Fleet& fleet, const GangPlanner& gangs, JobQueue& jobQueue,
                      TaskTerminator& terminator);

    /// Takes the placement off the machine for that reason.
    void end(bookkeeping::Machine& machine, const bookkeeping::AttemptKey& key, protocol::ExitReason why,
             Time now);

    /// Takes the placements that `isGone` names off the machine, in their order and without a reason. Others
    /// may go with them, as gangs end as a whole.
    void endIf(bookkeeping::Machine& machine,
               const std::function<bool(const bookkeeping::Placement&)>& isGone, Time now);

    /// Nothing that was sent to the machine so far is on it any more, as its lease is over or it was deleted.
    void endAll(bookkeeping::Machine& machine, Time now);

  private:
    void ended(bookkeeping::Machine& machine, const bookkeeping::Placement& placement,
               protocol::ExitReason why, Time now);
    static void noteReason(bookkeeping::Machine& machine, bookkeeping::Job& job, protocol::ExitReason why,
                           Time now);
    static void noteFailure(bookkeeping::Machine& machine, bookkeeping::Job& job, Time now);
    void noteGangTaskGone(bookkeeping::Machine& machine, const bookkeeping::Placement& placement,
                          protocol::ExitReason why, Time now);

    bookkeeping::Fleet& fleet_;
    const GangPlanner& gangPlanner_;
    JobQueue& jobQueue_;
    TaskTerminator& terminator_;
};

}  // namespace burlpoint::coordination
