#include "coordination/scheduling/degraded_first_scheduler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdint>
#include <optional>

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

// No start is added to a response that has this many commands, stops included. This keeps the response well
// below 64 KiB.
constexpr std::size_t kMaxCommandsForStart = 250;
// Heartbeat intervals for which capacity is reserved for a waiting job.
constexpr int kReservationIntervals = 3;

WorkerCommand startCommand(const Job& job, std::uint32_t task, std::uint64_t attempt) {
    return {CommandKind::start, {job.spec.id, task, attempt}, Seconds(0)};
}

/// The first job after `first` whose rank differs from that of `first`, or `end`.
auto endOfRank(std::vector<Job*>::const_iterator first, std::vector<Job*>::const_iterator end) {
    const auto rank = rankOf(**first);
    return std::find_if(first, end, [&](const Job* job) { return rankOf(*job) != rank; });
}

/// True if the job has a waiting task that fits into the machine's unused capacity, reservations ignored.
/// This is the cheapest check, so it is made first.
bool mightFit(const Job& job, const Machine& machine) {
    return job.run->waiting > 0 && hasFreeCapacity(machine, job);
}

/// The first waiting task of which the worker does not list an attempt that has just ended: it would refuse
/// another one.
std::optional<std::uint32_t> taskToStart(const Machine& machine, Job& job, Time now) {
    auto task = job.firstWaiting();
    while (task && machine.history.recentStarts.containsTask(job, *task, now))
        task = job.firstWaitingFrom(*task + 1);
    return task;
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
            for (const auto* job : ofRank) reserveForWaitingJob(machine, *job, now);
        if (hasCapacity) fillLeftoverCapacity(heartbeat, ofRank);
        first = last;
    }
}

/// Starts the gang tasks that are planned on the machine. The fleet already counts their capacity as used.
void DegradedFirstScheduler::startPlannedTasks(HeartbeatHandling& heartbeat, Fleet& fleet) {
    for (auto& [key, placement] : heartbeat.machine.placements) {
        if (placement.state != PlacementState::planned) continue;
        if (heartbeat.commands.size() >= kMaxCommandsForStart) continue;
        placement.sentSequence = heartbeat.machine.agent.sequence;
        heartbeat.machine.history.recentStarts.record(key, heartbeat.now);
        fleet.setState(placement, PlacementState::sent, heartbeat.now);
        ++placement.job->run->launchedTasks;
        heartbeat.commands.push_back(startCommand(*placement.job, placement.task, placement.attempt));
    }
}

/// For the jobs of one rank, starts all cached tasks that fit, and one paced fetch unless one has been
/// started for this heartbeat.
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

/// For the jobs of one rank, fills the remaining capacity with waiting tasks that need a fetch, without
/// pacing.
void DegradedFirstScheduler::fillLeftoverCapacity(HeartbeatHandling& heartbeat, JobSpan jobs) {
    auto& machine = heartbeat.machine;
    for (auto* job : jobs) {
        if (!mightFit(*job, machine) || machine.hasImage(job->image())) continue;
        if (!context_.constraints.mayStart(*job, machine, heartbeat.now)) continue;
        if (context_.images.waitsForImage(*job, heartbeat.now)) continue;
        startFetchingTasks(heartbeat, *job);
    }
}

/// Starts the waiting tasks that do not fit on machines with the image. All of them share one fetch.
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

/// Starts a waiting task of the job on the machine, whether or not the machine has the image. Returns false
/// if no task may start there.
bool DegradedFirstScheduler::startOneTask(HeartbeatHandling& heartbeat, Job& job) {
    if (!mayStartOneTask(heartbeat, job)) return false;
    auto& machine = heartbeat.machine;
    const auto task = taskToStart(machine, job, heartbeat.now);
    if (!task) return false;
    auto& run = *job.run;
    const auto attempt = context_.attempts.next();
    auto& placement = context_.fleet.place(machine, job, *task, attempt, PlacementState::sent, heartbeat.now);
    placement.sentSequence = machine.agent.sequence;
    machine.history.recentStarts.record({&job, *task, attempt}, heartbeat.now);
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
    // GangPlanner places gangs of several tasks. A gang of one task may have only one attempt at a time.
    const bool gang = job.spec.kind == JobKind::gang;
    if (gang && (job.spec.tasks > 1 || job.run->placedTotal > 0)) return false;
    if (!mayUse(heartbeat.machine, job, heartbeat.now)) return false;
    const auto available = availableCapacity(heartbeat.machine, job, heartbeat.now);
    return available.covers(bookkeeping::needOf(job.spec));
}

/// True if all constraints except capacity allow one more task of the job on the machine.
bool DegradedFirstScheduler::mayUse(const Machine& machine, const Job& job, Time now) const {
    if (!context_.constraints.mayStart(job, machine, now)) return false;
    if (blockedByUnreconciled(job, context_.fleet)) return false;
    return withinTeamQuota(job, 1, context_.fleet, context_.types);
}

/// Reserves the machine for the job if a task of the job does not fit yet but would fit once tasks that the
/// job may preempt have ended. Without the reservation, capacity that is freed in small amounts would always
/// go to small tasks of low priority. In most cases this avoids a preemption. The number of machines reserved
/// is at most the number of the job's waiting tasks.
void DegradedFirstScheduler::reserveForWaitingJob(Machine& machine, const Job& job, Time now) {
    const auto& run = *job.run;
    if (run.waiting == 0 || machine.reservation.isActive(now) || bookkeeping::isMultiTaskGang(job.spec))
        return;
    const auto need = bookkeeping::needOf(job.spec);
    if (availableCapacity(machine, job, now).covers(need)) return;
    if (!capacityWithPreemption(machine, job, now).covers(need)) return;
    if (!mayUse(machine, job, now)) return;
    if (context_.fleet.reservedMachineCount(job, now) >= run.waiting) return;
    const auto until = now + toClockDuration(context_.settings.heartbeatInterval * kReservationIntervals);
    context_.fleet.reserve(machine, job, until, ReservationKind::waiting);
}

}  // namespace burlpoint::coordination
