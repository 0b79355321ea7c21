#include "coordination/autoscaling/task_concurrency.h"

#include <algorithm>
#include <cmath>

namespace burlpoint::coordination {

using bookkeeping::Job;
using protocol::JobKind;
using protocol::Policy;

namespace {

// Share of the time left until a deadline that is planned for running tasks. The rest is a reserve for
// booting machines, fetching images and tasks that run longer than estimated.
constexpr double kPlannedShareOfTimeLeft = 0.5;

/// The time within which the array's backlog should be finished.
Seconds completionTarget(const Job& job, const Policy& policy, const DueTime& dueTime, Time now) {
    const auto& spec = job.spec;
    if (spec.deadline && spec.dependencies.empty()) {
        const Seconds waited = now - job.run->waitingSince;
        return std::max(*spec.deadline * kPlannedShareOfTimeLeft - waited, spec.estimatedRunTime);
    }
    if (!job.dueAtMs) return policy.backlogHorizon;
    // The job is part of a pipeline, so its target is a share of the time left until the pipeline's deadline.
    const Seconds left = dueTime(job) - now;
    return std::max(std::min(policy.backlogHorizon, left * kPlannedShareOfTimeLeft), spec.estimatedRunTime);
}

}  // namespace

std::uint32_t targetConcurrency(const Job& job, std::uint32_t tasks, const Policy& policy,
                                const DueTime& dueTime, Time now) {
    const auto& spec = job.spec;
    if (spec.kind != JobKind::array || spec.estimatedRunTime <= Seconds(0)) return tasks;
    const Seconds target = completionTarget(job, policy, dueTime, now);
    const double rounds = std::max(1.0, target / spec.estimatedRunTime);
    return static_cast<std::uint32_t>(std::ceil(tasks / rounds));
}

}  // namespace burlpoint::coordination
