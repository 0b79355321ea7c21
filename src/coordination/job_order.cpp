#include "coordination/job_order.h"

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
using protocol::Seconds;
using transport::Time;
using namespace std::chrono_literals;

namespace {

constexpr auto kRefreshInterval = 100ms;  // a report finds the order at most this much out of date

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

JobOrder::JobOrder(const protocol::Policy& policy) : policy_(policy) {}

void JobOrder::add(Job& job) {
    open_.push_back(&job);
    stale_ = true;
}

void JobOrder::remove(Job& job) {
    std::erase(open_, &job);
    stale_ = true;
}

bool JobOrder::refresh(StateReplica& replica, Fleet& fleet, const DayClock& clock, Time now) {
    if (!stale_ || now < nextRefresh_) return false;
    stale_ = false;
    nextRefresh_ = now + kRefreshInterval;
    replica.updateUrgency();
    std::sort(open_.begin(), open_.end(),
              [](const Job* a, const Job* b) { return a->accepted < b->accepted; });
    waiting_.clear();
    minCpus_ = std::numeric_limits<double>::max();
    TeamDemand demand;
    for (auto* job : open_) {
        auto& run = *job->run;
        fleet.setPriority(*job, job->urgency);
        run.guaranteed = withinGuarantee(*job, demand);
        run.rank = static_cast<int>(run.priority);
        if (run.guaranteed) run.rank = kGuaranteedRank;
        if (run.priority == Priority::production) run.rank = kProductionRank;
        if (run.waiting == 0) continue;
        waiting_.push_back(job);
        minCpus_ = std::min(minCpus_, job->spec.cpus);
        place(*job, clock, now);
    }
    std::stable_sort(waiting_.begin(), waiting_.end(), [](const Job* a, const Job* b) {
        return std::pair(-a->run->rank, a->run->place) < std::pair(-b->run->rank, b->run->place);
    });
    return true;
}

/// Does what the team has asked for so far, this job included, stay within its guarantee? To be asked once
/// for each open job, in order of arrival.
bool JobOrder::withinGuarantee(const Job& job, TeamDemand& demand) {
    const auto& spec = job.spec;
    auto& asked = demand[spec.team];
    const auto unfinished = spec.tasks - job.doneCount;
    asked += {spec.cpus * unfinished, spec.gpus * unfinished, 0};
    const auto* team = job.run->team;
    if (!team) return false;
    // "A value of 0 means none": with no guarantee of accelerators, work that needs them has none.
    const bool hasGuarantee = team->cpus > 0 || team->gpus > 0;
    return hasGuarantee && asked.cpus <= team->cpus + kSlack && asked.gpus <= team->gpus + kSlack;
}

/// Sets the job's place within its rank, and for one that is overdue and has not begun its rank.
void JobOrder::place(Job& job, const DayClock& clock, Time now) const {
    auto& run = *job.run;
    run.place = job.dueMs ? placeByDueTime(job, clock, now) : kArrivalPlace;
    // But nothing is passed over for ever: what has waited for long goes first, by arrival.
    const Seconds age = now - run.readyAt;
    run.overdue = age > policy_.longestPassedOver;
    if (!run.overdue) return;
    run.place = kOverduePlace;
    if (!run.began() && job.doneCount == 0) run.rank = std::max(run.rank, kOverdueRank);
}

/// Where deadlines count, what is soonest through goes first, so that as many jobs as possible meet theirs,
/// and what can no longer meet its own goes last.
double JobOrder::placeByDueTime(const Job& job, const DayClock& clock, Time now) {
    const auto& spec = job.spec;
    const Seconds left = clock.steadyAt(*job.dueMs) - now;
    // A deadline handed down by a job that needs this one is never past saving: more than this job hangs on
    // it.
    const bool ownDeadline = spec.deadline.has_value();
    if (ownDeadline && left < spec.estimate * kLeastOfEstimate) return kPastSavingPlace;
    return job.run->waiting * spec.cpus * spec.estimate.count();
}

}  // namespace burlpoint::coordination
