// When a machine may be given a task whose image it has to fetch, by DESIGN's degraded-first rule. Owns what
// that rule needs to know between reports: the work waiting per image, the last fetch of each zone and the
// mean fetch time. It decides nothing about room, priorities or order.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// DESIGN's pacing of fetches. In its terms: m counts a job's launched tasks, M all its tasks, md its paced
/// fetches, Md those expected at admission; ts is a machine's cached-task time and E[ts] its mean over the
/// machines that are up; tr is the time since a zone's last fetch and E[tr] its mean over the zones.
///
/// m and md, as well as Md once it is known, are kept in the job's run, as a leader that takes over counts
/// them anew.
class FetchPacing {
  public:
    /// Both are kept by reference and have to outlive this.
    FetchPacing(const protocol::Settings& settings, const protocol::Policy& policy);

    /// Fixes Md of a job that has none so far: M times the share of the machines that are up and lack its
    /// image. Does nothing as long as no machine was up at the last `refresh`.
    void admit(bookkeeping::Job& job, const bookkeeping::Fleet& fleet) const;

    /// Brings ts, E[ts] and the zones that count for E[tr] up to date. `waiting`: the jobs with waiting
    /// tasks; `up`: the machines whose workers report to this leader, each once. It walks over both, so it is
    /// not for each heartbeat.
    void refresh(const std::vector<bookkeeping::Job*>& waiting,
                 const std::vector<const bookkeeping::Machine*>& up, const bookkeeping::Fleet& fleet,
                 Time now);

    /// May a paced fetch of the job start on the machine? It may if m/M >= md/Md, ts <= E[ts] and
    /// tr >= min(E[tr], threshold). The job must be admitted or have no machine up.
    bool allows(const bookkeeping::Job& job, const bookkeeping::Machine& machine, Time now) const;

    /// A task of the job starts in the zone and fetches its image: md grows, and tr begins anew.
    void recordFetch(bookkeeping::Job& job, const std::string& zone, Time now);

    /// A worker reported the end of a fetch that took so long.
    void recordFetchTime(Seconds took);

    /// DESIGN's threshold: the mean fetch time reported, before the first the operators' `fetch-start-s`.
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

    std::unordered_map<bookkeeping::Image, double, bookkeeping::Image::Hash>
        imageWork_;                  // seconds waiting per image, for each cached processor
    double meanCachedTaskTime_ = 0;  // E[ts], seconds
    std::size_t machinesUp_ = 0;
    std::map<std::string, Time> lastFetch_;  // per zone, as it started
    std::set<std::string> reportingZones_;   // those that count for E[tr]
    Seconds meanFetchTime_{0};
    std::uint32_t fetchTimesSeen_ = 0;
};

}  // namespace burlpoint::coordination
