#include "coordination/scheduling/job_queue.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Resources;
using bookkeeping::StateReplica;
using protocol::Priority;
using namespace std::chrono_literals;

namespace {

// Minimum time between two sorts, and so the maximum staleness of the order that a heartbeat is served by.
constexpr auto kRefreshInterval = 100ms;

// Positions within a rank; lower positions are served first. The position of a job whose deadline can still
// be met is the processor seconds that its waiting tasks need, which lie between kOverduePosition and
// kArrivalPosition.
constexpr double kOverduePosition = -1;
constexpr double kMissedDeadlinePosition = 1e18;
constexpr double kArrivalPosition = kMissedDeadlinePosition / 2;

// A deadline counts as missed once less than this share of one task's estimated run time is left. The share
// is below 1, since estimates are rough.
constexpr double kMinShareOfEstimate = 0.8;

void setRank(Job& job, Rank rank) { job.run->rank = static_cast<int>(rank); }

Rank rankByQuotaAndPriority(const Job& job) {
    const auto rank = rankOfPriority(job.run->priority);
    return job.run->guaranteed ? std::max(rank, Rank::guaranteed) : rank;
}

bool arrivedBefore(const Job* a, const Job* b) { return a->accepted < b->accepted; }

bool servedBefore(const Job* a, const Job* b) {
    if (rankOf(*a) != rankOf(*b)) return rankOf(*a) > rankOf(*b);
    return a->run->positionInRank < b->run->positionInRank;
}

}  // namespace

Rank rankOfPriority(Priority priority) {
    switch (priority) {
        case Priority::low:
            return Rank::low;
        case Priority::normal:
            return Rank::normal;
        case Priority::high:
            return Rank::high;
        case Priority::production:
            return Rank::production;
    }
    return Rank::low;
}

JobQueue::JobQueue(const protocol::Policy& policy) : policy_(policy) {}

void JobQueue::add(Job& job) {
    open_.push_back(&job);
    stale_ = true;
}

void JobQueue::remove(Job& job) {
    std::erase(open_, &job);
    stale_ = true;
}

bool JobQueue::refresh(StateReplica& replica, Fleet& fleet, const WallClock& clock, Time now) {
    if (!stale_ || now < nextRefresh_) return false;
    stale_ = false;
    nextRefresh_ = now + kRefreshInterval;
    replica.updateEffectivePriorities();
    std::sort(open_.begin(), open_.end(), arrivedBefore);
    collectWaiting(fleet, clock, now);
    std::stable_sort(waiting_.begin(), waiting_.end(), servedBefore);
    return true;
}

/// Updates the priorities and ranks of the open jobs and collects the jobs with waiting tasks in order of
/// arrival.
void JobQueue::collectWaiting(Fleet& fleet, const WallClock& clock, Time now) {
    waiting_.clear();
    minCpus_ = std::numeric_limits<double>::max();
    TeamDemand demand;
    for (auto* job : open_) {
        fleet.setPriority(*job, job->effectivePriority);
        job->run->guaranteed = withinGuaranteedQuota(*job, demand);
        setRank(*job, rankByQuotaAndPriority(*job));
        if (job->run->waiting == 0) continue;
        waiting_.push_back(job);
        minCpus_ = std::min(minCpus_, job->spec.cpus);
        setPosition(*job, clock, now);
    }
}

/// True if the demand of the team's jobs up to and including this one is within the team's guaranteed quota.
/// Must be called once for each open job, in order of arrival.
bool JobQueue::withinGuaranteedQuota(const Job& job, TeamDemand& demand) {
    const auto& spec = job.spec;
    const auto unfinished = spec.tasks - job.doneCount;
    auto& teamDemand = demand[spec.team];
    teamDemand += {spec.cpus * unfinished, spec.gpus * unfinished, 0};
    const auto* team = job.run->team;
    if (!team) return false;
    // In the settings 0 means none: without guaranteed accelerators, no job that needs accelerators is within
    // the quota.
    const bool hasQuota = team->guaranteedCpus > 0 || team->guaranteedGpus > 0;
    const Resources quota{team->guaranteedCpus, team->guaranteedGpus, 0};
    return hasQuota && quota.covers(teamDemand);
}

/// Sets the job's position within its rank. Also raises the rank of an overdue job that has not begun.
void JobQueue::setPosition(Job& job, const WallClock& clock, Time now) const {
    auto& run = *job.run;
    run.positionInRank = job.dueAtMs ? positionByDeadline(job, clock, now) : kArrivalPosition;
    // Overdue jobs are served first, in order of arrival, so that none starves.
    const Seconds age = now - run.readyAt;
    run.overdue = age > policy_.starvationThreshold;
    if (!run.overdue) return;
    run.positionInRank = kOverduePosition;
    if (!run.anyTaskStarted() && job.doneCount == 0) setRank(job, std::max(rankOf(job), Rank::overdue));
}

/// The position of a job with a deadline. The least remaining work comes first, so that as many jobs as
/// possible meet their deadlines; jobs that can no longer meet theirs come last.
double JobQueue::positionByDeadline(const Job& job, const WallClock& clock, Time now) {
    const auto& spec = job.spec;
    const Seconds left = clock.steadyAt(*job.dueAtMs) - now;
    // A deadline inherited from a dependent job never counts as missed, since the dependent job still has to
    // run.
    const bool ownDeadline = spec.deadline.has_value();
    if (ownDeadline && left < spec.estimatedRunTime * kMinShareOfEstimate) return kMissedDeadlinePosition;
    return job.run->waiting * spec.cpus * spec.estimatedRunTime.count();
}

}  // namespace burlpoint::coordination
