#include "coordination/workers/attempt_completion.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/scheduling/placement_constraints.h"

namespace burlpoint::coordination {

using bookkeeping::AttemptKey;
using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::Placement;
using protocol::ExitReason;
using protocol::JobKind;
using storage::TerminalState;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kFaultyJobAfter = 3;  // machines; on fewer the machine may be at fault
constexpr Clock::duration kFailureBackoff = 5s;
constexpr Clock::duration kMaxFailureBackoff = 60s;
constexpr Clock::duration kRefusalBackoff = 2s;

bool noTaskPlacedOrFinished(const Job& job) {
    return job.run->placedTotal == 0 && job.doneCount == 0 && job.run->unpersistedTasks.empty();
}

/// The worker did not begin the attempt, as far as the reason tells.
bool neverBegan(ExitReason reason) {
    return reason == ExitReason::none || reason == ExitReason::noRoom || reason == ExitReason::busy;
}

}  // namespace

AttemptCompletion::AttemptCompletion(Fleet& fleet, const GangPlanner& gangPlanner, JobQueue& jobQueue,
                                     TaskTerminator& terminator)
    : fleet_(fleet), gangPlanner_(gangPlanner), jobQueue_(jobQueue), terminator_(terminator) {}

void AttemptCompletion::end(Machine& machine, const AttemptKey& key, ExitReason reason, Time now) {
    const auto at = machine.placements.find(key);
    const Placement placement = at->second;
    fleet_.remove(machine, at);
    noteEnded(machine, placement, reason, now);
}

void AttemptCompletion::endIf(Machine& machine, const std::function<bool(const Placement&)>& isGone,
                              Time now) {
    for (auto at = machine.placements.begin(); at != machine.placements.end();) {
        if (!isGone(at->second)) {
            ++at;
            continue;
        }
        const auto key = at->first;
        end(machine, key, ExitReason::none, now);
        // Placements of the same gang may have been removed too, so `at` may be invalid.
        at = machine.placements.upper_bound(key);
    }
}

void AttemptCompletion::endAll(Machine& machine, Time now) {
    fleet_.setReconciled(machine, true);
    jobQueue_.markStale();
    fleet_.removeAll(
        machine, [&](const Placement& placement) { noteEnded(machine, placement, ExitReason::none, now); });
}

/// Called after the placement has been removed from the machine.
void AttemptCompletion::noteEnded(Machine& machine, const Placement& placement, ExitReason reason, Time now) {
    Job& job = *placement.job;
    jobQueue_.markStale();
    spdlog::debug("attempt ended job={} task={} attempt={} machine={} state={} reason={}", job.spec.id,
                  placement.task, placement.attempt, machine.id, static_cast<int>(placement.state),
                  static_cast<int>(reason));
    if (machine.placements.empty()) machine.history.lastBusyAt = now;
    noteReason(machine, job, reason, now);
    if (job.terminalState != TerminalState::none) return;
    updateWaiting(placement, reason, now);
    if (job.spec.kind == JobKind::gang) noteGangTaskEnded(machine, placement, reason, now);
}

/// What the end of an attempt says about its machine and its job.
void AttemptCompletion::noteReason(Machine& machine, Job& job, ExitReason reason, Time now) {
    switch (reason) {
        case ExitReason::done:
            machine.history.failedJobs.clear();
            break;
        case ExitReason::error:
            noteFailure(machine, job, now);
            break;
        case ExitReason::noRoom:
        case ExitReason::busy:
            machine.history.startBackoffUntil = now + kRefusalBackoff;
            break;
        case ExitReason::unknown:
            job.run->backoffUntil = now + kRefusalBackoff;
            break;
        default:
            break;
    }
}

/// A faulty machine fails the tasks of many jobs; a faulty job fails on many machines.
void AttemptCompletion::noteFailure(Machine& machine, Job& job, Time now) {
    auto& failures = job.run->errorMachines;
    failures[machine.id] = now;
    if (failures.size() < kFaultyJobAfter) {
        machine.history.failedJobs.insert(job.spec.id);
        return;
    }
    const auto times = static_cast<int>(failures.size() - kFaultyJobAfter + 1);
    job.run->backoffUntil = now + std::min(kFailureBackoff * times, kMaxFailureBackoff);
}

/// Brings the run's state as a waiting job up to date.
void AttemptCompletion::updateWaiting(const Placement& placement, ExitReason reason, Time now) {
    const Job& job = *placement.job;
    auto& run = *job.run;
    if (run.firstOverdueTask == placement.task) run.firstOverdueTask.reset();
    // Stopped right after its start, the job counts as not begun. Otherwise it would lose its place among the
    // overdue jobs each time and could starve.
    if (reason == ExitReason::stopped && noTaskPlacedOrFinished(job) && startedRecently(placement, now))
        run.launchedTasks = run.pacedFetches = 0;
    if (run.waiting > 0) run.waitingSince = now;
}

/// A gang's attempt fails without one of its tasks, unless that task had not begun and can be replaced. The
/// gang's next attempt waits until all tasks of this one have ended.
void AttemptCompletion::noteGangTaskEnded(Machine& machine, const Placement& placement, ExitReason reason,
                                          Time now) {
    Job& job = *placement.job;
    job.run->machinesLeft.insert(machine.id);
    const bool replaceable = neverBegan(reason) && gangPlanner_.mayComplete(job, now);
    if (!job.isFinished(placement.task) && !replaceable) terminator_.stopJob(job, job.spec.saveTime, now);
    if (job.run->placedTotal == 0) job.run->gangAttempt = 0;
}

}  // namespace burlpoint::coordination
