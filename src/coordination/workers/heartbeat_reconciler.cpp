#include "coordination/workers/heartbeat_reconciler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace burlpoint::coordination {

using bookkeeping::AttemptKey;
using bookkeeping::Job;
using bookkeeping::JobOrigin;
using bookkeeping::Machine;
using bookkeeping::Placement;
using bookkeeping::PlacementState;
using protocol::ExitReason;
using protocol::Heartbeat;
using protocol::JobKind;
using protocol::TaskState;
using protocol::TaskStatus;
using storage::TerminalState;

namespace {

// An array task keeps running on an interrupted machine if, by the time of the interruption, it will have run
// for at least this share of its estimated run time.
constexpr double kMinRunTimeShare = 0.7;

PlacementState placementState(TaskState state) {
    switch (state) {
        case TaskState::waiting:
            return PlacementState::waiting;
        case TaskState::running:
            return PlacementState::running;
        case TaskState::saving:
            return PlacementState::saving;
        default:
            return PlacementState::fetching;
    }
}

bool isPlanned(const Placement& placement) { return placement.state == PlacementState::planned; }

/// True if the array task is likely to be done before its machine is interrupted.
bool isWorthFinishing(const Placement& placement, Time interruptionAt, Time now) {
    const bool running = placement.state == PlacementState::running;
    const Seconds elapsed = running ? Seconds(now - placement.runningSince) : Seconds(0);
    const Seconds remaining = interruptionAt - now;
    return elapsed + remaining >= placement.job->spec.estimatedRunTime * kMinRunTimeShare;
}

}  // namespace

HeartbeatReconciler::HeartbeatReconciler(const ReconcilerContext& context) : context_(context) {}

void HeartbeatReconciler::apply(Machine& machine, const Heartbeat& heartbeat, StatusSource source, Time now) {
    if (heartbeat.incarnation > machine.agent.incarnation && machine.agent.acknowledged)
        endTasksOfEarlierIncarnation(machine, now);
    if (source == StatusSource::heartbeat && missedFirstResponses(machine, heartbeat))
        recordUndeliveredResponse(machine, now);
    recordMessage(machine, heartbeat, now);
    if (!machine.agent.acknowledged) return;
    reconcilePlacements(machine, heartbeat, source, now);
    if (machine.cloud.interruptionAt) drainForInterruption(machine, now);
    if (!machine.placements.empty()) machine.history.lastBusyAt = now;
}

/// Ends the placements of all tasks that were sent to the machine, since a restarted worker has killed and
/// forgotten them. Planned placements stay, as they have not been sent yet.
void HeartbeatReconciler::endTasksOfEarlierIncarnation(Machine& machine, Time now) {
    // A worker begins a new incarnation when it restarts or when its lease expires. By this leader's count
    // the lease was still valid, so the worker probably did not receive the responses that renewed it.
    if (machine.lease.active && machine.agent.incarnation > 0) recordUndeliveredResponse(machine, now);
    machine.history.recentStarts.clear();
    context_.completion.endIf(
        machine, [](const Placement& placement) { return !isPlanned(placement); }, now);
}

/// True if the machine has sent a heartbeat before and does not show the fencing token that was in the
/// response. WorkerLeases counts the responses to machines that are not reconciled.
bool HeartbeatReconciler::missedFirstResponses(const Machine& machine, const Heartbeat& heartbeat) const {
    return machine.agent.incarnation > 0 && machine.registry.reconciled && !machine.agent.acknowledged &&
           heartbeat.fencingToken < context_.fencingToken;
}

void HeartbeatReconciler::recordMessage(Machine& machine, const Heartbeat& heartbeat, Time now) {
    machine.agent.incarnation = heartbeat.incarnation;
    machine.agent.sequence = heartbeat.sequence;
    machine.agent.lastMessageAt = now;
    machine.address = heartbeat.address;
    if (!heartbeat.interruptionNotice)
        machine.cloud.interruptionAt.reset();
    else if (!machine.cloud.interruptionAt)
        machine.cloud.interruptionAt = now + toClockDuration(*heartbeat.interruptionNotice);
    recordFencingToken(machine, heartbeat.fencingToken);
}

void HeartbeatReconciler::recordFencingToken(Machine& machine, std::uint64_t token) {
    if (token != context_.fencingToken || machine.agent.acknowledged) return;
    machine.agent.acknowledged = true;
    machine.agent.undeliveredResponses = 0;
    machine.agent.unreachableSince.reset();
    context_.fleet.setReconciled(machine, true);
    context_.jobQueue.markStale();
}

/// Counts a response that was not delivered. After kMaxUndeliveredResponses in a row, the machine counts as
/// unreachable until one is delivered.
void HeartbeatReconciler::recordUndeliveredResponse(Machine& machine, Time now) {
    if (++machine.agent.undeliveredResponses < kMaxUndeliveredResponses || machine.agent.unreachableSince)
        return;
    spdlog::info("worker sends heartbeats but cannot be reached machine={}", machine.id);
    machine.agent.unreachableSince = now;
}

/// Adopts the tasks that the status lists and ends the placements that it does not list.
void HeartbeatReconciler::reconcilePlacements(Machine& machine, const Heartbeat& heartbeat,
                                              StatusSource source, Time now) {
    for (auto& [key, placement] : machine.placements) placement.listedInStatus = isPlanned(placement);
    for (const auto& task : heartbeat.tasks) applyTask(machine, task, now);
    bool startUndelivered = false;
    const auto isGone = [&](const Placement& placement) {
        // A start sent in the response to a heartbeat may still be in flight when the answer to a direct
        // command arrives. Only the worker's next heartbeat shows whether the start was delivered.
        const bool mayBeUndelivered =
            source == StatusSource::answer || heartbeat.sequence <= placement.sentSequence;
        const bool inFlight = placement.state == PlacementState::sent && mayBeUndelivered;
        if (placement.listedInStatus || inFlight) return false;
        if (placement.state != PlacementState::sent) return true;
        startUndelivered = true;
        machine.history.recentStarts.remove(attemptKeyOf(placement));
        return true;
    };
    context_.completion.endIf(machine, isGone, now);
    if (startUndelivered) recordUndeliveredResponse(machine, now);
}

void HeartbeatReconciler::applyTask(Machine& machine, const TaskStatus& task, Time now) {
    auto* job = context_.replica.find(task.attempt.job);
    if (!job || task.attempt.task >= job->spec.tasks) return;  // addCleanupCommands() stops it
    const AttemptKey key{job, task.attempt.task, task.attempt.number};
    if (task.state == TaskState::exited) return applyExit(machine, *job, key, task.exitReason, now);
    const auto state = placementState(task.state);
    const auto it = machine.placements.find(key);
    const bool known = it != machine.placements.end();
    if (known) recordProgress(machine, it->second, state, now);
    auto& placement = known ? it->second : adopt(machine, *job, key, state, now);
    placement.listedInStatus = true;
    if (state != PlacementState::fetching) {
        const double cacheGb = machine.typeInfo ? machine.typeInfo->cacheGb : 0;
        context_.fleet.recordImageUse(machine, job->image(), job->spec.imageGb, cacheGb);
    }
    stopIfObsolete(machine, placement);
}

/// Stops a task if its job is in a terminal state, or if another attempt of it, started by an earlier leader,
/// is done. Gang tasks are exempt from the latter, since they end together with their gang.
void HeartbeatReconciler::stopIfObsolete(Machine& machine, Placement& placement) {
    const Job& job = *placement.job;
    const bool terminated = job.terminalState != TerminalState::none;
    const bool doneElsewhere = job.isFinished(placement.task) && job.spec.kind != JobKind::gang;
    if (terminated || doneElsewhere) context_.terminator.stop(machine, placement, Seconds(0));
}

void HeartbeatReconciler::applyExit(Machine& machine, Job& job, const AttemptKey& key, ExitReason reason,
                                    Time now) {
    if (reason == ExitReason::done) recordTaskDone(job, key.task, now);
    if (machine.placements.contains(key)) context_.completion.end(machine, key, reason, now);
}

/// Adds a placement for an attempt that an earlier leader started.
Placement& HeartbeatReconciler::adopt(Machine& machine, Job& job, const AttemptKey& key, PlacementState state,
                                      Time now) {
    if (!job.run) context_.activator.begin(job, JobOrigin::inherited, now);
    auto& placement = context_.fleet.place(machine, job, key.task, key.attempt, state, now);
    if (job.spec.kind == JobKind::gang) job.run->gangAttempt = std::max(job.run->gangAttempt, key.attempt);
    context_.jobQueue.markStale();
    return placement;
}

/// Records that the worker reports the attempt in `state`.
void HeartbeatReconciler::recordProgress(Machine& machine, Placement& placement, PlacementState state,
                                         Time now) {
    if (placement.state == PlacementState::sent) {
        machine.agent.undeliveredResponses = 0;
        machine.agent.unreachableSince.reset();
    }
    if (placement.state == PlacementState::fetching && state != PlacementState::fetching)
        context_.pacing.recordFetchTime(now - placement.since);
    if (placement.state != state)
        spdlog::debug("attempt state changed job={} task={} machine={} from={} to={}", placement.job->spec.id,
                      placement.task, machine.id, static_cast<int>(placement.state), static_cast<int>(state));
    context_.fleet.setState(placement, state, now);
}

/// Records that a task is done, whichever attempt completed it. Its done bit must be stored before users see
/// the task as done.
void HeartbeatReconciler::recordTaskDone(Job& job, std::uint32_t task, Time now) {
    if (job.terminalState != TerminalState::none || job.spec.kind == JobKind::service) return;
    if (!job.run) context_.activator.begin(job, JobOrigin::inherited, now);
    if (!markFinished(job, task)) return;
    context_.writer.markUnstored(job);
    job.run->failures.clear();
}

/// Marks the task as finished; for a gang all of its tasks, since they complete together. Returns false if
/// they were marked before.
bool HeartbeatReconciler::markFinished(Job& job, std::uint32_t task) {
    if (job.spec.kind != JobKind::gang) return job.setFinished(task);
    bool newlyFinished = false;
    for (std::uint32_t each = 0; each < job.spec.tasks; ++each) newlyFinished |= job.setFinished(each);
    return newlyFinished;
}

/// Handles a spot interruption notice: no further tasks start, and tasks that would not be done by the time
/// of the interruption save their progress or stop.
void HeartbeatReconciler::drainForInterruption(Machine& machine, Time now) {
    machine.cloud.draining = true;
    for (auto& [key, placement] : machine.placements)
        if (!isPlanned(placement)) stopForInterruption(machine, placement, now);
    context_.completion.endIf(machine, isPlanned, now);
}

void HeartbeatReconciler::stopForInterruption(Machine& machine, Placement& placement, Time now) {
    const auto& spec = placement.job->spec;
    if (bookkeeping::isMultiTaskGang(spec)) {
        // A gang can save its progress only if all of its tasks are stopped within a short time. Stopping one
        // task alone would lose the progress of all.
        context_.terminator.stopJob(*placement.job, spec.saveTime, now);
    } else if (spec.checkpointInterval > Seconds(0)) {
        context_.terminator.stop(machine, placement, spec.saveTime);
    } else if (spec.kind != JobKind::array ||
               !isWorthFinishing(placement, *machine.cloud.interruptionAt, now)) {
        context_.terminator.stop(machine, placement, Seconds(0));
    }
}

}  // namespace burlpoint::coordination
