#pragma once

// The order in which the leader serves the jobs with waiting tasks. Owns the list of open jobs and the order
// of those with waiting tasks. Sets each job's rank, position in its rank, guaranteed and overdue flags,
// which are stored in the job's run. Used on the leader's thread.

#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/wall_clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "protocol/policy.h"

namespace burlpoint::coordination {

/// What decides first in the job queue's order; a later value is served sooner. `low` to `high` follow the
/// job's priority.
enum class Rank : int {
    low,
    normal,
    high,
    guaranteed,  // within its team's guaranteed quota
    overdue,     // passed over for longer than the policy allows, and not begun
    production
};

/// The job's rank as of the last `JobQueue::refresh`; `low` before its run begins.
inline Rank rankOf(const bookkeeping::Job& job) {
    return job.run ? static_cast<Rank>(job.run->rank) : Rank::low;
}

/// The rank of a job that is neither guaranteed nor overdue.
Rank rankOfPriority(protocol::Priority priority);

/// Orders jobs by rank. Within a rank, overdue jobs come first. Jobs with a deadline follow, least remaining
/// work first, then the others by arrival, and last the jobs whose deadline can't be met any more.
class JobQueue {
  public:
    /// Kept by reference; it has to outlive this.
    explicit JobQueue(const protocol::Policy& policy);

    /// Adds an open job whose run has begun; it must not be in the queue yet.
    void add(bookkeeping::Job& job);
    /// Removes a job that is over. It stays in `waiting` until the next refresh.
    void remove(bookkeeping::Job& job);

    /// Notes that something that the order depends on has changed: waiting or finished tasks, or priorities.
    void markStale() { stale_ = true; }

    /// Sorts anew if the order is stale, at most ten times a second, since that walks over all open jobs.
    /// First brings the priorities that jobs inherit from their dependents up to date, in the replica and in
    /// what the fleet counts by priority. Returns true if the order was made anew.
    bool refresh(bookkeeping::StateReplica& replica, bookkeeping::Fleet& fleet, const WallClock& clock,
                 Time now);

    /// The open jobs. At the last refresh they were sorted by arrival; newer ones follow.
    const std::vector<bookkeeping::Job*>& open() const { return open_; }
    /// The jobs that had waiting tasks at the last refresh, in the order in which they are served. Some may
    /// be over by now, or have none left.
    const std::vector<bookkeeping::Job*>& waiting() const { return waiting_; }
    /// The fewest processors that a task of `waiting` needs. Infinite for practical purposes if no job waits,
    /// and 0 before the first refresh.
    double minCpus() const { return minCpus_; }

  private:
    using TeamDemand = std::unordered_map<std::string_view, bookkeeping::Resources>;

    static bool withinGuaranteedQuota(const bookkeeping::Job& job, TeamDemand& demand);
    static double positionByDeadline(const bookkeeping::Job& job, const WallClock& clock, Time now);
    void collectWaiting(bookkeeping::Fleet& fleet, const WallClock& clock, Time now);
    void setPosition(bookkeeping::Job& job, const WallClock& clock, Time now) const;

    const protocol::Policy& policy_;
    std::vector<bookkeeping::Job*> open_;
    std::vector<bookkeeping::Job*> waiting_;
    double minCpus_ = 0;
    bool stale_ = true;
    Time nextRefresh_{};
};

}  // namespace burlpoint::coordination
