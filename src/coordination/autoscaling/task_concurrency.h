#pragma once

// Computes how many of a job's waiting tasks should run at the same time, which determines how many machines
// are planned for its backlog. Pure functions; owns no state.

#include <cstdint>
#include <functional>

#include "base/clock.h"
#include "bookkeeping/job.h"
#include "protocol/policy.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// Returns the time by which a job has to be done so that its own deadline and those of its dependents can be
/// met. Called only for jobs with `dueAtMs`.
using DueTime = std::function<Time(const bookkeeping::Job&)>;

/// How many of `tasks` waiting tasks should run at the same time. For an array with an estimated run time,
/// whose tasks can run one after the other on a machine, as many as are needed to finish the backlog in time.
/// For other jobs all of them. The job must have a run.
std::uint32_t targetConcurrency(const bookkeeping::Job& job, std::uint32_t tasks,
                                const protocol::Policy& policy, const DueTime& dueTime, Time now);

}  // namespace burlpoint::coordination
