#include "coordination/workers/attempt_completion.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/scheduling/placement_constraints.h"

namespace burlpoint::coordination {

using bookkeeping::AttemptKey;
using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::kFaultyJobMachines;
using bookkeeping::Machine;
using bookkeeping::Placement;
using protocol::ExitReason;
using protocol::JobKind;
using storage::TerminalState;
using namespace std::chrono_literals;

namespace {

constexpr Clock::duration kFailureBackoff = 5s;
constexpr Clock::duration kMaxFailureBackoff = 60s;
constexpr Clock::duration kRefusalBackoff = 2s;

bool noTaskPlacedOrFinished(const Job& job) {
    return job.run->placedTotal == 0 && job.doneCount == 0 && job.run->unpersistedTasks.empty();
}

/// True if the worker did not begin the attempt, according to its exit reason.
bool neverBegan(ExitReason reason) {
    return reason == ExitReason::none || reason == ExitReason::machineFull || reason == ExitReason::busy;
}

}  // namespace

AttemptCompletion::AttemptCompletion(Fleet& fleet, const GangPlanner& gangPlanner, JobQueue& jobQueue,
                                     TaskTerminator& terminator)
    : fleet_(fleet), gangPlanner_(gangPlanner), jobQueue_(jobQueue), terminator_(terminator) {}

void AttemptCompletion::end(Machine& machine, const AttemptKey& key, ExitReason reason, Time now) {
    const auto it = machine.placements.find(key);
    const Placement placement = it->second;
    fleet_.remove(machine, it);
    handleEnded(machine, placement, reason, now);
}

void AttemptCompletion::endIf(Machine& machine, const std::function<bool(const Placement&)>& isGone,
                              Time now) {
    for (auto it = machine.placements.begin(); it != machine.placements.end();) {
        if (!isGone(it->second)) {
            ++it;
            continue;
        }
        const auto key = it->first;
        end(machine, key, ExitReason::none, now);
        // end() may also have removed other placements of the same gang, which invalidates `it`.
        it = machine.placements.upper_bound(key);
    }
}

void AttemptCompletion::endAll(Machine& machine, Time now) {
    fleet_.setReconciled(machine, true);
    jobQueue_.markStale();
    fleet_.removeAll(
        machine, [&](const Placement& placement) { handleEnded(machine, placement, ExitReason::none, now); });
}

/// Must be called after the placement has been removed from the machine.
void AttemptCompletion::handleEnded(Machine& machine, const Placement& placement, ExitReason reason,
                                    Time now) {
    Job& job = *placement.job;
    jobQueue_.markStale();
    spdlog::debug("attempt ended job={} task={} attempt={} machine={} state={} reason={}", job.spec.id,
                  placement.task, placement.attempt, machine.id, static_cast<int>(placement.state),
                  static_cast<int>(reason));
    if (machine.placements.empty()) machine.history.lastBusyAt = now;
    applyExitReason(machine, job, reason, now);
    if (job.terminalState != TerminalState::none) return;
    updateWaitingState(placement, reason, now);
    if (job.spec.kind == JobKind::gang) handleGangTaskEnded(machine, placement, reason, now);
}

/// Updates the back-offs and the failure history of the machine and the job from the attempt's exit reason.
void AttemptCompletion::applyExitReason(Machine& machine, Job& job, ExitReason reason, Time now) {
    switch (reason) {
        case ExitReason::done:
            machine.history.failures.clear();
            break;
        case ExitReason::error:
            recordFailure(machine, job, now);
            break;
        case ExitReason::machineFull:
        case ExitReason::busy:
            machine.history.startBackoffUntil = now + kRefusalBackoff;
            break;
        case ExitReason::unknownAttempt:
            job.run->backoffUntil = now + kRefusalBackoff;
            break;
        default:
            break;
    }
}

/// Attributes a failure to the machine or to the job: a faulty machine fails the tasks of many jobs, whereas
/// a faulty job fails on many machines.
void AttemptCompletion::recordFailure(Machine& machine, Job& job, Time now) {
    auto& failures = job.run->failures;
    const bool wasSuspected = job.run->suspectedFaulty(now);
    failures.record(machine.id, now);
    if (!job.run->suspectedFaulty(now)) {
        machine.history.failures.record(job.spec.id, now);
        return;
    }
    if (!wasSuspected)
        spdlog::info("job backs off: its tasks failed on several machines job={} class={}", job.spec.id,
                     job.spec.jobClass);
    const auto backoffSteps = static_cast<int>(failures.count(now) - kFaultyJobMachines + 1);
    job.run->backoffUntil = now + std::min(kFailureBackoff * backoffSteps, kMaxFailureBackoff);
}

/// Updates the run's waiting state after one of its attempts has ended.
void AttemptCompletion::updateWaitingState(const Placement& placement, ExitReason reason, Time now) {
    const Job& job = *placement.job;
    auto& run = *job.run;
    if (run.firstOverdueTask == placement.task) run.firstOverdueTask.reset();
    // A job that is stopped right after its start counts as not begun. Otherwise it would lose its position
    // among the overdue jobs each time and could starve.
    if (reason == ExitReason::stopped && noTaskPlacedOrFinished(job) && startedRecently(placement, now))
        run.launchedTasks = run.pacedFetches = 0;
    if (run.waiting > 0) run.waitingSince = now;
}

/// Stops the gang when one of its tasks ends unfinished, unless that task had not begun and can be replaced.
/// The next attempt of the gang begins only after all tasks of this one have ended.
void AttemptCompletion::handleGangTaskEnded(Machine& machine, const Placement& placement, ExitReason reason,
                                            Time now) {
    Job& job = *placement.job;
    job.run->machinesWithEndedTasks.insert(machine.id);
    const bool replaceable = neverBegan(reason) && gangPlanner_.mayComplete(job, now);
    if (!job.isFinished(placement.task) && !replaceable) terminator_.stopJob(job, job.spec.saveTime, now);
    if (job.run->placedTotal == 0) job.run->gangAttempt = 0;
}

}  // namespace burlpoint::coordination
