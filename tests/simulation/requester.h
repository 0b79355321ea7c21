#pragma once

// The leadership that sent a message or request, as the network, the store and the cloud see it. It is copied
// into pending events, because the leadership may have ended before the response arrives.

#include <cstdint>
#include <functional>

#include "base/clock.h"
#include "coordination/controller/leader_actions.h"
#include "coordination/controller/leader_events.h"

namespace burlpoint::simulation {

struct Requester {
    std::uint64_t fencingToken = 0;
    bool insidePartitionedZone = false;  // whether the leader is in the zone that is partitioned
    bool reachesStore = true;
    /// Delivers an event to the leadership after a delay, unless the leadership has ended by then.
    std::function<void(Clock::duration delay, coordination::LeaderEvent event)> respond;
};

}  // namespace burlpoint::simulation
