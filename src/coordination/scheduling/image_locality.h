#pragma once

// Looks up what machines that already have a job's image can offer it, so that its tasks need no fetch. Owns
// no state of its own: answers are cached in the job's run for a moment, so that handling a heartbeat does
// not search the fleet each time. Used on the leader's thread.

#include <cstdint>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "coordination/scheduling/fetch_pacing.h"
#include "coordination/scheduling/placement_constraints.h"
#include "coordination/scheduling/scan_counter.h"
#include "protocol/policy.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

class ImageLocality {
  public:
    /// All are kept by reference and have to outlive this.
    ImageLocality(const protocol::Settings& settings, const protocol::Policy& policy,
                  const bookkeeping::Fleet& fleet, const FetchPacing& pacing,
                  const PlacementConstraints& constraints, ScanCounter& scans);

    /// How many of the job's waiting tasks fit on machines that have its image and are due to send a
    /// heartbeat soon.
    std::uint32_t capacityWithImage(bookkeeping::Job& job, Time now);

    /// Should the job wait for a machine that has its image? True if a fetch would make it miss the wait
    /// objective of its class, while such a machine could take it, by preemption if need be. Never true where
    /// the policy switches preemption off.
    bool waitsForImage(bookkeeping::Job& job, Time now);

  private:
    bool fetchWouldMissObjective(const bookkeeping::Job& job, Time now) const;

    const protocol::Settings& settings_;
    const protocol::Policy& policy_;
    const bookkeeping::Fleet& fleet_;
    const FetchPacing& pacing_;
    const PlacementConstraints& constraints_;
    ScanCounter& scans_;
};

}  // namespace burlpoint::coordination
