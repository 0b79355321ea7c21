#pragma once

// Chooses which tasks on one machine would be preempted so that a job gets capacity there. Pure functions;
// they own and change nothing.

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
    std::uint32_t tasks = 1;  // of the job, that get capacity
};

/// May the job preempt the placement's task? Never replicas of services nor tasks of larger gangs. Otherwise
/// jobs preempt tasks of lower priority, and a job within its team's guaranteed quota also preempts what
/// another team has beyond its own.
bool mayPreempt(const bookkeeping::Placement& placement, const bookkeeping::Job& job,
                const bookkeeping::Fleet& fleet, const protocol::Settings& settings, Time now);

/// The plan that gives this many tasks of the job capacity on the machine, with the victims that lose least.
/// None if the machine can't have capacity for so many.
std::optional<PreemptionPlan> planPreemption(bookkeeping::Machine& machine, const bookkeeping::Job& job,
                                             std::uint32_t tasks, const bookkeeping::Fleet& fleet,
                                             const protocol::Settings& settings, Time now);

}  // namespace burlpoint::coordination
