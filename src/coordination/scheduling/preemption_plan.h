#pragma once

// Selects the tasks to preempt on one machine so that a job gets capacity there. Pure functions without state
// or side effects.

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// The victims on one machine whose preemption gives tasks of a job capacity there.
struct PreemptionPlan {
    bookkeeping::Machine* machine = nullptr;
    std::vector<bookkeeping::Placement*> victims;
    double loss = 0;          // estimated, in processor seconds; comparable only among plans for one job
    std::uint32_t tasks = 1;  // number of the job's tasks that get capacity
};

/// True if the job may preempt the placement's task. Service replicas and tasks of gangs with several tasks
/// are never preempted. Other tasks may be preempted by jobs of higher priority. They may also be preempted
/// by a non-production job within its team's guaranteed quota, if their own job is outside the guaranteed
/// quota of another team, which uses more processors than that quota. Protected starts (see
/// `isProtectedStart`) yield to production jobs only.
bool mayPreempt(const bookkeeping::Placement& placement, const bookkeeping::Job& job,
                const bookkeeping::Fleet& fleet, const protocol::Settings& settings, Time now);

/// A plan that gives this many tasks of the job capacity on the machine, taking the victims with the smallest
/// loss first. Returns nullopt if preemption can't free enough capacity.
std::optional<PreemptionPlan> planPreemption(bookkeeping::Machine& machine, const bookkeeping::Job& job,
                                             std::uint32_t tasks, const bookkeeping::Fleet& fleet,
                                             const protocol::Settings& settings, Time now);

}  // namespace burlpoint::coordination
