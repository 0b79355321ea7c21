// In which order the leader walks the jobs that wait. Owns the open jobs, the order of those with waiting
// tasks and whether it is out of date; a job's rank, place, guarantee and being overdue are set here and kept
// in its run.
#pragma once

#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/wall_clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

// Ranks, the higher the sooner; below them come the priorities as numbers (protocol::Priority).
constexpr int kProductionRank = 10;
constexpr int kOverdueRank = 6;     // passed over for long and not begun
constexpr int kGuaranteedRank = 5;  // within its team's guarantee

/// The job's rank as of the last `JobQueue::refresh`, 0 before its run begins.
inline int rankOf(const bookkeeping::Job& job) { return job.run ? job.run->rank : 0; }

/// Production first, then what has been passed over for long without beginning, then what teams are
/// guaranteed, then by priority. Within a rank by arrival, except that what has been passed over for long
/// goes first and that jobs with a time due go before the others, least remaining work first, those past
/// saving last.
class JobQueue {
  public:
    /// Kept by reference; it has to outlive this.
    explicit JobQueue(const protocol::Policy& policy);

    /// An open job whose run has begun; it must not be known yet.
    void add(bookkeeping::Job& job);
    /// The job is over. It stays in `waiting` until the next refresh.
    void remove(bookkeeping::Job& job);

    /// Something that the order depends on has changed: what waits, what is done, the priorities.
    void markStale() { stale_ = true; }

    /// Makes the order anew if it is out of date, at most ten times a second, as that takes in all open jobs.
    /// Priorities that jobs have from those that need them are brought up to date with it, in the replica and
    /// in what the fleet counts by priority. True if the order was made anew.
    bool refresh(bookkeeping::StateReplica& replica, bookkeeping::Fleet& fleet, const WallClock& clock,
                 Time now);

    /// The open jobs, as of the last refresh by arrival.
    const std::vector<bookkeeping::Job*>& open() const { return open_; }
    /// The jobs that had waiting tasks at the last refresh, in the order in which they are walked. Some may
    /// be over by now, or have none left.
    const std::vector<bookkeeping::Job*>& waiting() const { return waiting_; }
    /// The fewest processors that a task of `waiting` needs; more than any machine has if there are none, and
    /// 0 before the first refresh.
    double minCpus() const { return minCpus_; }

  private:
    using TeamDemand = std::unordered_map<std::string_view, bookkeeping::Resources>;

    static bool withinGuaranteedQuota(const bookkeeping::Job& job, TeamDemand& demand);
    static double positionByDeadline(const bookkeeping::Job& job, const WallClock& clock, Time now);
    void place(bookkeeping::Job& job, const WallClock& clock, Time now) const;

    const protocol::Policy& policy_;
    std::vector<bookkeeping::Job*> open_;
    std::vector<bookkeeping::Job*> waiting_;
    double minCpus_ = 0;
    bool stale_ = true;
    Time nextRefresh_{};
};

}  // namespace burlpoint::coordination
