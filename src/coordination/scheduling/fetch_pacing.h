#pragma once

// Decides when a machine may be given a task whose image it has to fetch, by the pacing rule of
// degraded-first scheduling. Owns the state that this rule keeps between heartbeats: the waiting work per
// image, the time of the last fetch in each zone and the mean fetch time. Capacity, priorities and job order
// are decided elsewhere. Used on the leader's thread.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "protocol/policy.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// Paces fetches by Algorithm 3 of "Degraded-First Scheduling for MapReduce in Erasure-Coded Storage
/// Clusters" (Li, Lee, Hu; DSN 2014), with images in place of blocks and zones in place of racks. In the
/// paper's terms:
///
/// - m, M: the number of launched tasks of a job and of all its tasks
/// - md, Md: the number of launched degraded tasks of a job and of all expected ones. A degraded task is
///   one that starts with a fetch; Md is fixed when the job is admitted
/// - ts, E[ts]: the time that a machine would need for the waiting tasks whose images it has, and the mean
///   of this time over the machines that are up
/// - tr, E[tr]: the time since the last fetch in a zone, and its mean over the zones
///
/// m, md and Md are kept in the job's run, since each new leader counts them from zero.
class FetchPacing {
  public:
    /// Keeps references to both arguments, which must outlive this object.
    FetchPacing(const protocol::Settings& settings, const protocol::Policy& policy);

    /// Admits a job that is not admitted yet: sets its Md to M times the share of machines that are up
    /// without its image. Does nothing if no machine was up at the last `refresh`.
    void admit(bookkeeping::Job& job, const bookkeeping::Fleet& fleet) const;

    /// Recomputes ts, E[ts] and the zones that count for E[tr]. `waiting` lists the jobs with waiting tasks,
    /// `up` the machines whose workers send heartbeats to this leader, each once. Iterates over both, so it
    /// must not be called for every heartbeat.
    void refresh(const std::vector<bookkeeping::Job*>& waiting,
                 const std::vector<const bookkeeping::Machine*>& up, const bookkeeping::Fleet& fleet,
                 Time now);

    /// True if a degraded task of the job may start on the machine: m/M >= md/Md, ts <= E[ts] and
    /// tr >= min(E[tr], threshold). The job must be admitted unless no machine is up.
    bool allows(const bookkeeping::Job& job, const bookkeeping::Machine& machine, Time now) const;

    /// Records that a task of the job starts in the zone with a fetch of its image: increments md and resets
    /// the zone's tr. To be called once for tasks that share one fetch.
    void recordFetch(bookkeeping::Job& job, const std::string& zone, Time now);

    /// Records the duration of a fetch whose end a worker's heartbeat reported.
    void recordFetchTime(Seconds took);

    /// The paper's threshold: the moving average of the recorded fetch times, or the policy's
    /// `initialFetchEstimate` before the first one is recorded.
    Seconds expectedFetchTime() const;

  private:
    bool withinFetchShare(const bookkeeping::Job& job) const;
    bool cachedWorkWithinMean(const bookkeeping::Machine& machine) const;
    bool zoneMayFetch(const std::string& zone, Time now) const;
    double cachedTaskTime(const bookkeeping::Machine& machine) const;
    Seconds meanTimeSinceFetch(Time now) const;
    void refreshImageWork(const std::vector<bookkeeping::Job*>& waiting, const bookkeeping::Fleet& fleet);

    const protocol::Settings& settings_;
    const protocol::Policy& policy_;

    // For each image, the seconds that its waiting tasks take if all machines that have the image share them.
    std::unordered_map<bookkeeping::Image, double, bookkeeping::Image::Hash> imageWork_;
    double meanCachedTaskTime_ = 0;  // E[ts], in seconds
    std::size_t machinesUp_ = 0;
    std::map<std::string, Time> lastFetch_;      // when the last fetch of each zone started
    std::set<std::string> zonesWithHeartbeats_;  // zones that count for E[tr]
    Seconds meanFetchTime_{0};
    std::uint32_t recordedFetchTimes_ = 0;
};

}  // namespace burlpoint::coordination
