#include "coordination/autoscaling/team_quota.h"

#include <algorithm>
#include <limits>

namespace burlpoint::coordination {

namespace {

/// How many tasks that each use `perTask` of a resource fit into the unused part of a quota. A quota of 0 is
/// unlimited.
std::uint32_t tasksWithin(double quota, double used, double perTask) {
    if (quota <= 0 || perTask <= 0) return std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::max(0.0, (quota - used) / perTask));
}

}  // namespace

std::uint32_t TeamQuota::admit(const protocol::JobSpec& spec, std::uint32_t tasks) {
    const auto* team = settings_.team(spec.team);
    if (!team) return tasks;
    const auto used = fleet_.teamUse(spec.team);
    auto& planned = planned_[spec.team];
    tasks = std::min(tasks, tasksWithin(team->maxCpus, used.cpus + planned.cpus, spec.cpus));
    tasks = std::min(tasks, tasksWithin(team->maxGpus, used.gpus + planned.gpus, spec.gpus));
    planned += {spec.cpus * tasks, spec.gpus * tasks, 0};
    return tasks;
}

}  // namespace burlpoint::coordination
