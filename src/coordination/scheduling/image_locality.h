#pragma once

// What machines that already have a job's image offer it, so that its tasks need not fetch. The answers are
// kept in the job's run for a moment, so that a heartbeat's handling does not ask the fleet each time.

#include <cstdint>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "coordination/scheduling/fetch_pacing.h"
#include "coordination/scheduling/placement_constraints.h"
#include "coordination/scheduling/scan_counter.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

class ImageLocality {
  public:
    /// All are kept by reference and have to outlive this.
    ImageLocality(const protocol::Settings& settings, const protocol::Policy& policy,
                  const bookkeeping::Fleet& fleet, const FetchPacing& pacing,
                  const PlacementConstraints& constraints, ScanCounter& scans);

    /// How many of the job's waiting tasks fit on machines that have its image and report soon.
    std::uint32_t capacityWithImage(bookkeeping::Job& job, Time now);

    /// Would fetching its image make the job miss its class's wait aim, while a machine that has it could
    /// take it, by preemption if need be? Never true where the operators switched preemption off.
    bool waitsForImage(bookkeeping::Job& job, Time now);

  private:
    bool aimAllowsNoFetch(const bookkeeping::Job& job, Time now) const;

    const protocol::Settings& settings_;
    const protocol::Policy& policy_;
    const bookkeeping::Fleet& fleet_;
    const FetchPacing& pacing_;
    const PlacementConstraints& constraints_;
    ScanCounter& scans_;
};

}  // namespace burlpoint::coordination
