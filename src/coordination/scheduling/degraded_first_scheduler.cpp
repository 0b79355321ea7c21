#include "coordination/scheduling/degraded_first_scheduler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::PlacementState;
using bookkeeping::ReservationKind;
using protocol::CommandKind;
using protocol::JobKind;
using protocol::WorkerCommand;

namespace {

// Starts are added to a response until it has so many commands, the stops before them included. That keeps
// the response well below 64 KiB.
constexpr std::size_t kMaxCommandsForStart = 250;
// Freed capacity is reserved for so many heartbeat intervals.
constexpr int kReservedIntervals = 3;

WorkerCommand startCommand(const Job& job, std::uint32_t task, std::uint64_t attempt) {
    return {CommandKind::start, {job.spec.id, task, attempt}, Seconds(0)};
}

/// The first of the waiting jobs from `first` on that has another rank than it.
auto endOfRank(std::vector<Job*>::const_iterator first, std::vector<Job*>::const_iterator end) {
    const auto rank = rankOf(**first);
    return std::find_if(first, end, [&](const Job* job) { return rankOf(*job) != rank; });
}

/// Could a waiting task of the job fit on the machine? The cheapest check, so it is made first.
bool mightFit(const Job& job, const Machine& machine) {
    return job.run->waiting > 0 && hasFreeCapacity(machine, job);
}

}  // namespace

DegradedFirstScheduler::DegradedFirstScheduler(const SchedulerContext& context) : context_(context) {}

void DegradedFirstScheduler::schedule(Machine& machine, std::vector<WorkerCommand>& commands, Time now) {
    HeartbeatHandling heartbeat{machine, commands, now};
    startPlannedTasks(heartbeat, context_.fleet);
    const bool hasCapacity = hasFreeCpus(machine, context_.jobQueue.minCpus());
    const auto& jobs = context_.jobQueue.waiting();
    for (auto first = jobs.begin(); first != jobs.end();) {
        const auto last = endOfRank(first, jobs.end());
        const JobSpan ofRank(first, last);
        if (hasCapacity) startCachedAndPaced(heartbeat, ofRank);
        if (rankOf(**first) >= Rank::high)
            for (const auto* job : ofRank) reserveForLater(machine, *job, now);
        if (hasCapacity) fillLeftoverCapacity(heartbeat, ofRank);
        first = last;
    }
}

/// Starts the gang tasks that are planned on the machine. Their capacity is accounted for already.
void DegradedFirstScheduler::startPlannedTasks(HeartbeatHandling& heartbeat, Fleet& fleet) {
    for (auto& [key, placement] : heartbeat.machine.placements) {
        if (placement.state != PlacementState::planned) continue;
        if (heartbeat.commands.size() >= kMaxCommandsForStart) continue;
        placement.sentSequence = heartbeat.machine.agent.sequence;
        fleet.setState(placement, PlacementState::sent, heartbeat.now);
        ++placement.job->run->launchedTasks;
        heartbeat.commands.push_back(startCommand(*placement.job, placement.task, placement.attempt));
    }
}

/// For the jobs of one rank: all cached tasks that fit, and a paced fetch unless the heartbeat has one.
void DegradedFirstScheduler::startCachedAndPaced(HeartbeatHandling& heartbeat, JobSpan jobs) {
    auto& machine = heartbeat.machine;
    for (auto* job : jobs) {
        if (!mightFit(*job, machine)) continue;
        if (!context_.constraints.mayStart(*job, machine, heartbeat.now)) continue;
        if (machine.hasImage(job->image())) {
            while (startOneTask(heartbeat, *job)) {
            }
            continue;
        }
        if (!mayStartPacedFetch(heartbeat, *job) || !startOneTask(heartbeat, *job)) continue;
        heartbeat.pacedFetchStarted = true;
        context_.pacing.recordFetch(*job, machine.zone, heartbeat.now);
    }
}

bool DegradedFirstScheduler::mayStartPacedFetch(const HeartbeatHandling& heartbeat, Job& job) {
    const auto now = heartbeat.now;
    if (context_.images.waitsForImage(job, now) || heartbeat.pacedFetchStarted) return false;
    if (heartbeat.machine.isFetching(job.image())) return false;
    if (!context_.pacing.allows(job, heartbeat.machine, now)) return false;
    return context_.images.capacityWithImage(job, now) < job.run->waiting;
}

/// For the jobs of one rank: the capacity left over takes any waiting tasks, also such that fetch.
void DegradedFirstScheduler::fillLeftoverCapacity(HeartbeatHandling& heartbeat, JobSpan jobs) {
    auto& machine = heartbeat.machine;
    for (auto* job : jobs) {
        if (!mightFit(*job, machine) || machine.hasImage(job->image())) continue;
        if (!context_.constraints.mayStart(*job, machine, heartbeat.now)) continue;
        if (context_.images.waitsForImage(*job, heartbeat.now)) continue;
        startFetchingTasks(heartbeat, *job);
    }
}

/// Starts the waiting tasks that do not fit on machines with the image. They share one fetch.
void DegradedFirstScheduler::startFetchingTasks(HeartbeatHandling& heartbeat, Job& job) {
    auto& machine = heartbeat.machine;
    const auto waiting = job.run->waiting;
    const auto fitElsewhere = context_.images.capacityWithImage(job, heartbeat.now);
    bool fetching = machine.isFetching(job.image());
    for (auto left = fitElsewhere; left < waiting && startOneTask(heartbeat, job); ++left) {
        if (!fetching) context_.pacing.recordFetch(job, machine.zone, heartbeat.now);
        fetching = true;
    }
}

/// Starts a waiting task of the job on the machine, whether or not that has the image. False if none may
/// start there.
bool DegradedFirstScheduler::startOneTask(HeartbeatHandling& heartbeat, Job& job) {
    if (!mayStartOneTask(heartbeat, job)) return false;
    const auto task = job.firstWaiting();
    if (!task) return false;
    auto& machine = heartbeat.machine;
    auto& run = *job.run;
    const auto attempt = context_.attempts.next();
    auto& placement = context_.fleet.place(machine, job, *task, attempt, PlacementState::sent, heartbeat.now);
    placement.sentSequence = machine.agent.sequence;
    if (run.overdue && run.launchedTasks == 0 && job.doneCount == 0) run.firstOverdueTask = *task;
    ++run.launchedTasks;
    if (job.spec.kind == JobKind::gang) run.gangAttempt = attempt;
    if (machine.reservation.job == &job) context_.fleet.cancelReservation(machine);
    machine.history.lastBusyAt = heartbeat.now;
    spdlog::debug("task started job={} task={} attempt={} machine={} incarnation={} sequence={}", job.spec.id,
                  *task, attempt, machine.id, machine.agent.incarnation, machine.agent.sequence);
    heartbeat.commands.push_back(startCommand(job, *task, attempt));
    if (run.waiting == 0) context_.jobQueue.markStale();
    return true;
}

bool DegradedFirstScheduler::mayStartOneTask(const HeartbeatHandling& heartbeat, const Job& job) const {
    if (heartbeat.commands.size() >= kMaxCommandsForStart) return false;
    // Larger gangs are GangPlanner's. A gang of one task, too, has only one attempt at a time.
    const bool gang = job.spec.kind == JobKind::gang;
    if (gang && (job.spec.tasks > 1 || job.run->placedTotal > 0)) return false;
    if (!mayUse(heartbeat.machine, job, heartbeat.now)) return false;
    const auto available = availableCapacity(heartbeat.machine, job, heartbeat.now);
    return available.covers(bookkeeping::needOf(job.spec));
}

/// Do all constraints but capacity allow one more task of the job on the machine?
bool DegradedFirstScheduler::mayUse(const Machine& machine, const Job& job, Time now) const {
    if (!context_.constraints.mayStart(job, machine, now)) return false;
    if (blockedByUnreconciled(job, context_.fleet)) return false;
    return withinTeamQuota(job, 1, context_.fleet, context_.types);
}

/// Reserves the machine for the job if a task of it does not fit yet, but could in time. Otherwise capacity
/// that is freed bit by bit would always go to small tasks of low priority. Mostly this spares a preemption.
/// No more machines are reserved than the job has waiting tasks.
void DegradedFirstScheduler::reserveForLater(Machine& machine, const Job& job, Time now) {
    const auto& run = *job.run;
    if (run.waiting == 0 || machine.reservation.isActive(now) || bookkeeping::isLargeGang(job.spec)) return;
    const auto need = bookkeeping::needOf(job.spec);
    if (availableCapacity(machine, job, now).covers(need)) return;
    if (!capacityWithPreemption(machine, job, now).covers(need)) return;
    if (!mayUse(machine, job, now)) return;
    if (context_.fleet.reservations(job, now) >= run.waiting) return;
    const auto until = now + toClockDuration(context_.settings.heartbeatInterval * kReservedIntervals);
    context_.fleet.reserve(machine, job, until, ReservationKind::waiting);
}

}  // namespace burlpoint::coordination
