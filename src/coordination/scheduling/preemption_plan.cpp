#include "coordination/scheduling/preemption_plan.h"

#include <algorithm>

#include "coordination/scheduling/placement_constraints.h"

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::Placement;
using bookkeeping::PlacementState;
using protocol::JobKind;
using protocol::Priority;
using protocol::Settings;

namespace {

// Losses per processor, in seconds of work that has to be repeated, or an equivalent weight.
constexpr double kAcceleratorTaskLoss = 1000;  // victim needs accelerators, job needs none
constexpr double kProtectedStartLoss = 1000;   // see isProtectedStart
constexpr double kRestartLoss = 5;  // restart of a task with checkpoints, in addition to its save time
// Each task counts as using at least this many processors, so that its run time always has some weight.
constexpr double kMinCpus = 0.1;
// Losses in processor seconds.
constexpr double kStopLoss = 1;    // for each victim, so that fewer victims are preferred
constexpr double kFetchLoss = 10;  // the machine lacks the job's image

struct Victim {
    double loss = 0;
    Placement* placement = nullptr;
};

/// The loss if the task is preempted for the job, in processor seconds.
double lossOf(const Placement& placement, const Job& job, Time now) {
    const auto& spec = placement.job->spec;
    const bool running = placement.state == PlacementState::running;
    double lost = running ? Seconds(now - placement.runningSince).count() : 0;
    if (spec.gpus > 0 && job.spec.gpus <= 0) lost += kAcceleratorTaskLoss;
    const bool hasCheckpoints = spec.checkpointInterval > Seconds(0);
    if (hasCheckpoints) lost = std::min(lost, spec.saveTime.count() + kRestartLoss);
    if (isProtectedStart(placement, now)) lost += kProtectedStartLoss;
    return lost * std::max(spec.cpus, kMinCpus) + kStopLoss;
}

/// True if the job is within its team's guaranteed quota and may reclaim capacity from the placement: its job
/// is outside the guaranteed quota of another team, which uses more processors than that quota.
bool reclaimsGuaranteedQuota(const Placement& placement, const Job& job, const Fleet& fleet,
                             const Settings& settings) {
    if (!job.run->guaranteed || job.priority() >= Priority::production) return false;
    const auto& victim = *placement.job;
    if (victim.spec.team == job.spec.team || victim.run->guaranteed) return false;
    const auto* team = settings.team(victim.spec.team);
    return team && fleet.teamUse(victim.spec.team).cpus > team->guaranteedCpus;
}

std::vector<Victim> victimsOn(Machine& machine, const Job& job, const Fleet& fleet, const Settings& settings,
                              Time now) {
    std::vector<Victim> victims;
    for (auto& [key, placement] : machine.placements) {
        if (placement.stopping || !mayPreempt(placement, job, fleet, settings, now)) continue;
        victims.push_back({lossOf(placement, job, now), &placement});
    }
    std::sort(victims.begin(), victims.end(),
              [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
    return victims;
}

/// The capacity that the job will have on the machine once the tasks that are already being stopped have
/// ended.
bookkeeping::Resources capacityAfterStops(const Machine& machine, const Job& job, Time now) {
    auto capacity = availableCapacity(machine, job, now);
    for (const auto& [key, placement] : machine.placements)
        if (placement.stopping) capacity += bookkeeping::needOf(placement.job->spec);
    return capacity;
}

}  // namespace

bool mayPreempt(const Placement& placement, const Job& job, const Fleet& fleet, const Settings& settings,
                Time now) {
    const auto& spec = placement.job->spec;
    if (placement.job == &job) return false;
    if (spec.kind == JobKind::service || bookkeeping::isMultiTaskGang(spec)) return false;
    if (job.priority() != Priority::production && isProtectedStart(placement, now)) return false;
    if (placement.job->priority() < job.priority()) return true;
    return reclaimsGuaranteedQuota(placement, job, fleet, settings);
}

std::optional<PreemptionPlan> planPreemption(Machine& machine, const Job& job, std::uint32_t tasks,
                                             const Fleet& fleet, const Settings& settings, Time now) {
    const auto need = bookkeeping::needOf(job.spec, tasks);
    PreemptionPlan plan{&machine, {}, 0, tasks};
    if (!machine.hasImage(job.image())) plan.loss = kFetchLoss;
    auto capacity = capacityAfterStops(machine, job, now);
    for (const auto& victim : victimsOn(machine, job, fleet, settings, now)) {
        if (capacity.covers(need)) break;
        capacity += bookkeeping::needOf(victim.placement->job->spec);
        plan.loss += victim.loss;
        plan.victims.push_back(victim.placement);
    }
    if (!capacity.covers(need)) return std::nullopt;
    return plan;
}

}  // namespace burlpoint::coordination
