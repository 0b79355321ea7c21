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
    std::uint64_t version = 0;  ///< of the job's record that says so
    bool operator==(const Cancellation&) const = default;
};

/// A controller's status, sent to a peer as a question or as the answer to one.
///
/// Each controller keeps a log of the cancellations that it knows, identified by a number that it draws when
/// it starts. A leader asks its peers for the cancellations that they know and it may not.
struct PeerStatus {
    std::string node;                 ///< the sender's name
    std::uint64_t fencingToken = 0;   ///< of a leader; 0 from a follower
    std::uint64_t resignedToken = 0;  ///< that the sender led with, and will never act under again
    std::uint64_t stateAgeMs = 0;     ///< since the key-value store last answered the sender
    std::uint64_t leaderToken = 0;    ///< of the leader that the sender is, or is in touch with
    std::uint64_t voteMs = 0;  ///< in an answer to a leader: for this long the sender won't try to lead
    /// Of a leader: how many tasks of each job run.
    std::vector<std::pair<std::string, std::uint32_t>> running;
    std::uint64_t revision = 0;  ///< of a leader: it knows everything stored up to this revision
    std::uint64_t log = 0;       ///< in a question: the log to read from; in an answer: the sender's own log
    std::uint64_t logAt = 0;  ///< in a question: where to begin; in an answer: up to where it tells the log
    std::vector<Cancellation> cancelled;
    bool complete = false;  ///< in an answer: it reaches the end of the log
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
