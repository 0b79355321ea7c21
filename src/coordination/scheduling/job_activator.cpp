#include "coordination/scheduling/job_activator.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <string_view>

namespace burlpoint::coordination {

using bookkeeping::Job;
using protocol::Settings;

namespace {

// The kind of objective that bounds the time until a task starts, as written in the settings.
constexpr std::string_view kWaitObjective = "wait";

/// The shortest time within which tasks of the class should start by the service-level objectives, or nullopt
/// if no wait objective applies to the class.
std::optional<Seconds> shortestWaitObjective(const Settings& settings, const std::string& jobClass) {
    std::optional<Seconds> shortest;
    for (const auto& objective : settings.objectives) {
        if (objective.kind != kWaitObjective || objective.jobClass != jobClass) continue;
        shortest = std::min(shortest.value_or(objective.timeLimit), objective.timeLimit);
    }
    return shortest;
}

}  // namespace

JobActivator::JobActivator(const Settings& settings, const WallClock& wallClock, JobQueue& jobQueue,
                           StateWriter& writer)
    : settings_(settings), wallClock_(wallClock), jobQueue_(jobQueue), writer_(writer) {}

void JobActivator::begin(Job& job, bookkeeping::JobOrigin origin, Time now) {
    job.beginRun(origin, now);
    auto& run = *job.run;
    run.team = settings_.team(job.spec.team);
    run.shortestWaitObjective = shortestWaitObjective(settings_, job.spec.jobClass);
    run.readyAt = std::min(now, wallClock_.steadyAt(job.readyMs));
    spdlog::debug("job run began job={} class={} tasks={} ready_for_s={:.3f}", job.spec.id, job.spec.jobClass,
                  job.spec.tasks, Seconds(now - run.readyAt).count());
    // An earlier leader may have stored the last finished tasks but not the job's terminal state.
    if (job.doneCount == job.spec.tasks) writer_.markUnstored(job);
    jobQueue_.add(job);
}

}  // namespace burlpoint::coordination
