#pragma once

// The order of a worker's messages, by which late and duplicate messages are recognised. Plain values.

#include <compare>
#include <cstdint>

#include "protocol/worker_messages.h"

namespace burlpoint::bookkeeping {

/// The position of a message in the order in which a worker sent its messages. Of two messages of the same
/// worker, the one with the lesser version was sent first.
struct HeartbeatVersion {
    std::uint64_t incarnation = 0;  // increases with each start of the worker
    std::uint64_t sequence = 0;     // increases with each message of an incarnation
    auto operator<=>(const HeartbeatVersion&) const = default;
};

inline HeartbeatVersion heartbeatVersionOf(const protocol::Heartbeat& heartbeat) {
    return {heartbeat.incarnation, heartbeat.sequence};
}

}  // namespace burlpoint::bookkeeping
