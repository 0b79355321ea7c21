#include "coordination/scheduling/job_queue.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Resources;
using bookkeeping::StateReplica;
using protocol::Priority;
using namespace std::chrono_literals;

namespace {

constexpr auto kRefreshInterval = 100ms;  // a heartbeat finds the order at most this much out of date

// Places within a rank, the lower the sooner. Between the first two are those of jobs with a time due: the
// processor seconds that they still need.
constexpr double kOverduePlace = -1;
constexpr double kPastSavingPlace = 1e18;
constexpr double kArrivalPlace = kPastSavingPlace / 2;

// A job is past saving once less than this share of one task's estimate is left of its deadline.
constexpr double kLeastOfEstimate = 0.8;
// Processors and accelerators that a sum of decimals may be off by.
constexpr double kSlack = 1e-6;

}  // namespace

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
    std::sort(open_.begin(), open_.end(),
              [](const Job* a, const Job* b) { return a->accepted < b->accepted; });
    waiting_.clear();
    minCpus_ = std::numeric_limits<double>::max();
    TeamDemand demand;
    for (auto* job : open_) {
        auto& run = *job->run;
        fleet.setPriority(*job, job->effectivePriority);
        run.guaranteed = withinGuaranteedQuota(*job, demand);
        run.rank = static_cast<int>(run.priority);
        if (run.guaranteed) run.rank = kGuaranteedRank;
        if (run.priority == Priority::production) run.rank = kProductionRank;
        if (run.waiting == 0) continue;
        waiting_.push_back(job);
        minCpus_ = std::min(minCpus_, job->spec.cpus);
        place(*job, clock, now);
    }
    std::stable_sort(waiting_.begin(), waiting_.end(), [](const Job* a, const Job* b) {
        return std::pair(-a->run->rank, a->run->positionInRank) <
               std::pair(-b->run->rank, b->run->positionInRank);
    });
    return true;
}

/// Does what the team has asked for so far, this job included, stay within its guarantee? To be asked once
/// for each open job, in order of arrival.
bool JobQueue::withinGuaranteedQuota(const Job& job, TeamDemand& demand) {
    const auto& spec = job.spec;
    auto& asked = demand[spec.team];
    const auto unfinished = spec.tasks - job.doneCount;
    asked += {spec.cpus * unfinished, spec.gpus * unfinished, 0};
    const auto* team = job.run->team;
    if (!team) return false;
    // "A value of 0 means none": with no guarantee of accelerators, work that needs them has none.
    const bool hasGuarantee = team->guaranteedCpus > 0 || team->guaranteedGpus > 0;
    return hasGuarantee && asked.cpus <= team->guaranteedCpus + kSlack &&
           asked.gpus <= team->guaranteedGpus + kSlack;
}

/// Sets the job's place within its rank, and for one that is overdue and has not begun its rank.
void JobQueue::place(Job& job, const WallClock& clock, Time now) const {
    auto& run = *job.run;
    run.positionInRank = job.dueAtMs ? positionByDeadline(job, clock, now) : kArrivalPlace;
    // But nothing is passed over for ever: what has waited for long goes first, by arrival.
    const Seconds age = now - run.readyAt;
    run.overdue = age > policy_.longestPassedOver;
    if (!run.overdue) return;
    run.positionInRank = kOverduePlace;
    if (!run.began() && job.doneCount == 0) run.rank = std::max(run.rank, kOverdueRank);
}

/// Where deadlines count, what is soonest through goes first, so that as many jobs as possible meet theirs,
/// and what can no longer meet its own goes last.
double JobQueue::positionByDeadline(const Job& job, const WallClock& clock, Time now) {
    const auto& spec = job.spec;
    const Seconds left = clock.steadyAt(*job.dueAtMs) - now;
    // A deadline handed down by a job that needs this one is never past saving: more than this job hangs on
    // it.
    const bool ownDeadline = spec.deadline.has_value();
    if (ownDeadline && left < spec.estimatedRunTime * kLeastOfEstimate) return kPastSavingPlace;
    return job.run->waiting * spec.cpus * spec.estimatedRunTime.count();
}

}  // namespace burlpoint::coordination
