#pragma once

// Computes how much capacity the zones have for a gang of several tasks, counting tasks that it could
// preempt. Pure functions apart from the scan counter; owns no state. Used on the leader's thread.

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
        std::uint32_t tasks = 0;  // that fit if all tasks that the gang may preempt were stopped
    };

    std::string zone;                    // a zone, or kAllZones
    std::uint32_t withPreemption = 0;    // if all preemptible tasks were stopped; at most the gang's size
    std::uint32_t withReplicasOnly = 0;  // if only service replicas ran; at most the gang's size
    std::uint32_t free = 0;              // without preemption; may exceed the gang's size
    std::vector<OnMachine> machines;     // machines with capacity for at least one task

    /// A greater key means a zone that suits the gang better.
    auto comparisonKey() const { return std::tuple(withPreemption, withReplicasOnly, free); }
};

/// The capacity of the best zone for the gang, or of all zones together if the gang is not restricted to one
/// zone. Iterates over all machines once for each zone.
GangCapacity bestGangCapacity(const bookkeeping::Job& job, const bookkeeping::Fleet& fleet,
                              const std::vector<std::string>& zones, const PlacementConstraints& constraints,
                              ScanCounter& scans, Time now);

}  // namespace burlpoint::coordination
