#pragma once

// The status messages that controllers exchange: who leads, how old the sender's view of the key-value store
// is, votes for the leader's lease, and the cancellations that a leader may not know yet. Holds no state.

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burlpoint::protocol {

/// A job that its user has cancelled.
struct Cancellation {
    std::string job;
    std::uint64_t version = 0;  ///< version of the job record that stores the cancellation
    bool operator==(const Cancellation&) const = default;
};

/// A controller's status, sent to a peer as a request or as the response to one.
///
/// Each controller keeps a log of the cancellations that it knows, identified by a random number drawn when
/// the controller starts. A leader requests from its peers the cancellations that it may not know yet.
struct PeerStatus {
    std::string node;                 ///< the sender's name
    std::uint64_t fencingToken = 0;   ///< the sender's token if it leads; 0 from a follower
    std::uint64_t resignedToken = 0;  ///< a token that the sender led with and will never use again
    std::uint64_t stateAgeMs = 0;     ///< time since the key-value store last answered the sender
    std::uint64_t leaderToken = 0;    ///< token of the leader that the sender is, or is in contact with
    std::uint64_t voteMs = 0;         ///< in a response to a leader: how long the sender will not try to lead
    /// Of a leader: the number of running tasks of each job.
    std::vector<std::pair<std::string, std::uint32_t>> running;
    std::uint64_t revision = 0;  ///< of a leader: the store revision up to which it has read all changes
    /// In a request: the log to read. In a response: the sender's own log.
    std::uint64_t logId = 0;
    /// In a request: where to begin reading. In a response: the end of the part that was read.
    std::uint64_t logPosition = 0;
    std::vector<Cancellation> cancelled;
    bool complete = false;  ///< in a response: the end of the log was reached
    bool operator==(const PeerStatus&) const = default;
};

/// Throws `MalformedMessage`. Fields that older versions don't send may be missing; they are 0, empty or
/// false then.
PeerStatus decodePeerStatus(std::string_view body);
std::string encodePeerStatus(const PeerStatus& status);

namespace paths {
inline constexpr char kPeer[] = "/peer";    ///< a peer's status
inline constexpr char kRelay[] = "/relay";  ///< a heartbeat that a follower forwards to the leader
}  // namespace paths

}  // namespace burlpoint::protocol
