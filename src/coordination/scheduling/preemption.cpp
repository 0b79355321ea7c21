#include "coordination/scheduling/preemption.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "coordination/scheduling/placement_constraints.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using bookkeeping::Machine;
using protocol::Priority;
using storage::TerminalState;

namespace {

constexpr int kMaxJobsAtOnce = 12;
// Machines to look at in a round. Enough for some jobs in any fleet: a round over all that wait must take a
// few seconds at most, or what is kept for one of them would lapse before its next turn.
constexpr std::uint64_t kMinLookups = 6000;
constexpr std::uint64_t kLookupsPerMachine = 12;
constexpr std::uint64_t kLookupsPerPlan = 10;  // a plan on one machine costs as much as looking at so many

constexpr std::size_t kMaxPlansWeighed = 40;
constexpr std::size_t kMaxTasksAtOnce = 6;
constexpr int kHeartbeatsKept = 4;  // room made for a task is kept for so many report intervals
constexpr int kHeartbeatsKeptForGang = 3;

constexpr double kHeartbeatsUntilFree = 1.5;  // room that comes free by itself shows within so many intervals
constexpr Seconds kHurry{0.2};
constexpr double kHurriedShareOfAim = 0.1;
constexpr double kShareOfAim = 0.35;
constexpr double kShortAim = 3;  // report intervals

// When a gang's machines are chosen, in processor seconds.
constexpr double kReservedBonus = 1e6;
constexpr double kSpotLoss = 100;  // a spot machine that is taken back would stop the whole gang
constexpr double kFetchLoss = 150;

}  // namespace

Preemption::Preemption(const PreemptionContext& context) : context_(context) {}

void Preemption::preemptForWaitingJobs(Time now) {
    const auto& scans = context_.scans;
    const auto budget =
        std::max<std::uint64_t>(kMinLookups, context_.fleet.machines().size() * kLookupsPerMachine);
    const auto lookupsBefore = scans.total();
    const auto jobs = context_.jobQueue.waiting();
    // Production has its turn each time; the others go on where the last round ended.
    const auto firstOther =
        std::find_if(jobs.begin(), jobs.end(), [](const Job* job) { return rankOf(*job) < kProductionRank; });
    const auto production = static_cast<std::size_t>(firstOther - jobs.begin());
    if (nextJob_ >= jobs.size()) nextJob_ = 0;
    const auto resume = std::max(production, std::exchange(nextJob_, 0));
    int made = 0;
    for (std::size_t turn = 0; turn < production + jobs.size() - resume; ++turn) {
        const auto at = turn < production ? turn : resume + turn - production;
        if (made >= kMaxJobsAtOnce || scans.total() - lookupsBefore > budget) {
            nextJob_ = std::max(at, resume);
            return;
        }
        auto& job = *jobs[at];
        if (!isDue(job, now)) continue;
        made += bookkeeping::isLargeGang(job.spec) ? preemptForGang(job, now) : preemptFor(job, now);
    }
}

bool Preemption::isDue(const Job& job, Time now) const {
    const auto& run = *job.run;
    if (job.priority() <= Priority::normal && !run.guaranteed) return false;
    if (job.terminalState != TerminalState::none || run.waiting == 0 || run.backoffUntil > now) return false;
    if (Seconds(now - run.waitingSince) < patienceOf(job)) return false;
    const auto tasks = bookkeeping::isLargeGang(job.spec) ? run.waiting : 1;
    return !blockedByUnreconciled(job, context_.fleet) &&
           withinTeamLimit(job, tasks, context_.fleet, context_.types);
}

/// How long a job may wait for room to come free by itself: a small part of what its users expect.
Seconds Preemption::patienceOf(const Job& job) const {
    const auto heartbeat = context_.settings.heartbeatInterval;
    // Neither replicas' room nor whole machines come free by waiting.
    const bool hurried = job.priority() == Priority::production || job.spec.gpus > 0;
    const Seconds patience = hurried ? kHurry : heartbeat * kHeartbeatsUntilFree;
    const auto& aim = job.run->shortestWaitObjective;
    if (!aim) return patience;
    const bool shortAim = hurried || *aim < heartbeat * kShortAim;
    return shortAim ? std::min(patience, *aim * kHurriedShareOfAim) : *aim * kShareOfAim;
}

Time Preemption::keptUntil(const Job& job, int heartbeats, Time now) const {
    const Seconds time = context_.settings.heartbeatInterval * heartbeats + job.spec.saveTime;
    return now + std::chrono::duration_cast<Clock::duration>(time);
}

std::optional<PreemptionPlan> Preemption::planOn(Machine& machine, const Job& job, std::uint32_t tasks,
                                                 Time now) {
    context_.scans.add(kLookupsPerPlan);
    return planPreemption(machine, job, tasks, context_.fleet, context_.settings, now);
}

void Preemption::execute(const PreemptionPlan& plan, const Job& job, Time until) {
    auto& machine = *plan.machine;
    spdlog::debug("room for {} of {} {} on {}: {} tasks stop", plan.tasks, job.spec.id, job.spec.jobClass,
                  machine.id, plan.victims.size());
    for (auto* victim : plan.victims) context_.terminator.stop(machine, *victim, victim->job->spec.saveTime);
    context_.fleet.reserve(machine, job, until, bookkeeping::ReservationKind::preempting, plan.tasks);
}

// --- single tasks -----------------------------------------------------------------------------------------

/// Frees room for tasks of the job by stopping lower work where that loses least. Returns for how many.
int Preemption::preemptFor(Job& job, Time now) {
    auto survey = surveyRoom(job, now);
    if (survey.coming >= job.run->waiting) return 0;
    auto wanted = std::min(job.run->waiting - survey.coming, kMaxTasksAtOnce);
    const auto until = keptUntil(job, kHeartbeatsKept, now);
    int made = 0;
    for (const auto& plan : plansOn(survey.candidates, job, now)) {
        if (wanted == 0) break;
        const auto& zone = plan.machine->zone;
        if (job.spec.singleZone && !survey.zones.empty() && !survey.zones.contains(zone)) continue;
        auto& inZone = survey.zones[zone];
        if (inZone >= maxTasksInZone(job.spec)) continue;
        ++inZone;
        execute(plan, job, until);
        --wanted;
        ++made;
    }
    return made;
}

/// Looks for room on the machines that the job may wait for: those with its image if it should wait for one
/// of them, else all, until enough is found.
Preemption::RoomSurvey Preemption::surveyRoom(Job& job, Time now) {
    RoomSurvey survey{0, job.run->zones, {}};
    if (context_.images.waitsForImage(job, now)) {
        for (auto* machine : context_.fleet.withImage(job.image())) surveyMachine(*machine, job, now, survey);
        return survey;
    }
    for (const auto& [id, machine] : context_.fleet.machines()) {
        surveyMachine(*machine, job, now, survey);
        if (survey.coming >= job.run->waiting) break;
    }
    return survey;
}

/// Counts the machine towards the room that the job will have without stopping more, or keeps it as one where
/// something could be stopped.
void Preemption::surveyMachine(Machine& machine, const Job& job, Time now, RoomSurvey& survey) {
    context_.scans.add();
    if (!machine.typeInfo || !usable(machine, now)) return;
    const bool made = machine.isReserved(now) && !machine.holding;
    if (made && machine.reservedFor != &job) return;
    if (!context_.rules.mayStart(job, machine, now)) return;
    const auto need = bookkeeping::needOf(job.spec);
    if (made) {
        ++survey.zones[machine.zone];
        ++survey.coming;
    } else if (const auto room = availableRoom(machine, job, now).times(need); room > 0) {
        survey.coming += room;  // it will be placed with that machine's heartbeat
    } else if (maxRoom(machine, job, now).covers(need)) {
        survey.candidates.push_back(&machine);
    }
}

/// Plans for one task on some of the candidates, the least loss first.
std::vector<PreemptionPlan> Preemption::plansOn(const std::vector<Machine*>& candidates, const Job& job,
                                                Time now) {
    std::vector<PreemptionPlan> plans;
    if (candidates.empty()) return plans;
    const auto offset = nextCandidate_++ % candidates.size();
    for (std::size_t i = 0; i < std::min(candidates.size(), kMaxPlansWeighed); ++i) {
        auto plan = planOn(*candidates[(offset + i) % candidates.size()], job, 1, now);
        if (plan) plans.push_back(std::move(*plan));
    }
    std::sort(plans.begin(), plans.end(), [](const auto& a, const auto& b) { return a.loss < b.loss; });
    return plans;
}

// --- gangs of several tasks -------------------------------------------------------------------------------

/// Makes room for a gang, whole or not at all: only where free room and what yields make up all of it. A gang
/// that is passed over for long, as smaller ones take each machine that comes free, has a zone reserved:
/// until it has enough there, other work that needs what it needs goes elsewhere. Lower work goes on
/// meanwhile. There is one such gang at a time, so that no two wait for each other's halves. Returns 1 if it
/// was made.
int Preemption::preemptForGang(Job& job, Time now) {
    if (job.run->placedTotal > 0) return 0;
    const auto size = job.spec.tasks;
    const auto room =
        bestGangCapacity(job, context_.fleet, context_.settings.zones, context_.rules, context_.scans, now);
    if (room.yielding < size) {
        // Unless more machines have to come first.
        if (room.possible >= size) context_.zoneReservations.reserve(job, room.zone, now);
        return 0;
    }
    auto plans = plansForGang(job, room, now);
    std::uint32_t planned = 0;
    std::size_t needed = 0;  // plans
    while (needed < plans.size() && planned < size) planned += plans[needed++].tasks;
    if (planned < size) return 0;
    plans.resize(needed);
    const auto until = keptUntil(job, kHeartbeatsKeptForGang, now);
    for (const auto& plan : plans) execute(plan, job, until);
    return 1;
}

/// What would stop on each machine for the gang, those first that lose least for a task.
std::vector<PreemptionPlan> Preemption::plansForGang(const Job& job, const GangCapacity& room, Time now) {
    std::vector<PreemptionPlan> plans;
    for (const auto& [machine, tasks] : room.machines) {
        auto plan = planOn(*machine, job, std::min(tasks, job.spec.tasks), now);
        if (!plan) continue;
        if (machine->reservedFor == &job) plan->loss -= kReservedBonus;
        if (machine->spot) plan->loss += kSpotLoss * plan->tasks;
        if (!machine->hasImage(job.image())) plan->loss += kFetchLoss * plan->tasks;
        plans.push_back(std::move(*plan));
    }
    std::sort(plans.begin(), plans.end(),
              [](const auto& a, const auto& b) { return a.loss / a.tasks < b.loss / b.tasks; });
    return plans;
}

}  // namespace burlpoint::coordination
