#pragma once

// What nodes tell each other.

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/job_messages.h"

namespace burlpoint::protocol {

/// A job that its user has cancelled.
struct Cancellation {
    std::string job;
    std::uint64_t version = 0;  // of the record that tells it
    bool operator==(const Cancellation&) const = default;
};

/// What a node tells a peer, as a question or in answer to one.
struct PeerStatus {
    std::string node;
    std::uint64_t fencingToken = 0;   // of the sender's leadership, 0 for a follower
    std::uint64_t resignedToken = 0;  // a fencing token that the sender led with and will not act under again
    std::uint64_t stateAgeMs = 0;     // since the key-value store last answered the sender
    std::uint64_t leaderToken = 0;    // fencing token of the leader that the sender is or is in touch with
    std::uint64_t grantMs = 0;        // in an answer to a leader: so long the sender will not try to lead
    std::vector<std::pair<std::string, std::uint32_t>> running;  // a leader's counts per job
    // A leader asks for the cancellations that the other side knows and it may not.
    std::uint64_t revision = 0;  // it knows all that was stored up to here
    // Each process keeps a log of the cancellations it knows, named by a number that it draws as it starts.
    // In a question: whose log, and from where on; in an answer: the own one, and up to where it was told.
    std::uint64_t log = 0;
    std::uint64_t logAt = 0;
    std::vector<Cancellation> cancelled;
    bool complete = false;  // in an answer: nothing is left to tell
    bool operator==(const PeerStatus&) const = default;
};

/// Throws Malformed. Fields that older versions lack have a meaning when they are missing.
PeerStatus decodePeerStatus(std::string_view body);
std::string encodePeerStatus(const PeerStatus& status);

namespace paths {
inline constexpr char kPeer[] = "/peer";
inline constexpr char kRelay[] = "/relay";
}  // namespace paths

}  // namespace burlpoint::protocol
