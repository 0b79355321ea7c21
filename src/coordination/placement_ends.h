#pragma once

// What follows when an attempt is no longer on a machine: for its job, its gang and the machine's record of
// failures. Owns nothing.

#include <functional>

#include "bookkeeping/fleet.h"
#include "coordination/gang_planner.h"
#include "coordination/job_order.h"
#include "coordination/task_stopper.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

class PlacementEnds {
  public:
    /// All are kept by reference and have to outlive this.
    PlacementEnds(bookkeeping::Fleet& fleet, const GangPlanner& gangs, JobOrder& order, TaskStopper& stopper);

    /// Takes the placement off the machine for that reason.
    void end(bookkeeping::Machine& machine, const bookkeeping::AttemptKey& key, protocol::ExitReason why,
             transport::Time now);

    /// Takes the placements that `isGone` names off the machine, in their order and without a reason. Others
    /// may go with them, as gangs end as a whole.
    void endIf(bookkeeping::Machine& machine,
               const std::function<bool(const bookkeeping::Placement&)>& isGone, transport::Time now);

    /// Nothing that was sent to the machine so far is on it any more, as its lease is over or it was deleted.
    void endAll(bookkeeping::Machine& machine, transport::Time now);

  private:
    void ended(bookkeeping::Machine& machine, const bookkeeping::Placement& placement,
               protocol::ExitReason why, transport::Time now);
    static void noteReason(bookkeeping::Machine& machine, bookkeeping::Job& job, protocol::ExitReason why,
                           transport::Time now);
    static void noteFailure(bookkeeping::Machine& machine, bookkeeping::Job& job, transport::Time now);
    void noteGangTaskGone(bookkeeping::Machine& machine, const bookkeeping::Placement& placement,
                          protocol::ExitReason why, transport::Time now);

    bookkeeping::Fleet& fleet_;
    const GangPlanner& gangs_;
    JobOrder& order_;
    TaskStopper& stopper_;
};

}  // namespace burlpoint::coordination
