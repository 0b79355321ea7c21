#pragma once

// What the zones offer a gang of several tasks, counting work that would yield to it. Owns and changes
// nothing.

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "coordination/scheduling/placement_constraints.h"
#include "coordination/scheduling/scan_counter.h"

namespace burlpoint::coordination {

/// What a zone offers a gang, in tasks of it.
struct GangCapacity {
    struct Share {
        bookkeeping::Machine* machine = nullptr;
        std::uint32_t tasks = 0;  // that fit if all that may yield did
    };

    std::string zone;             // empty: all zones together
    std::uint32_t withPreemption = 0;   // fit if all that may yield did; at most the gang's size
    std::uint32_t possible = 0;   // would fit beside nothing but replicas; at most the gang's size
    std::uint32_t free = 0;       // fit at once
    std::vector<Share> machines;  // those with any room

    /// The room with the greater merit is the better one.
    auto merit() const { return std::tuple(withPreemption, possible, free); }
};

/// The zone that offers the gang most, or what all zones offer together if it need not be in one. It walks
/// over all machines for each zone.
GangCapacity bestGangCapacity(const bookkeeping::Job& job, const bookkeeping::Fleet& fleet,
                              const std::vector<std::string>& zones, const PlacementConstraints& constraints,
                              ScanCounter& scans, Time now);

}  // namespace burlpoint::coordination
