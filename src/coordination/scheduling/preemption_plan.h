#pragma once

// What would have to be stopped on one machine so that a job finds room there. These functions own and change
// nothing.

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// Tasks on a machine that would be stopped to make room for another job's.
struct PreemptionPlan {
    bookkeeping::Machine* machine = nullptr;
    std::vector<bookkeeping::Placement*> victims;
    double loss = 0;          // processor seconds, by estimate; comparable only among plans for one job
    std::uint32_t tasks = 1;  // that the room is for
};

/// Does the task have to yield to the job? Replicas and tasks of larger gangs never do. Lower priorities
/// yield to higher ones, and what a team has beyond its guarantee to another team's guaranteed work.
bool mayPreempt(const bookkeeping::Placement& placement, const bookkeeping::Job& job,
                const bookkeeping::Fleet& fleet, const protocol::Settings& settings, Time now);

/// What would have to stop on the machine, losing least, for `tasks` tasks of the job; none: there can't be
/// room for so many.
std::optional<PreemptionPlan> planPreemption(bookkeeping::Machine& machine, const bookkeeping::Job& job,
                                             std::uint32_t tasks, const bookkeeping::Fleet& fleet,
                                             const protocol::Settings& settings, Time now);

}  // namespace burlpoint::coordination
