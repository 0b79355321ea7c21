#pragma once

// How a controller divides the sockets that its settings allow among its uses. Pure constants and functions.

#include <cstddef>

#include "protocol/settings.h"

namespace burlpoint::coordination::sockets {

// Shares of `maxConnections`. Every worker keeps a connection to the leader, beside the users that any
// controller has; connections that a controller opens itself are short-lived.
inline constexpr double kClients = 0.74;   // accepted from users, workers and the load balancer
inline constexpr double kPeers = 0.04;     // accepted from peers
inline constexpr double kServices = 0.07;  // opened to the key-value store, the cloud and peers
inline constexpr double kWorkers = 0.12;   // opened to workers, for direct commands

/// Of those for services, the most for forwarded heartbeats: the key-value store needs the rest.
inline constexpr double kForwards = 0.04;

static_assert(kForwards < kServices);
static_assert(kClients + kPeers + kServices + kWorkers < 0.98);

/// The number of sockets in a share.
inline std::size_t count(const protocol::Settings& settings, double share) {
    return static_cast<std::size_t>(settings.maxConnections * share);
}

}  // namespace burlpoint::coordination::sockets
