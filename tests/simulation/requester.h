#pragma once

// The leadership that sent a message or request, as the network, the store and the cloud see it. A value; the
// leadership may be gone before the answer comes.

#include <cstdint>
#include <functional>

#include "base/clock.h"
#include "coordination/controller/leader_actions.h"
#include "coordination/controller/leader_events.h"

namespace burlpoint::simulation {

struct Requester {
    std::uint64_t fencingToken = 0;
    bool insideCutZone = false;  // in the zone that is cut off, if one is
    bool reachesStore = true;
    /// Gives the leadership an event after a delay, unless it is gone by then.
    std::function<void(Clock::duration delay, coordination::LeaderEvent event)> respond;
};

}  // namespace burlpoint::simulation
