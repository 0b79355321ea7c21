#include "coordination/report_reconciler.h"

#include <spdlog/spdlog.h>

namespace burlpoint::coordination {

using bookkeeping::AttemptKey;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::Placement;
using bookkeeping::PlacementState;
using protocol::ExitReason;
using protocol::Kind;
using protocol::Report;
using protocol::Seconds;
using protocol::TaskReport;
using protocol::TaskState;
using storage::Final;
using transport::Clock;
using transport::Time;

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

ReportReconciler::ReportReconciler(const ReconcilerContext& context) : context_(context) {}

void ReportReconciler::apply(Machine& machine, const Report& report, MessageKind kind, Time now) {
    if (report.session > machine.session && machine.acknowledged) {
        if (machine.reports && machine.session > 0) noteUndelivered(machine, now);
        // The worker killed and forgot all its tasks; planned ones never reached it.
        context_.ends.endIf(
            machine, [](const Placement& placement) { return !isPlanned(placement); }, now);
    }
    noteMessage(machine, report, now);
    if (!machine.acknowledged) return;
    settlePlacements(machine, report, kind, now);
    if (machine.recallAt) drainForRecall(machine, now);
    if (!machine.placements.empty()) machine.busyUntil = now;
}

void ReportReconciler::noteMessage(Machine& machine, const Report& report, Time now) {
    machine.session = report.session;
    machine.sequence = report.sequence;
    machine.newestAt = now;
    machine.address = report.address;
    if (!report.notice)
        machine.recallAt.reset();
    else if (!machine.recallAt)
        machine.recallAt = now + std::chrono::duration_cast<Clock::duration>(*report.notice);
    if (report.token == context_.token && !machine.acknowledged) {
        machine.acknowledged = true;
        context_.fleet.setReconciled(machine, true);
        context_.order.markStale();
    }
}

/// What was sent to the machine has not arrived. After a few times it counts as unreachable until it answers.
void ReportReconciler::noteUndelivered(Machine& machine, Time now) {
    if (++machine.undelivered < kMaxUndelivered || machine.unreachableSince) return;
    spdlog::info("{} reports but nothing reaches it", machine.id);
    machine.unreachableSince = now;
}

/// Brings what is taken to be on the machine in line with the report's list.
void ReportReconciler::settlePlacements(Machine& machine, const Report& report, MessageKind kind, Time now) {
    for (auto& [key, placement] : machine.placements) placement.seen = isPlanned(placement);
    for (const auto& task : report.tasks) applyTask(machine, task, now);
    bool undelivered = false;
    const auto isGone = [&](const Placement& placement) {
        // A start that left with a report's response may still be on its way when a direct command's reply
        // comes in. Only the worker's next report shows that it was taken or dropped.
        const bool mayBeOnItsWay = kind == MessageKind::answer || report.sequence <= placement.sentSequence;
        const bool inFlight = placement.state == PlacementState::sent && mayBeOnItsWay;
        const bool gone = !placement.seen && !inFlight;
        undelivered |= gone && placement.state == PlacementState::sent;
        return gone;
    };
    context_.ends.endIf(machine, isGone, now);
    if (undelivered) noteUndelivered(machine, now);
}

void ReportReconciler::applyTask(Machine& machine, const TaskReport& task, Time now) {
    auto* job = context_.replica.find(task.attempt.job);
    if (!job || task.attempt.task >= job->spec.tasks) return;  // addSettlingOrders() has it stopped
    const AttemptKey key{job, task.attempt.task, task.attempt.number};
    if (task.state == TaskState::exited) return applyExit(machine, *job, key, task.why, now);
    const auto state = placementState(task.state);
    const auto at = machine.placements.find(key);
    const bool known = at != machine.placements.end();
    if (known) noteProgress(machine, at->second, state, now);
    auto& placement = known ? at->second : adopt(machine, *job, key, state, now);
    placement.seen = true;
    if (state != PlacementState::fetching) {
        const double cacheGb = machine.kind ? machine.kind->cacheGb : 0;
        context_.fleet.useImage(machine, job->image(), job->spec.imageGb, cacheGb);
    }
    // Cancelled, or done elsewhere under an earlier leader. Gang tasks end with their gang.
    const bool over = job->final != Final::open;
    const bool doneElsewhere = job->isFinished(key.task) && job->spec.kind != Kind::gang;
    if (over || doneElsewhere) context_.stopper.stop(machine, placement, Seconds(0));
}

void ReportReconciler::applyExit(Machine& machine, Job& job, const AttemptKey& key, ExitReason why,
                                 Time now) {
    if (why == ExitReason::done) noteTaskDone(job, key.task, now);
    if (machine.placements.contains(key)) context_.ends.end(machine, key, why, now);
}

/// An attempt that an earlier leader started.
Placement& ReportReconciler::adopt(Machine& machine, Job& job, const AttemptKey& key, PlacementState state,
                                   Time now) {
    if (!job.run) context_.runs.begin(job, true, now);
    auto& placement = context_.fleet.place(machine, job, key.task, key.attempt, state, now);
    if (job.spec.kind == Kind::gang) job.run->gangAttempt = std::max(job.run->gangAttempt, key.attempt);
    context_.order.markStale();
    return placement;
}

/// A report shows the attempt in `state`.
void ReportReconciler::noteProgress(Machine& machine, Placement& placement, PlacementState state, Time now) {
    if (placement.state == PlacementState::sent) {
        machine.undelivered = 0;
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
void ReportReconciler::noteTaskDone(Job& job, std::uint32_t task, Time now) {
    if (job.final != Final::open || job.spec.kind == Kind::service) return;
    if (!job.run) context_.runs.begin(job, true, now);
    bool fresh = false;
    if (job.spec.kind == Kind::gang) {
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
void ReportReconciler::drainForRecall(Machine& machine, Time now) {
    machine.draining = true;
    for (auto& [key, placement] : machine.placements)
        if (!isPlanned(placement)) stopForRecall(machine, placement, now);
    context_.ends.endIf(machine, isPlanned, now);
}

void ReportReconciler::stopForRecall(Machine& machine, Placement& placement, Time now) {
    const auto& spec = placement.job->spec;
    if (bookkeeping::isLargeGang(spec)) {
        // Its save needs all of them told within a short time; one alone would lose the progress of all.
        context_.stopper.stopJob(*placement.job, spec.save, now);
    } else if (spec.checkpoint > Seconds(0)) {
        context_.stopper.stop(machine, placement, spec.save);
    } else if (spec.kind != Kind::array) {
        context_.stopper.stop(machine, placement, Seconds(0));
    } else {
        const bool running = placement.state == PlacementState::running;
        const Seconds ran = running ? Seconds(now - placement.runningSince) : Seconds(0);
        const Seconds left = *machine.recallAt - now;
        if (ran + left < spec.estimate * kWorthFinishing)
            context_.stopper.stop(machine, placement, Seconds(0));
    }
}

}  // namespace burlpoint::coordination
