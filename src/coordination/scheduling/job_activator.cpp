#include "coordination/scheduling/job_activator.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>

namespace burlpoint::coordination {

using bookkeeping::Job;
using protocol::Settings;

namespace {

/// The shortest time within which users want tasks of the class to start, if they said so.
std::optional<Seconds> shortestWaitAim(const Settings& settings, const std::string& jobClass) {
    std::optional<Seconds> shortest;
    for (const auto& objective : settings.objectives)
        if (objective.kind == "wait" && objective.jobClass == jobClass)
            shortest = std::min(shortest.value_or(objective.within), objective.within);
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
    run.shortestWaitObjective = shortestWaitAim(settings_, job.spec.jobClass);
    run.readyAt = std::min(now, wallClock_.steadyAt(job.readyMs));
    spdlog::debug("job {} {} of {} tasks, ready for {:.3f} s", job.spec.id, job.spec.jobClass, job.spec.tasks,
                  Seconds(now - run.readyAt).count());
    // An earlier leader may have stored the last bits and not the end of the job.
    if (job.doneCount == job.spec.tasks) writer_.noteUnstored(job);
    jobQueue_.add(job);
}

}  // namespace burlpoint::coordination
