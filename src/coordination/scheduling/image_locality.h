#pragma once

// Looks up the capacity of machines that already have a job's image, where its tasks need no fetch. Owns no
// state: results are cached in the job's run for 250 ms, so that not every heartbeat leads to a search of the
// fleet. Used on the leader's thread.

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
    /// Keeps references to all arguments, which must outlive this object.
    ImageLocality(const protocol::Settings& settings, const protocol::Policy& policy,
                  const bookkeeping::Fleet& fleet, const FetchPacing& pacing,
                  const PlacementConstraints& constraints, ScanCounter& scans);

    /// The number of the job's tasks that fit on machines that have its image and are expected to send a
    /// heartbeat soon. The count stops once it covers all waiting tasks.
    std::uint32_t capacityWithImage(bookkeeping::Job& job, Time now);

    /// True if the job should wait for a machine that has its image: a fetch would make it miss the wait
    /// objective of its class, and such a machine could run a task of it, with preemption if necessary. Never
    /// true if the policy disables preemption.
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
