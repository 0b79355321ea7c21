#include "coordination/scheduling/preemption.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace burlpoint::coordination {

using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::ReservationKind;
using protocol::Priority;
using storage::TerminalState;

namespace {

// Bounds on the work of one round.
// The number of tasks and gangs for which capacity is freed in one round.
constexpr std::size_t kMaxPreemptionsPerRound = 12;
// The number of machines scanned in one round: at least kMinScans, and kScansPerMachine for each machine of a
// larger fleet. This is enough for several jobs in a fleet of any size. Rounds have to reach all waiting jobs
// within a few seconds, since otherwise a job's reservations would lapse before its next turn.
constexpr std::uint64_t kMinScans = 6000;
constexpr std::uint64_t kScansPerMachine = 12;
// Planning on one machine costs as much as scanning this many machines.
constexpr std::uint64_t kScansPerPlan = 10;

// Bounds for one job in one round, other than a gang of several tasks: the number of machines on which a
// preemption is planned, and the number of tasks for which capacity is freed.
constexpr std::size_t kMaxPlans = 40;
constexpr std::size_t kMaxTasks = 6;

// Heartbeat intervals for which freed capacity is reserved, in addition to the save time of the job for which
// it is freed.
constexpr int kReservationIntervals = 4;
constexpr int kGangReservationIntervals = 3;

// How long a job waits for capacity to become free without preemption, in heartbeat intervals. Capacity that
// becomes free is seen within 1.5 heartbeat intervals.
constexpr double kIntervalsUntilFree = 1.5;
// A job with a wait objective waits for this share of the objective instead.
constexpr double kWaitShareOfObjective = 0.35;
// An urgent job (a production job or one that needs accelerators) waits for this time, or for this share of
// its wait objective if that is shorter.
constexpr Seconds kUrgentWait{0.2};
constexpr double kUrgentShareOfObjective = 0.1;
// A job whose wait objective is below this many heartbeat intervals waits for at most the share
// kUrgentShareOfObjective of it, too.
constexpr double kShortObjectiveIntervals = 3;

// Losses that are added when machines are chosen for a gang, in processor seconds for each of its tasks.
constexpr double kSpotLoss = 100;  // the interruption of a spot machine would stop the whole gang
constexpr double kFetchLoss = 150;
// Subtracted from the loss on a machine that is reserved for the gang, in processor seconds. It is far larger
// than usual losses, so that such machines are preferred.
constexpr double kOwnReservationBonus = 1e6;

}  // namespace

Preemption::Preemption(const PreemptionContext& context) : context_(context) {}

// Each round serves all production jobs first. The others continue where the last round ended.
void Preemption::preemptForWaitingJobs(Time now) {
    const auto& jobs = context_.jobQueue.waiting();
    const auto firstOther = std::find_if(jobs.begin(), jobs.end(),
                                         [](const Job* job) { return rankOf(*job) < Rank::production; });
    const auto production = static_cast<std::size_t>(firstOther - jobs.begin());
    if (nextJob_ >= jobs.size()) nextJob_ = 0;
    nextJob_ = std::max(nextJob_, production);
    const auto maxScans = context_.scans.total() + scanBudget();
    const auto turns = production + jobs.size() - nextJob_;
    std::size_t preemptions = 0;
    for (std::size_t turn = 0; turn < turns; ++turn) {
        const auto index = turn < production ? turn : nextJob_ + turn - production;
        if (preemptions >= kMaxPreemptionsPerRound || context_.scans.total() > maxScans) {
            nextJob_ = std::max(nextJob_, index);
            return;
        }
        auto& job = *jobs[index];
        if (!isDue(job, now)) continue;
        if (!bookkeeping::isMultiTaskGang(job.spec))
            preemptions += preemptForTasks(job, now);
        else if (preemptForGang(job, now))
            ++preemptions;
    }
    nextJob_ = 0;
}

/// The number of machines that a round may scan.
std::uint64_t Preemption::scanBudget() const {
    return std::max<std::uint64_t>(kMinScans, context_.fleet.machines().size() * kScansPerMachine);
}

bool Preemption::isDue(const Job& job, Time now) const {
    const auto& run = *job.run;
    if (job.priority() <= Priority::normal && !run.guaranteed) return false;
    if (job.terminalState != TerminalState::none || run.waiting == 0 || run.backoffUntil > now) return false;
    if (Seconds(now - run.waitingSince) < maxWaitBeforePreemption(job)) return false;
    if (blockedByUnreconciled(job, context_.fleet)) return false;
    const auto tasks = bookkeeping::isMultiTaskGang(job.spec) ? run.waiting : 1;
    return withinTeamQuota(job, tasks, context_.fleet, context_.types);
}

/// How long the job waits for capacity to become free without preemption. Only a share of its wait objective
/// if it has one, so that the freed capacity can still be used in time.
Seconds Preemption::maxWaitBeforePreemption(const Job& job) const {
    const auto heartbeat = context_.settings.heartbeatInterval;
    // Capacity in use by replicas, and whole machines with accelerators, rarely become free by waiting.
    const bool urgent = job.priority() == Priority::production || job.spec.gpus > 0;
    const Seconds wait = urgent ? kUrgentWait : heartbeat * kIntervalsUntilFree;
    const auto& objective = job.run->shortestWaitObjective;
    if (!objective) return wait;
    if (urgent || *objective < heartbeat * kShortObjectiveIntervals)
        return std::min(wait, *objective * kUrgentShareOfObjective);
    return *objective * kWaitShareOfObjective;
}

Time Preemption::reservationEnd(const Job& job, int heartbeatIntervals, Time now) const {
    const Seconds time = context_.settings.heartbeatInterval * heartbeatIntervals + job.spec.saveTime;
    return now + toClockDuration(time);
}

std::optional<PreemptionPlan> Preemption::planOn(Machine& machine, const Job& job, std::uint32_t tasks,
                                                 Time now) {
    context_.scans.add(kScansPerPlan);
    return planPreemption(machine, job, tasks, context_.fleet, context_.settings, now);
}

void Preemption::execute(const PreemptionPlan& plan, const Job& job, Time reservedUntil) {
    auto& machine = *plan.machine;
    spdlog::debug("preempting tasks job={} class={} machine={} tasks={} victims={}", job.spec.id,
                  job.spec.jobClass, machine.id, plan.tasks, plan.victims.size());
    for (auto* victim : plan.victims) context_.terminator.stop(machine, *victim, victim->job->spec.saveTime);
    context_.fleet.reserve(machine, job, reservedUntil, ReservationKind::preempting, plan.tasks);
}

/// Preempts for a job whose tasks start separately, on the machines where the loss is smallest. Returns the
/// number of the job's tasks that it freed capacity for.
std::size_t Preemption::preemptForTasks(Job& job, Time now) {
    auto survey = surveyCapacity(job, now);
    if (survey.expected >= job.run->waiting) return 0;
    const auto wanted = std::min(job.run->waiting - survey.expected, kMaxTasks);
    const auto reservedUntil = reservationEnd(job, kReservationIntervals, now);
    const auto maxInZone = maxTasksInZone(job.spec);
    std::size_t preempted = 0;
    for (const auto& plan : plansOn(survey.candidates, job, now)) {
        if (preempted == wanted) break;
        const auto& zone = plan.machine->zone;
        const bool inOtherZone = !survey.tasksInZone.empty() && !survey.tasksInZone.contains(zone);
        if (job.spec.singleZone && inOtherZone) continue;
        auto& inZone = survey.tasksInZone[zone];
        if (inZone >= maxInZone) continue;
        ++inZone;
        execute(plan, job, reservedUntil);
        ++preempted;
    }
    return preempted;
}

/// Surveys only the machines with the job's image if the job should wait for one of them. Otherwise surveys
/// the fleet until capacity for all waiting tasks is found.
Preemption::CapacitySurvey Preemption::surveyCapacity(Job& job, Time now) {
    CapacitySurvey survey{0, job.run->zones, {}};
    if (context_.images.waitsForImage(job, now)) {
        for (auto* machine : context_.fleet.machinesWithImage(job.image()))
            surveyMachine(*machine, job, now, survey);
        return survey;
    }
    for (const auto& [id, machine] : context_.fleet.machines()) {
        surveyMachine(*machine, job, now, survey);
        if (survey.expected >= job.run->waiting) break;
    }
    return survey;
}

void Preemption::surveyMachine(Machine& machine, const Job& job, Time now, CapacitySurvey& survey) {
    context_.scans.add();
    if (!machine.typeInfo || !isUsable(machine, now)) return;
    const bool reserved = isReservedByPreemption(machine, now);
    if (reserved && machine.reservation.job != &job) return;
    if (!context_.constraints.mayStart(job, machine, now)) return;
    if (reserved) {
        ++survey.tasksInZone[machine.zone];
        ++survey.expected;
        return;
    }
    const auto need = bookkeeping::needOf(job.spec);
    // Tasks that fit now start with the machine's next heartbeat.
    const auto fitting = availableCapacity(machine, job, now).fitCount(need);
    survey.expected += fitting;
    if (fitting > 0) return;
    if (capacityWithPreemption(machine, job, now).covers(need)) survey.candidates.push_back(&machine);
}

/// Makes a plan for one task on each of some candidates, sorted by loss, the smallest first.
std::vector<PreemptionPlan> Preemption::plansOn(const std::vector<Machine*>& candidates, const Job& job,
                                                Time now) {
    std::vector<PreemptionPlan> plans;
    if (candidates.empty()) return plans;
    const auto offset = nextCandidate_++ % candidates.size();
    const auto count = std::min(candidates.size(), kMaxPlans);
    for (std::size_t i = 0; i < count; ++i) {
        auto& candidate = *candidates[(offset + i) % candidates.size()];
        auto plan = planOn(candidate, job, 1, now);
        if (plan) plans.push_back(std::move(*plan));
    }
    std::sort(plans.begin(), plans.end(), [](const auto& a, const auto& b) { return a.loss < b.loss; });
    return plans;
}

/// Preempts for a whole gang of several tasks or not at all: only if free capacity and preemptible tasks
/// together suffice for all of its tasks. If the zone would suffice only after other tasks have ended,
/// requests a zone reservation instead. Until the gang has enough machines there, competing jobs are kept off
/// such machines, while jobs of lower priority continue to start. Returns whether it preempted.
bool Preemption::preemptForGang(Job& job, Time now) {
    if (job.run->placedTotal > 0) return false;
    const auto size = job.spec.tasks;
    const auto capacity = bestGangCapacity(job, context_.fleet, context_.settings.zones, context_.constraints,
                                           context_.scans, now);
    if (capacity.withPreemption < size) {
        // No reservation if the zone is too small for the gang and more machines have to come up first.
        if (capacity.withReplicasOnly >= size) context_.zoneReservations.reserve(job, capacity.zone, now);
        return false;
    }
    const auto plans = plansForGang(job, capacity, now);
    std::uint32_t planned = 0;
    std::size_t used = 0;
    while (used < plans.size() && planned < size) planned += plans[used++].tasks;
    if (planned < size) return false;
    const auto reservedUntil = reservationEnd(job, kGangReservationIntervals, now);
    for (std::size_t i = 0; i < used; ++i) execute(plans[i], job, reservedUntil);
    return true;
}

/// Makes a plan for each machine, sorted by loss per task of the gang, the smallest first.
std::vector<PreemptionPlan> Preemption::plansForGang(const Job& job, const GangCapacity& capacity, Time now) {
    std::vector<PreemptionPlan> plans;
    for (const auto& [machine, tasks] : capacity.machines) {
        auto plan = planOn(*machine, job, std::min(tasks, job.spec.tasks), now);
        if (!plan) continue;
        if (machine->reservation.job == &job) plan->loss -= kOwnReservationBonus;
        if (machine->spot) plan->loss += kSpotLoss * plan->tasks;
        if (!machine->hasImage(job.image())) plan->loss += kFetchLoss * plan->tasks;
        plans.push_back(std::move(*plan));
    }
    std::sort(plans.begin(), plans.end(),
              [](const auto& a, const auto& b) { return a.loss / a.tasks < b.loss / b.tasks; });
    return plans;
}

}  // namespace burlpoint::coordination
