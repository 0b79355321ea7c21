#include "coordination/scheduling/gang_planner.h"

#include <algorithm>
#include <map>

#include "coordination/scheduling/placement_constraints.h"

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::PlacementState;
using protocol::Settings;
using storage::TerminalState;

namespace {

constexpr std::chrono::milliseconds kPlanInterval{200};
constexpr double kSlack = 1e-6;  // processors and accelerators that a sum of decimals may be off by
// A replacement is worth it only while the tasks that wait for it have this share of their patience left.
constexpr double kMaxWaitForReplacement = 0.3;

// How good a machine is for a gang; the sum decides.
constexpr int kKeptForGang = 4;
constexpr int kNotTakenBack = 2;  // a spot machine that is taken back stops the whole gang
constexpr int kHasImage = 1;
constexpr int kAllHaveImage = 8;

}  // namespace

GangPlanner::GangPlanner(const Settings& settings, Fleet& fleet, const MachineTypes& types,
                         const StartConstraints& rules, JobQueue& jobQueue,
                         ZoneReservations& zoneReservations, AttemptIdGenerator& attempts)
    : settings_(settings),
      fleet_(fleet),
      types_(types),
      constraints_(rules),
      jobQueue_(jobQueue),
      zoneReservations_(zoneReservations),
      attemptIds_(attempts) {}

void GangPlanner::plan(Time now) {
    if (now < nextPlan_) return;
    nextPlan_ = now + kPlanInterval;
    const auto machines = machinesWithRoom(now);
    for (auto* job : std::vector<Job*>(jobQueue_.waiting())) {
        if (!isDue(*job, now)) continue;
        if (!job->spec.singleZone) {
            planIn(machines, nullptr, *job, now);
            continue;
        }
        for (const auto& zone : settings_.zones)
            if (zoneAllows(*job, zone) && planIn(machines, &zone, *job, now)) break;
    }
}

GangPlanner::Machines GangPlanner::machinesWithRoom(Time now) const {
    Machines machines;
    for (const auto& [id, machine] : fleet_.machines()) {
        if (!machine->typeInfo) continue;
        const double free = machine->typeInfo->cpus - machine->used.cpus;
        if (free >= jobQueue_.minCpus() - kSlack && usable(*machine, now)) machines.push_back(machine.get());
    }
    return machines;
}

bool GangPlanner::isDue(const Job& job, Time now) const {
    if (!bookkeeping::isLargeGang(job.spec) || job.terminalState != TerminalState::none) return false;
    if (job.run->waiting == 0 || job.run->backoffUntil > now || !mayComplete(job, now)) return false;
    return !blockedByUnreconciled(job, fleet_) && withinTeamLimit(job, job.run->waiting, fleet_, types_);
}

bool GangPlanner::mayComplete(const Job& job, Time now) const {
    const auto& run = *job.run;
    if (run.placedTotal == 0) return true;
    if (run.placedTotal + run.waiting != job.spec.tasks || run.running > 0) return false;
    const auto patience = settings_.gangWaitTimeout * kMaxWaitForReplacement;
    const auto placements = fleet_.placementsOf(job);
    return std::all_of(placements.begin(), placements.end(), [&](const auto& entry) {
        const auto& placement = *entry.second;
        if (placement.stopping || placement.attempt != run.gangAttempt) return false;
        if (placement.state > PlacementState::waiting) return false;
        return placement.state != PlacementState::waiting || Seconds(now - placement.since) < patience;
    });
}

/// Plans the whole gang on machines in the zone, in any if there is none. False: they have too little room.
bool GangPlanner::planIn(const Machines& machines, const std::string* zone, Job& job, Time now) {
    auto options = optionsIn(machines, zone, job, now);
    std::uint32_t room = 0;
    std::uint32_t cachedRoom = 0;
    for (const auto& option : options) {
        room += option.room;
        if (option.cached) cachedRoom += option.room;
    }
    if (room < job.run->waiting) return false;
    // A gang waits for its slowest fetch, so the image counts most where none of its tasks has to fetch.
    if (cachedRoom >= job.run->waiting)
        for (auto& option : options) option.merit += option.cached ? kAllHaveImage : 0;
    std::stable_sort(options.begin(), options.end(),
                     [](const Option& a, const Option& b) { return a.merit > b.merit; });
    const auto chosen = choose(options, job);
    if (chosen.size() < job.run->waiting) return false;
    place(chosen, job, now);
    return true;
}

std::vector<GangPlanner::Option> GangPlanner::optionsIn(const Machines& machines, const std::string* zone,
                                                        const Job& job, Time now) const {
    const auto need = bookkeeping::needOf(job.spec);
    std::vector<Option> options;
    for (auto* machine : machines) {
        if (zone && machine->zone != *zone) continue;
        if (machine->typeInfo->gpus - machine->used.gpus < need.gpus - kSlack) continue;
        if (machine->typeInfo->cpus - machine->used.cpus < need.cpus - kSlack) continue;
        if (!constraints_.mayStart(job, *machine, now)) continue;
        if (job.run->placedTotal > 0 && job.run->machinesLeft.contains(machine->id)) continue;
        const auto room = availableRoom(*machine, job, now).times(need);
        if (room == 0) continue;
        const bool cached = machine->hasImage(job.image());
        const int merit = (machine->reservedFor == &job ? kKeptForGang : 0) +
                          (machine->spot ? 0 : kNotTakenBack) + (cached ? kHasImage : 0);
        options.push_back({machine, room, merit, cached});
    }
    return options;
}

/// A machine for each waiting task, the first options first; fewer if the zones allow no more.
GangPlanner::Machines GangPlanner::choose(const std::vector<Option>& options, const Job& job) {
    Machines chosen;
    std::map<std::string, std::uint32_t> perZone = job.run->zones;
    const auto zoneMost = maxTasksInZone(job.spec);
    for (const auto& option : options) {
        auto& there = perZone.try_emplace(option.machine->zone, 0).first->second;
        const auto left = static_cast<std::uint32_t>(job.run->waiting - chosen.size());
        const auto count = std::min({option.room, zoneMost - std::min(zoneMost, there), left});
        there += count;
        chosen.insert(chosen.end(), count, option.machine);
    }
    return chosen;
}

void GangPlanner::place(const Machines& chosen, Job& job, Time now) {
    if (job.run->placedTotal == 0) {
        job.run->gangAttempt = attemptIds_.next();
        job.run->machinesLeft.clear();
    }
    std::uint32_t task = 0;
    for (auto* machine : chosen) {
        while (!job.isWaiting(task)) ++task;
        fleet_.place(*machine, job, task, job.run->gangAttempt, PlacementState::planned, now);
        if (machine->reservedFor == &job) fleet_.cancelReservation(*machine);
    }
    zoneReservations_.release(job);
    jobQueue_.markStale();
}

}  // namespace burlpoint::coordination
