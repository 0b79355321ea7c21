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

// A task of an array keeps running on an interrupted machine if it will have run for this share of its
// estimated run time when the machine is taken.
constexpr double kWorthFinishing = 0.7;

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

/// Is the array task likely to be done when its machine is interrupted?
bool isWorthFinishing(const Placement& placement, Time interruptionAt, Time now) {
    const bool running = placement.state == PlacementState::running;
    const Seconds ran = running ? Seconds(now - placement.runningSince) : Seconds(0);
    const Seconds left = interruptionAt - now;
    return ran + left >= placement.job->spec.estimatedRunTime * kWorthFinishing;
}

}  // namespace

HeartbeatReconciler::HeartbeatReconciler(const ReconcilerContext& context) : context_(context) {}

void HeartbeatReconciler::apply(Machine& machine, const Heartbeat& heartbeat, StatusSource source, Time now) {
    if (heartbeat.incarnation > machine.agent.incarnation && machine.agent.acknowledged)
        endTasksOfEarlierIncarnation(machine, now);
    noteMessage(machine, heartbeat, now);
    if (!machine.agent.acknowledged) return;
    reconcilePlacements(machine, heartbeat, source, now);
    if (machine.cloud.interruptionAt) drainForInterruption(machine, now);
    if (!machine.placements.empty()) machine.history.lastBusyAt = now;
}

/// A new incarnation of the worker has killed and forgotten all tasks. Planned ones had not been sent.
void HeartbeatReconciler::endTasksOfEarlierIncarnation(Machine& machine, Time now) {
    // Its lease should not have expired yet, so probably it did not get the responses that renewed it.
    if (machine.lease.active && machine.agent.incarnation > 0) noteUndeliveredResponse(machine, now);
    context_.completion.endIf(
        machine, [](const Placement& placement) { return !isPlanned(placement); }, now);
}

void HeartbeatReconciler::noteMessage(Machine& machine, const Heartbeat& heartbeat, Time now) {
    machine.agent.incarnation = heartbeat.incarnation;
    machine.agent.sequence = heartbeat.sequence;
    machine.agent.lastMessageAt = now;
    machine.address = heartbeat.address;
    if (!heartbeat.interruptionNotice)
        machine.cloud.interruptionAt.reset();
    else if (!machine.cloud.interruptionAt)
        machine.cloud.interruptionAt = now + toClockDuration(*heartbeat.interruptionNotice);
    noteFencingToken(machine, heartbeat.fencingToken);
}

void HeartbeatReconciler::noteFencingToken(Machine& machine, std::uint64_t token) {
    if (token != context_.fencingToken || machine.agent.acknowledged) return;
    machine.agent.acknowledged = true;
    context_.fleet.setReconciled(machine, true);
    context_.jobQueue.markStale();
}

/// A response to the machine did not arrive. After a few in a row it counts as unreachable until it answers.
void HeartbeatReconciler::noteUndeliveredResponse(Machine& machine, Time now) {
    if (++machine.agent.undeliveredResponses < kMaxUndeliveredResponses || machine.agent.unreachableSince)
        return;
    spdlog::info("worker sends heartbeats but cannot be reached machine={}", machine.id);
    machine.agent.unreachableSince = now;
}

/// Adopts what the status lists and ends what it lacks.
void HeartbeatReconciler::reconcilePlacements(Machine& machine, const Heartbeat& heartbeat,
                                              StatusSource source, Time now) {
    for (auto& [key, placement] : machine.placements) placement.seen = isPlanned(placement);
    for (const auto& task : heartbeat.tasks) applyTask(machine, task, now);
    bool startUndelivered = false;
    const auto isGone = [&](const Placement& placement) {
        // A start that left with a heartbeat's response may still be on its way when the answer to a direct
        // command arrives. Only the worker's next heartbeat shows whether the start arrived.
        const bool mayBeOnItsWay =
            source == StatusSource::answer || heartbeat.sequence <= placement.sentSequence;
        const bool inFlight = placement.state == PlacementState::sent && mayBeOnItsWay;
        const bool gone = !placement.seen && !inFlight;
        startUndelivered |= gone && placement.state == PlacementState::sent;
        return gone;
    };
    context_.completion.endIf(machine, isGone, now);
    if (startUndelivered) noteUndeliveredResponse(machine, now);
}

void HeartbeatReconciler::applyTask(Machine& machine, const TaskStatus& task, Time now) {
    auto* job = context_.replica.find(task.attempt.job);
    if (!job || task.attempt.task >= job->spec.tasks) return;  // addCleanupCommands() has it stopped
    const AttemptKey key{job, task.attempt.task, task.attempt.number};
    if (task.state == TaskState::exited) return applyExit(machine, *job, key, task.why, now);
    const auto state = placementState(task.state);
    const auto at = machine.placements.find(key);
    const bool known = at != machine.placements.end();
    if (known) noteProgress(machine, at->second, state, now);
    auto& placement = known ? at->second : adopt(machine, *job, key, state, now);
    placement.seen = true;
    if (state != PlacementState::fetching) {
        const double cacheGb = machine.typeInfo ? machine.typeInfo->cacheGb : 0;
        context_.fleet.useImage(machine, job->image(), job->spec.imageGb, cacheGb);
    }
    stopIfObsolete(machine, placement);
}

/// Stops a task whose job was cancelled or that is done elsewhere, under an earlier leader. Gang tasks end
/// with their gang.
void HeartbeatReconciler::stopIfObsolete(Machine& machine, Placement& placement) {
    const Job& job = *placement.job;
    const bool terminated = job.terminalState != TerminalState::none;
    const bool doneElsewhere = job.isFinished(placement.task) && job.spec.kind != JobKind::gang;
    if (terminated || doneElsewhere) context_.terminator.stop(machine, placement, Seconds(0));
}

void HeartbeatReconciler::applyExit(Machine& machine, Job& job, const AttemptKey& key, ExitReason reason,
                                    Time now) {
    if (reason == ExitReason::done) noteTaskDone(job, key.task, now);
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

/// The status shows the attempt in `state`.
void HeartbeatReconciler::noteProgress(Machine& machine, Placement& placement, PlacementState state,
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

/// The task is done, whichever attempt did it. Its bit has to be stored before users are told.
void HeartbeatReconciler::noteTaskDone(Job& job, std::uint32_t task, Time now) {
    if (job.terminalState != TerminalState::none || job.spec.kind == JobKind::service) return;
    if (!job.run) context_.activator.begin(job, JobOrigin::inherited, now);
    if (!finish(job, task)) return;
    context_.writer.noteUnstored(job);
    job.run->errorMachines.clear();
    job.run->succeeded = true;
}

/// Marks the task as finished, and with a task of a gang all tasks of it, as they complete together. False if
/// that was known.
bool HeartbeatReconciler::finish(Job& job, std::uint32_t task) {
    if (job.spec.kind != JobKind::gang) return job.finish(task);
    bool fresh = false;
    for (std::uint32_t each = 0; each < job.spec.tasks; ++each) fresh |= job.finish(each);
    return fresh;
}

/// A spot interruption notice: tasks that would not be done by then save or stop, and nothing new starts.
void HeartbeatReconciler::drainForInterruption(Machine& machine, Time now) {
    machine.cloud.draining = true;
    for (auto& [key, placement] : machine.placements)
        if (!isPlanned(placement)) stopForInterruption(machine, placement, now);
    context_.completion.endIf(machine, isPlanned, now);
}

void HeartbeatReconciler::stopForInterruption(Machine& machine, Placement& placement, Time now) {
    const auto& spec = placement.job->spec;
    if (bookkeeping::isLargeGang(spec)) {
        // A gang saves only if all its tasks are stopped within a short time; stopping one alone would lose
        // the progress of all.
        context_.terminator.stopJob(*placement.job, spec.saveTime, now);
    } else if (spec.checkpointInterval > Seconds(0)) {
        context_.terminator.stop(machine, placement, spec.saveTime);
    } else if (spec.kind != JobKind::array ||
               !isWorthFinishing(placement, *machine.cloud.interruptionAt, now)) {
        context_.terminator.stop(machine, placement, Seconds(0));
    }
}

}  // namespace burlpoint::coordination
