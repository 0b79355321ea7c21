#pragma once

// The order in which the leader serves the jobs with waiting tasks. Owns the list of open jobs and the order
// of the jobs with waiting tasks. Sets each job's rank, its position within the rank and its guaranteed and
// overdue flags, which are kept in the job's run. Used on the leader's thread.

#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/wall_clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "protocol/policy.h"

namespace burlpoint::coordination {

/// The first sort key of the job queue; jobs of a later enumerator are served first. `low`, `normal`, `high`
/// and `production` follow from the job's priority.
enum class Rank : int {
    low,
    normal,
    high,
    guaranteed,  // within its team's guaranteed quota
    overdue,     // has waited longer than the policy's starvationThreshold, and not begun
    production
};

/// The job's rank as of the last `JobQueue::refresh`; `low` before its run begins.
inline Rank rankOf(const bookkeeping::Job& job) {
    return job.run ? static_cast<Rank>(job.run->rank) : Rank::low;
}

/// The rank of a job that is neither guaranteed nor overdue.
Rank rankOfPriority(protocol::Priority priority);

/// Orders jobs by rank. Within a rank, overdue jobs come first, then jobs with a deadline by least remaining
/// work, then the other jobs by arrival, and last the jobs that can no longer meet their deadline.
class JobQueue {
  public:
    /// Keeps a reference to the policy, which must outlive this object.
    explicit JobQueue(const protocol::Policy& policy);

    /// Adds an open job whose run has begun; it must not be in the queue yet.
    void add(bookkeeping::Job& job);
    /// Removes a job that has ended. It stays in `waiting` until the next refresh.
    void remove(bookkeeping::Job& job);

    /// Marks the order as stale. To be called when waiting tasks, finished tasks or priorities have changed.
    void markStale() { stale_ = true; }

    /// Sorts the jobs again if the order is stale, at most ten times a second, since sorting iterates over
    /// all open jobs. First updates the priorities that jobs inherit from their dependents, in the replica
    /// and in the fleet's counts by priority. Returns true if the jobs were sorted.
    bool refresh(bookkeeping::StateReplica& replica, bookkeeping::Fleet& fleet, const WallClock& clock,
                 Time now);

    /// The open jobs, sorted by arrival at the last refresh; jobs added since then follow.
    const std::vector<bookkeeping::Job*>& openJobs() const { return open_; }
    /// The jobs that had waiting tasks at the last refresh, in the order in which they are served. Some may
    /// have ended since then or have no waiting tasks left.
    const std::vector<bookkeeping::Job*>& waiting() const { return waiting_; }
    /// The smallest number of processors that a task of a job in `waiting` needs. The largest double if no
    /// job is waiting, and 0 before the first refresh.
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
