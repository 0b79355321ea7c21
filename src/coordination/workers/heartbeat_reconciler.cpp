#include "coordination/workers/heartbeat_reconciler.h"

#include <spdlog/spdlog.h>

namespace burlpoint::coordination {

using bookkeeping::AttemptKey;
using bookkeeping::Job;
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

// A task of an array goes on until its machine is taken if it should have done so much of its estimate by
// then.
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

}  // namespace

HeartbeatReconciler::HeartbeatReconciler(const ReconcilerContext& context) : context_(context) {}

void HeartbeatReconciler::apply(Machine& machine, const Heartbeat& heartbeat, StatusSource kind, Time now) {
    if (heartbeat.incarnation > machine.incarnation && machine.acknowledged) {
        if (machine.sendsHeartbeats && machine.incarnation > 0) noteUndeliveredResponse(machine, now);
        // The worker killed and forgot all its tasks; planned ones never reached it.
        context_.ends.endIf(
            machine, [](const Placement& placement) { return !isPlanned(placement); }, now);
    }
    noteMessage(machine, heartbeat, now);
    if (!machine.acknowledged) return;
    settlePlacements(machine, heartbeat, kind, now);
    if (machine.interruptionAt) drainForInterruption(machine, now);
    if (!machine.placements.empty()) machine.lastBusyAt = now;
}

void HeartbeatReconciler::noteMessage(Machine& machine, const Heartbeat& heartbeat, Time now) {
    machine.incarnation = heartbeat.incarnation;
    machine.sequence = heartbeat.sequence;
    machine.lastMessageAt = now;
    machine.address = heartbeat.address;
    if (!heartbeat.interruptionNotice)
        machine.interruptionAt.reset();
    else if (!machine.interruptionAt)
        machine.interruptionAt =
            now + std::chrono::duration_cast<Clock::duration>(*heartbeat.interruptionNotice);
    if (heartbeat.fencingToken == context_.fencingToken && !machine.acknowledged) {
        machine.acknowledged = true;
        context_.fleet.setReconciled(machine, true);
        context_.jobQueue.markStale();
    }
}

/// What was sent to the machine has not arrived. After a few times it counts as unreachable until it answers.
void HeartbeatReconciler::noteUndeliveredResponse(Machine& machine, Time now) {
    if (++machine.undeliveredResponses < kMaxUndeliveredResponses || machine.unreachableSince) return;
    spdlog::info("{} reports but nothing reaches it", machine.id);
    machine.unreachableSince = now;
}

/// Brings what is taken to be on the machine in line with the heartbeat's list.
void HeartbeatReconciler::settlePlacements(Machine& machine, const Heartbeat& heartbeat, StatusSource kind,
                                           Time now) {
    for (auto& [key, placement] : machine.placements) placement.seen = isPlanned(placement);
    for (const auto& task : heartbeat.tasks) applyTask(machine, task, now);
    bool undeliveredResponses = false;
    const auto isGone = [&](const Placement& placement) {
        // A start that left with a heartbeat's response may still be on its way when a direct command's reply
        // comes in. Only the worker's next heartbeat shows that it was taken or dropped.
        const bool mayBeOnItsWay =
            kind == StatusSource::answer || heartbeat.sequence <= placement.sentSequence;
        const bool inFlight = placement.state == PlacementState::sent && mayBeOnItsWay;
        const bool gone = !placement.seen && !inFlight;
        undeliveredResponses |= gone && placement.state == PlacementState::sent;
        return gone;
    };
    context_.ends.endIf(machine, isGone, now);
    if (undeliveredResponses) noteUndeliveredResponse(machine, now);
}

void HeartbeatReconciler::applyTask(Machine& machine, const TaskStatus& task, Time now) {
    auto* job = context_.replica.find(task.attempt.job);
    if (!job || task.attempt.task >= job->spec.tasks) return;  // addSettlingCommands() has it stopped
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
    // Cancelled, or done elsewhere under an earlier leader. Gang tasks end with their gang.
    const bool over = job->terminalState != TerminalState::none;
    const bool doneElsewhere = job->isFinished(key.task) && job->spec.kind != JobKind::gang;
    if (over || doneElsewhere) context_.terminator.stop(machine, placement, Seconds(0));
}

void HeartbeatReconciler::applyExit(Machine& machine, Job& job, const AttemptKey& key, ExitReason why,
                                    Time now) {
    if (why == ExitReason::done) noteTaskDone(job, key.task, now);
    if (machine.placements.contains(key)) context_.ends.end(machine, key, why, now);
}

/// An attempt that an earlier leader started.
Placement& HeartbeatReconciler::adopt(Machine& machine, Job& job, const AttemptKey& key, PlacementState state,
                                      Time now) {
    if (!job.run) context_.runs.begin(job, JobOrigin::inherited, now);
    auto& placement = context_.fleet.place(machine, job, key.task, key.attempt, state, now);
    if (job.spec.kind == JobKind::gang) job.run->gangAttempt = std::max(job.run->gangAttempt, key.attempt);
    context_.jobQueue.markStale();
    return placement;
}

/// A heartbeat shows the attempt in `state`.
void HeartbeatReconciler::noteProgress(Machine& machine, Placement& placement, PlacementState state,
                                       Time now) {
    if (placement.state == PlacementState::sent) {
        machine.undeliveredResponses = 0;
        machine.unreachableSince.reset();
    }
    if (placement.state == PlacementState::fetching && state != PlacementState::fetching)
        context_.pacing.recordFetchTime(now - placement.since);
    if (placement.state != state)
        spdlog::debug("{}/{} on {} turns from {} to {}", placement.job->spec.id, placement.task, machine.id,
                      static_cast<int>(placement.state), static_cast<int>(state));
    context_.fleet.setState(placement, state, now);
}

/// The task is done, whichever attempt did it. Its bit is to be stored before anybody hears of it.
void HeartbeatReconciler::noteTaskDone(Job& job, std::uint32_t task, Time now) {
    if (job.terminalState != TerminalState::none || job.spec.kind == JobKind::service) return;
    if (!job.run) context_.runs.begin(job, JobOrigin::inherited, now);
    bool fresh = false;
    if (job.spec.kind == JobKind::gang) {
        // They complete together: when one is done, all are.
        for (std::uint32_t each = 0; each < job.spec.tasks; ++each) fresh |= job.finish(each);
    } else {
        fresh = job.finish(task);
    }
    if (!fresh) return;
    context_.writer.noteUnstored(job);
    job.run->errorMachines.clear();
    job.run->succeeded = true;
}

/// The cloud takes the machine back: what would not be done by then saves or stops, and nothing new starts.
void HeartbeatReconciler::drainForInterruption(Machine& machine, Time now) {
    machine.draining = true;
    for (auto& [key, placement] : machine.placements)
        if (!isPlanned(placement)) stopForInterruption(machine, placement, now);
    context_.ends.endIf(machine, isPlanned, now);
}

void HeartbeatReconciler::stopForInterruption(Machine& machine, Placement& placement, Time now) {
    const auto& spec = placement.job->spec;
    if (bookkeeping::isLargeGang(spec)) {
        // Its save needs all of them told within a short time; one alone would lose the progress of all.
        context_.terminator.stopJob(*placement.job, spec.saveTime, now);
    } else if (spec.checkpointInterval > Seconds(0)) {
        context_.terminator.stop(machine, placement, spec.saveTime);
    } else if (spec.kind != JobKind::array) {
        context_.terminator.stop(machine, placement, Seconds(0));
    } else {
        const bool running = placement.state == PlacementState::running;
        const Seconds ran = running ? Seconds(now - placement.runningSince) : Seconds(0);
        const Seconds left = *machine.interruptionAt - now;
        if (ran + left < spec.estimatedRunTime * kWorthFinishing)
            context_.terminator.stop(machine, placement, Seconds(0));
    }
}

}  // namespace burlpoint::coordination
