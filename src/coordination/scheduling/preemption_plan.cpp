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

// Losses, in processor seconds of work that has to be done again, or what is taken for as much.
constexpr double kFetchLoss = 10;          // the machine lacks the image
constexpr double kHardToPlaceLoss = 1000;  // for each processor
constexpr double kProtectedStartLoss = 1000;
constexpr double kRestartLoss = 5;  // of a task that saves, beyond its save
constexpr double kMinCpus = 0.1;    // a task counts as that large at least
constexpr double kStopLoss = 1;

struct Victim {
    double loss = 0;
    Placement* placement = nullptr;
};

/// What is lost when the task stops for the job.
double lossOf(const Placement& placement, const Job& job, Time now) {
    const auto& spec = placement.job->spec;
    const bool running = placement.state == PlacementState::running;
    double lost = running ? Seconds(now - placement.runningSince).count() : 0;
    if (spec.gpus > 0 && job.spec.gpus <= 0) lost += kHardToPlaceLoss;
    if (spec.checkpointInterval > Seconds(0)) lost = std::min(lost, spec.saveTime.count() + kRestartLoss);
    if (isProtectedStart(placement, now)) lost += kProtectedStartLoss;
    return lost * std::max(spec.cpus, kMinCpus) + kStopLoss;
}

/// The guarantee of another team may take back what this one has beyond its own.
bool yieldsToGuarantee(const Placement& placement, const Job& job, const Fleet& fleet,
                       const Settings& settings) {
    const auto& spec = placement.job->spec;
    const auto* team = settings.team(spec.team);
    return job.run->guaranteed && job.priority() < Priority::production && spec.team != job.spec.team &&
           team && fleet.teamUse(spec.team).cpus > team->guaranteedCpus && !placement.job->run->guaranteed;
}

}  // namespace

bool mayPreempt(const Placement& placement, const Job& job, const Fleet& fleet, const Settings& settings,
                Time now) {
    const auto& spec = placement.job->spec;
    if (placement.job == &job || spec.kind == JobKind::service || bookkeeping::isLargeGang(spec))
        return false;
    if (job.priority() != Priority::production && isProtectedStart(placement, now)) return false;
    if (placement.job->priority() < job.priority()) return true;
    return yieldsToGuarantee(placement, job, fleet, settings);
}

std::optional<PreemptionPlan> planPreemption(Machine& machine, const Job& job, std::uint32_t tasks,
                                             const Fleet& fleet, const Settings& settings, Time now) {
    const auto need = bookkeeping::needOf(job.spec, tasks);
    PreemptionPlan plan{&machine, {}, machine.hasImage(job.image()) ? 0.0 : kFetchLoss, tasks};
    auto room = availableCapacity(machine, job, now);
    std::vector<Victim> victims;
    for (auto& [key, placement] : machine.placements) {
        if (placement.stopping)
            room += bookkeeping::needOf(placement.job->spec);
        else if (mayPreempt(placement, job, fleet, settings, now))
            victims.push_back({lossOf(placement, job, now), &placement});
    }
    std::sort(victims.begin(), victims.end(),
              [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
    for (const auto& victim : victims) {
        if (room.covers(need)) break;
        room += bookkeeping::needOf(victim.placement->job->spec);
        plan.loss += victim.loss;
        plan.victims.push_back(victim.placement);
    }
    return room.covers(need) ? std::optional(std::move(plan)) : std::nullopt;
}

}  // namespace burlpoint::coordination
