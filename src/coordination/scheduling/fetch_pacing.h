#pragma once

// Decides when a machine may be given a task whose image it has to fetch, by the pacing rule of
// degraded-first scheduling. Owns what that rule needs to remember between heartbeats: the waiting work per
// image, the last fetch of each zone and the mean fetch time. Does not decide about capacity, priorities or
// order. Used on the leader's thread.

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

/// Pacing of fetches by Algorithm 3 of "Degraded-First Scheduling for MapReduce in Erasure-Coded Storage
/// Clusters" (Li, Lee, Hu; DSN 2014), with images for blocks and zones for racks. In the paper's terms:
///
/// - m, M: launched tasks of a job, all its tasks
/// - md, Md: launched degraded tasks of a job, all that are expected. A degraded task is a task that starts
///   with a fetch; Md is fixed when the job is admitted
/// - ts, E[ts]: how long the waiting tasks whose images the machine has would take it, and the mean of that
///   over the machines that are up
/// - tr, E[tr]: time since the last fetch in a zone, and its mean over the zones
///
/// m, md and Md are kept in the job's run, since each new leader counts them anew.
class FetchPacing {
  public:
    /// Both are kept by reference and have to outlive this.
    FetchPacing(const protocol::Settings& settings, const protocol::Policy& policy);

    /// Admits a job that is not admitted yet: fixes its Md as M times the share of the machines that are up
    /// and lack its image. Does nothing if no machine was up at the last `refresh`.
    void admit(bookkeeping::Job& job, const bookkeeping::Fleet& fleet) const;

    /// Brings ts, E[ts] and the zones that count for E[tr] up to date. `waiting`: the jobs with waiting
    /// tasks. `up`: the machines whose workers send heartbeats to this leader, each once. Walks over both, so
    /// it is not for each heartbeat.
    void refresh(const std::vector<bookkeeping::Job*>& waiting,
                 const std::vector<const bookkeeping::Machine*>& up, const bookkeeping::Fleet& fleet,
                 Time now);

    /// May a degraded task of the job start on the machine? True if m/M >= md/Md, ts <= E[ts] and
    /// tr >= min(E[tr], threshold). The job must be admitted, or no machine be up.
    bool allows(const bookkeeping::Job& job, const bookkeeping::Machine& machine, Time now) const;

    /// A task of the job starts in the zone and fetches its image: md grows by one and tr starts again.
    void recordFetch(bookkeeping::Job& job, const std::string& zone, Time now);

    /// A worker's heartbeat showed the end of a fetch that took so long.
    void recordFetchTime(Seconds took);

    /// The paper's threshold: the mean of the recorded fetch times, or the policy's `fetchStart` before the
    /// first.
    Seconds expectedFetchTime() const;

  private:
    bool withinFetchShare(const bookkeeping::Job& job) const;
    bool hasSpareTime(const bookkeeping::Machine& machine) const;
    bool zoneMayFetch(const std::string& zone, Time now) const;
    double cachedTaskTime(const bookkeeping::Machine& machine) const;
    Seconds meanTimeSinceFetch(Time now) const;
    void refreshImageWork(const std::vector<bookkeeping::Job*>& waiting, const bookkeeping::Fleet& fleet);

    const protocol::Settings& settings_;
    const protocol::Policy& policy_;

    // Seconds that the image's waiting tasks take if all machines that have the image share them.
    std::unordered_map<bookkeeping::Image, double, bookkeeping::Image::Hash> imageWork_;
    double meanCachedTaskTime_ = 0;  // E[ts], in seconds
    std::size_t machinesUp_ = 0;
    std::map<std::string, Time> lastFetch_;      // when the last fetch of each zone started
    std::set<std::string> zonesWithHeartbeats_;  // those that count for E[tr]
    Seconds meanFetchTime_{0};
    std::uint32_t recordedFetchTimes_ = 0;
};

}  // namespace burlpoint::coordination
