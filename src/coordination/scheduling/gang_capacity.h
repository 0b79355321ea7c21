#pragma once

// How much capacity the zones have for a gang of several tasks, counting tasks that it could preempt. Pure
// functions apart from the scan counter; owns nothing. Used on the leader's thread.

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "coordination/scheduling/placement_constraints.h"
#include "coordination/scheduling/scan_counter.h"

namespace burlpoint::coordination {

/// A zone's capacity for a gang, in tasks of the gang.
struct GangCapacity {
    struct OnMachine {
        bookkeeping::Machine* machine = nullptr;
        std::uint32_t tasks = 0;  // that fit if all that may be preempted were
    };

    std::string zone;                  // or kAllZones
    std::uint32_t withPreemption = 0;  // if all that may be preempted were; at most the gang's size
    std::uint32_t besideReplicas = 0;  // if all but service replicas left; at most the gang's size
    std::uint32_t free = 0;            // at once
    std::vector<OnMachine> machines;   // those with capacity for at least one task

    /// The greater capacity is the better one for the gang.
    auto comparisonKey() const { return std::tuple(withPreemption, besideReplicas, free); }
};

/// The capacity of the best zone for the gang, or of all zones together if it need not be in one. Walks over
/// all machines for each zone.
GangCapacity bestGangCapacity(const bookkeeping::Job& job, const bookkeeping::Fleet& fleet,
                              const std::vector<std::string>& zones, const PlacementConstraints& constraints,
                              ScanCounter& scans, Time now);

}  // namespace burlpoint::coordination
