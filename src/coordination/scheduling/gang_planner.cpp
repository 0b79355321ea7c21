#include "coordination/scheduling/gang_planner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <map>

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::MachineTypes;
using bookkeeping::Placement;
using bookkeeping::PlacementState;
using protocol::Settings;
using storage::TerminalState;

namespace {

// Minimum time between two planning runs. Bounds their cost, since each iterates over the whole fleet.
constexpr std::chrono::milliseconds kPlanInterval{200};
// When a task of a gang is lost, the others wait up to `gangWaitTimeout` for its replacement. A replacement
// is started only within this share of that time, so that its image can be fetched and it is ready before
// they time out.
constexpr double kMaxShareOfGangWait = 0.3;

// Terms of a machine's score. Each one outweighs the sum of all smaller ones.
constexpr int kAllHaveImageScore = 8;  // no task has to fetch; a gang waits for its slowest task
constexpr int kReservedScore = 4;      // reserved for the gang
constexpr int kOnDemandScore = 2;      // not spot, whose interruption would stop the whole gang
constexpr int kHasImageScore = 1;

int scoreOf(const Machine& machine, const Job& job) {
    int score = 0;
    if (machine.reservation.job == &job) score += kReservedScore;
    if (!machine.spot) score += kOnDemandScore;
    if (machine.hasImage(job.image())) score += kHasImageScore;
    return score;
}

bool hasFreeGpus(const Machine& machine, double gpus) {
    return machine.typeInfo->gpus - machine.use.total.gpus >= gpus - kResourceTolerance;
}

}  // namespace

GangPlanner::GangPlanner(const Settings& settings, Fleet& fleet, const MachineTypes& types,
                         const PlacementConstraints& constraints, JobQueue& jobQueue,
                         ZoneReservations& zoneReservations, AttemptIdGenerator& attempts)
    : settings_(settings),
      fleet_(fleet),
      types_(types),
      constraints_(constraints),
      jobQueue_(jobQueue),
      zoneReservations_(zoneReservations),
      attemptIds_(attempts) {}

void GangPlanner::plan(Time now) {
    if (now < nextPlan_) return;
    nextPlan_ = now + kPlanInterval;
    withdrawStalledTasks(now);
    const auto machines = machinesWithCapacity(now);
    for (auto* job : jobQueue_.waiting())
        if (isDue(*job, now)) planGang(machines, *job, now);
}

void GangPlanner::withdrawStalledTasks(Time now) {
    std::erase_if(plannedGangs_, [&](Job* job) { return withdrawStalledTasks(*job, now) == 0; });
}

/// Removes the gang's planned tasks that can't be sent to their machines, so that they wait again. Nothing of
/// them can be on a machine. Returns the number of tasks that stay planned.
std::size_t GangPlanner::withdrawStalledTasks(Job& job, Time now) {
    std::size_t planned = 0;
    for (auto& [machine, placement] : fleet_.placementsOf(job)) {
        if (placement->state != PlacementState::planned) continue;
        if (mayBeSent(*placement, *machine, now)) {
            ++planned;
            continue;
        }
        spdlog::debug("planned task withdrawn job={} task={} machine={}", job.spec.id, placement->task,
                      machine->id);
        fleet_.remove(*machine, machine->placements.find(attemptKeyOf(*placement)));
        jobQueue_.markStale();
    }
    if (job.run->placedTotal == 0) job.run->gangAttempt = 0;
    return planned;
}

/// True if the planned task can be expected to be sent with the machine's next heartbeat. If none has come in
/// time, the task may start sooner on another machine.
bool GangPlanner::mayBeSent(const Placement& placement, const Machine& machine, Time now) const {
    return isUsable(machine, now) && now - placement.since <= heartbeatTimeout(settings_);
}

bool GangPlanner::isHeard(const Machine& machine, Time now) const {
    return now - machine.lease.lastHeartbeat <= heartbeatTimeout(settings_);
}

GangPlanner::Machines GangPlanner::machinesWithCapacity(Time now) const {
    Machines machines;
    for (const auto& [id, machine] : fleet_.machines()) {
        if (!hasFreeCpus(*machine, jobQueue_.minCpus())) continue;
        if (isUsable(*machine, now) && isHeard(*machine, now)) machines.push_back(machine.get());
    }
    return machines;
}

bool GangPlanner::isDue(const Job& job, Time now) const {
    if (!bookkeeping::isMultiTaskGang(job.spec) || job.terminalState != TerminalState::none) return false;
    if (job.run->waiting == 0 || job.run->backoffUntil > now || !mayComplete(job, now)) return false;
    if (blockedByUnreconciled(job, fleet_)) return false;
    return withinTeamQuota(job, job.run->waiting, fleet_, types_);
}

bool GangPlanner::mayComplete(const Job& job, Time now) const {
    const auto& run = *job.run;
    if (run.placedTotal == 0) return true;
    if (run.placedTotal + run.waiting != job.spec.tasks || run.running > 0) return false;
    const auto maxWait = settings_.gangWaitTimeout * kMaxShareOfGangWait;
    const auto placements = fleet_.placementsOf(job);
    return std::all_of(placements.begin(), placements.end(), [&](const auto& entry) {
        const auto& placement = *entry.second;
        if (placement.stopping || placement.attempt != run.gangAttempt) return false;
        if (placement.state > PlacementState::waiting) return false;
        return placement.state != PlacementState::waiting || Seconds(now - placement.since) < maxWait;
    });
}

void GangPlanner::planGang(const Machines& machines, Job& job, Time now) {
    if (!job.spec.singleZone) {
        planIn(kAllZones, machines, job, now);
        return;
    }
    for (const auto& zone : settings_.zones)
        if (zoneAllows(job, zone) && planIn(zone, machines, job, now)) return;
}

/// Plans all waiting tasks of the gang on machines in the zone. Returns false, with nothing planned, if they
/// do not all fit there.
bool GangPlanner::planIn(const std::string& zone, const Machines& machines, Job& job, Time now) {
    auto candidates = candidatesIn(zone, machines, job, now);
    const auto waiting = job.run->waiting;
    std::uint32_t fitting = 0;
    std::uint32_t fittingWithImage = 0;
    for (const auto& candidate : candidates) {
        fitting += candidate.tasks;
        if (candidate.hasImage) fittingWithImage += candidate.tasks;
    }
    if (fitting < waiting) return false;
    if (fittingWithImage >= waiting)
        for (auto& candidate : candidates) candidate.score += candidate.hasImage ? kAllHaveImageScore : 0;
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const Candidate& a, const Candidate& b) { return a.score > b.score; });
    const auto chosen = choose(candidates, job);
    if (chosen.size() < waiting) return false;
    place(chosen, job, now);
    return true;
}

std::vector<GangPlanner::Candidate> GangPlanner::candidatesIn(const std::string& zone,
                                                              const Machines& machines, const Job& job,
                                                              Time now) const {
    const auto need = bookkeeping::needOf(job.spec);
    std::vector<Candidate> candidates;
    for (auto* machine : machines) {
        if (zone != kAllZones && machine->zone != zone) continue;
        if (!isCandidate(*machine, job, now)) continue;
        const auto tasks = availableCapacity(*machine, job, now).fitCount(need);
        if (tasks == 0) continue;
        candidates.push_back({machine, tasks, scoreOf(*machine, job), machine->hasImage(job.image())});
    }
    return candidates;
}

bool GangPlanner::isCandidate(const Machine& machine, const Job& job, Time now) const {
    if (!hasFreeGpus(machine, job.spec.gpus) || !hasFreeCpus(machine, job.spec.cpus)) return false;
    if (!constraints_.mayStart(job, machine, now)) return false;
    // The worker may still list tasks of the earlier attempt, and would refuse another attempt of them.
    if (job.run->placedTotal == 0 && machine.history.recentStarts.containsJob(job, now)) return false;
    // A machine where a task of this attempt has ended must not get a replacement under the same attempt
    // number.
    return job.run->placedTotal == 0 || !job.run->machinesWithEndedTasks.contains(machine.id);
}

/// Chooses a machine for each waiting task, in the order of the candidates. Returns fewer if the limit of
/// tasks per zone or the candidates' capacity allows no more.
GangPlanner::Machines GangPlanner::choose(const std::vector<Candidate>& candidates, const Job& job) {
    Machines chosen;
    std::map<std::string, std::uint32_t> tasksInZone = job.run->zones;
    const auto maxInZone = maxTasksInZone(job.spec);
    for (const auto& candidate : candidates) {
        auto& inZone = tasksInZone.try_emplace(candidate.machine->zone, 0).first->second;
        const auto zoneLeft = maxInZone - std::min(maxInZone, inZone);
        const auto gangLeft = static_cast<std::uint32_t>(job.run->waiting - chosen.size());
        const auto count = std::min({candidate.tasks, zoneLeft, gangLeft});
        inZone += count;
        chosen.insert(chosen.end(), count, candidate.machine);
    }
    return chosen;
}

void GangPlanner::place(const Machines& chosen, Job& job, Time now) {
    if (job.run->placedTotal == 0) {
        job.run->gangAttempt = attemptIds_.next();
        job.run->machinesWithEndedTasks.clear();
    }
    std::uint32_t task = 0;
    for (auto* machine : chosen) {
        while (!job.isWaiting(task)) ++task;
        fleet_.place(*machine, job, task, job.run->gangAttempt, PlacementState::planned, now);
        if (machine->reservation.job == &job) fleet_.cancelReservation(*machine);
    }
    plannedGangs_.insert(&job);
    zoneReservations_.release(job);
    jobQueue_.markStale();
}

}  // namespace burlpoint::coordination
