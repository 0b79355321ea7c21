#pragma once

// The order of a worker's messages, by which late and duplicated ones are recognised. Plain values.

#include <compare>
#include <cstdint>

#include "protocol/worker_messages.h"

namespace burlpoint::bookkeeping {

/// Of two versions of the same worker, the lesser was sent first.
struct HeartbeatVersion {
    std::uint64_t incarnation = 0;  // rises with each start of the worker
    std::uint64_t sequence = 0;     // rises with each message of an incarnation
    auto operator<=>(const HeartbeatVersion&) const = default;
};

inline HeartbeatVersion heartbeatVersionOf(const protocol::Heartbeat& heartbeat) {
    return {heartbeat.incarnation, heartbeat.sequence};
}

}  // namespace burlpoint::bookkeeping
