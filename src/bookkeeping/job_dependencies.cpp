#include "bookkeeping/job_dependencies.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace burlpoint::bookkeeping {

using storage::TerminalState;

namespace {

bool isOpen(const Job& job) { return job.terminalState == TerminalState::none; }

std::uint64_t milliseconds(Seconds time) {
    constexpr double kPerSecond = 1000;
    return static_cast<std::uint64_t>(time.count() * kPerSecond);
}

/// The wall-clock time at which the job is due by its own deadline, if it has one.
std::optional<std::uint64_t> ownDueAtMs(const Job& job) {
    if (!job.spec.deadline) return std::nullopt;
    return job.acceptedMs + milliseconds(*job.spec.deadline);
}

}  // namespace

bool JobDependencies::NewestFirst::operator()(const Job* a, const Job* b) const {
    return a->accepted != b->accepted ? a->accepted > b->accepted : a->spec.id > b->spec.id;
}

JobDependencies::JobDependencies(JobTable& jobs) : jobs_(jobs) {}

void JobDependencies::add(Job& job, std::vector<ReplicaChange>& changes) {
    job.readyMs = job.acceptedMs;
    job.effectivePriority = job.spec.priority;
    job.dueAtMs = ownDueAtMs(job);
    bool dependencyCancelled = false;
    for (const auto& id : job.spec.dependencies) {
        const auto* dependency = jobs_.find(id);
        if (dependency && dependency->terminalState == TerminalState::done) {
            job.readyMs = std::max(job.readyMs, dependency->endedMs);
            continue;
        }
        ++job.openDependencies;
        if (dependency && dependency->terminalState == TerminalState::cancelled)
            dependencyCancelled = true;
        else
            dependents_[id].push_back(&job);
    }
    if (!job.spec.dependencies.empty() || dependents_.contains(job.spec.id)) stalePriorities_.insert(&job);
    if (!dependencyCancelled) return;
    cancel(job);
    cancelDependents(job, changes);
}

void JobDependencies::handleTerminated(Job& job, std::vector<ReplicaChange>& changes) {
    stalePriorities_.erase(&job);
    if (job.terminalState == TerminalState::done)
        handleDone(job, changes);
    else
        cancelDependents(job, changes);
}

void JobDependencies::handleDone(const Job& job, std::vector<ReplicaChange>& changes) {
    for (auto* dependent : dependentsOf(job)) {
        if (!isOpen(*dependent)) continue;
        dependent->readyMs = std::max(dependent->readyMs, job.endedMs);
        if (--dependent->openDependencies == 0)
            changes.push_back({ReplicaChangeKind::job, dependent->spec.id});
    }
    dependents_.erase(job.spec.id);
}

/// Cancels all direct and indirect dependents of the job. Iterative, as chains of dependencies may be so long
/// that recursion would overflow the stack.
void JobDependencies::cancelDependents(Job& job, std::vector<ReplicaChange>& changes) {
    std::vector<Job*> cancelled{&job};
    while (!cancelled.empty()) {
        auto& next = *cancelled.back();
        cancelled.pop_back();
        markDependenciesStale(next);
        const auto found = dependents_.find(next.spec.id);
        if (found == dependents_.end()) continue;
        const auto dependents = std::move(found->second);
        dependents_.erase(found);
        for (auto* dependent : dependents) {
            if (!isOpen(*dependent)) continue;
            cancel(*dependent);
            changes.push_back({ReplicaChangeKind::job, dependent->spec.id});
            cancelled.push_back(dependent);
        }
    }
}

/// Cancels an open job because of a dependency.
void JobDependencies::cancel(Job& job) {
    jobs_.terminate(job, TerminalState::cancelled, 0);
    stalePriorities_.erase(&job);
    job.cancelledByDependency = true;
}

/// Marks the priorities of the job's dependencies for an update. Must be called when the job ends, or its
/// effective priority or due time changes.
void JobDependencies::markDependenciesStale(const Job& job) {
    for (const auto& id : job.spec.dependencies)
        if (auto* dependency = jobs_.find(id); dependency && isOpen(*dependency))
            stalePriorities_.insert(dependency);
}

void JobDependencies::updateEffectivePriorities() {
    while (!stalePriorities_.empty()) {
        auto& job = **stalePriorities_.begin();
        stalePriorities_.erase(stalePriorities_.begin());
        if (isOpen(job)) updateEffectivePriority(job);
    }
}

void JobDependencies::updateEffectivePriority(Job& job) {
    const auto& dependents = dependentsOf(job);
    auto priority = job.spec.priority;
    for (const auto* dependent : dependents)
        if (isOpen(*dependent)) priority = std::max(priority, dependent->effectivePriority);
    const auto due = dueAtMs(job, dependents);
    if (priority == job.effectivePriority && due == job.dueAtMs && job.priorityPropagated) return;
    job.effectivePriority = priority;
    job.dueAtMs = due;
    job.priorityPropagated = true;
    markDependenciesStale(job);
}

const std::vector<Job*>& JobDependencies::dependentsOf(const Job& job) const {
    static const std::vector<Job*> kNone;
    const auto found = dependents_.find(job.spec.id);
    return found == dependents_.end() ? kNone : found->second;
}

/// The wall-clock time by which the job should be done: the earliest of its own deadline and of the due times
/// of its dependents, each less the dependent's estimated run time.
std::optional<std::uint64_t> JobDependencies::dueAtMs(const Job& job, const std::vector<Job*>& dependents) {
    auto due = ownDueAtMs(job);
    for (const auto* dependent : dependents) {
        if (!isOpen(*dependent) || !dependent->dueAtMs) continue;
        const auto runTime = std::min(milliseconds(dependent->spec.estimatedRunTime), *dependent->dueAtMs);
        due = std::min(due.value_or(*dependent->dueAtMs), *dependent->dueAtMs - runTime);
    }
    return due;
}

}  // namespace burlpoint::bookkeeping
