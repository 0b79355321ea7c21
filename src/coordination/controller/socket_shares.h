#pragma once

// The division of the maximum number of sockets in the settings among their uses. Stateless.

#include <cstddef>

#include "protocol/settings.h"

namespace burlpoint::coordination::sockets {

// Shares of `maxConnections`. Accepted connections have the largest share, as every worker keeps one open to
// the leader, in addition to the connections of users; the connections that a controller opens are
// short-lived.
inline constexpr double kClients = 0.74;   // accepted from users, workers and the load balancer
inline constexpr double kPeers = 0.04;     // accepted from peers
inline constexpr double kServices = 0.07;  // opened to the key-value store, the cloud and peers
inline constexpr double kWorkers = 0.12;   // opened to workers, for direct commands

/// The share for forwarded heartbeats, which is part of `kServices`: the key-value store needs the rest.
inline constexpr double kForwards = 0.04;

static_assert(kForwards < kServices);
static_assert(kClients + kPeers + kServices + kWorkers < 0.98);

/// The number of sockets in a share.
inline std::size_t count(const protocol::Settings& settings, double share) {
    return static_cast<std::size_t>(settings.maxConnections * share);
}

}  // namespace burlpoint::coordination::sockets
