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

/// None of the job's tasks is on a machine or has been done.
bool hasNothing(const Job& job) {
    return job.run->placedTotal == 0 && job.doneCount == 0 && job.run->unpersistedTasks.empty();
}

}  // namespace

AttemptCompletion::AttemptCompletion(Fleet& fleet, const GangPlanner& gangs, JobQueue& jobQueue,
                                     TaskTerminator& terminator)
    : fleet_(fleet), gangPlanner_(gangs), jobQueue_(jobQueue), terminator_(terminator) {}

void AttemptCompletion::end(Machine& machine, const AttemptKey& key, ExitReason why, Time now) {
    const auto at = machine.placements.find(key);
    const Placement placement = at->second;
    fleet_.remove(machine, at);
    ended(machine, placement, why, now);
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
        at = machine.placements.upper_bound(key);
    }
}

void AttemptCompletion::endAll(Machine& machine, Time now) {
    fleet_.setReconciled(machine, true);
    jobQueue_.markStale();
    fleet_.removeAll(machine,
                     [&](const Placement& placement) { ended(machine, placement, ExitReason::none, now); });
}

/// The attempt has been taken off the machine.
void AttemptCompletion::ended(Machine& machine, const Placement& placement, ExitReason why, Time now) {
    Job& job = *placement.job;
    auto& run = *job.run;
    jobQueue_.markStale();
    spdlog::debug("gone {}/{} attempt {} from {}, state {}, reason {}", job.spec.id, placement.task,
                  placement.attempt, machine.id, static_cast<int>(placement.state), static_cast<int>(why));
    if (machine.placements.empty()) machine.lastBusyAt = now;
    noteReason(machine, job, why, now);
    if (job.terminalState != TerminalState::none) return;
    if (run.firstOverdueTask == placement.task) run.firstOverdueTask.reset();
    // Stopped again at once, it has not begun: were its place among the overdue spent, it might wait for
    // ever.
    if (why == ExitReason::stopped && hasNothing(job) && startedRecently(placement, now))
        run.launchedTasks = run.pacedFetches = 0;
    if (run.waiting > 0) run.waitingSince = now;
    if (job.spec.kind == JobKind::gang) noteGangTaskGone(machine, placement, why, now);
}

/// What the end of a task tells of its machine and its job.
void AttemptCompletion::noteReason(Machine& machine, Job& job, ExitReason why, Time now) {
    switch (why) {
        case ExitReason::done:
            machine.errorJobs.clear();
            break;
        case ExitReason::error:
            noteFailure(machine, job, now);
            break;
        case ExitReason::noRoom:
        case ExitReason::busy:
            machine.startBackoffUntil = now + kRefusalBackoff;
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
        machine.errorJobs.insert(job.spec.id);
        return;
    }
    const auto times = static_cast<int>(failures.size() - kFaultyJobAfter + 1);
    job.run->backoffUntil = now + std::min(kFailureBackoff * times, kMaxFailureBackoff);
}

/// Without one of its tasks a gang's attempt comes to nothing, unless it had not begun and another can stand
/// in. The next attempt waits until all have left.
void AttemptCompletion::noteGangTaskGone(Machine& machine, const Placement& placement, ExitReason why,
                                         Time now) {
    Job& job = *placement.job;
    job.run->machinesLeft.insert(machine.id);
    const bool neverBegan = why == ExitReason::none || why == ExitReason::noRoom || why == ExitReason::busy;
    const bool replaceable = neverBegan && gangPlanner_.mayComplete(job, now);
    if (!job.isFinished(placement.task) && !replaceable) terminator_.stopJob(job, job.spec.saveTime, now);
    if (job.run->placedTotal == 0) job.run->gangAttempt = 0;
}

}  // namespace burlpoint::coordination
