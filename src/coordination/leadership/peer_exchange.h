#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "bookkeeping/state_replica.h"
#include "protocol/peer_messages.h"
#include "protocol/settings.h"

/// What nodes tell each other: which leader each is in touch with, when the key-value store answered each,
/// and the cancellations that a leader may not know. `PeerExchange` owns what this node heard from each peer
/// and the number of its own log of cancellations. It does no I/O: the node sends and answers the messages.
namespace burlpoint::coordination {

/// This node's side of the exchange with its peers.
class PeerExchange {
  public:
    /// Takes in a cancellation that a peer has confirmed; it may be known already.
    using NoteCancelled = std::function<void(const protocol::Cancellation&)>;

    /// Draws the number of this process's log of cancellations. `replica` is this node's copy of what is
    /// stored; it and `settings` must outlive this.
    PeerExchange(const protocol::Settings& settings, const bookkeeping::StateReplica& replica,
                 NoteCancelled noteCancelled);

    /// Notes what a peer tells of itself, at `now`. False: the settings know no such peer, and nothing of the
    /// message may be used.
    bool noteStatus(const protocol::PeerStatus& status, Time now);

    /// Was the peer heard within the last 2.5 s?
    bool inTouch(const std::string& peer, Time now) const;

    /// The leader as far as this node knows: the one stored, or a peer that is in touch and says that it
    /// leads under a higher fencing token. Only for finding the leader; entitlement to act never follows from
    /// this.
    std::optional<storage::LeaderRecord> knownLeader(Time now) const;

    /// A peer that is in touch with the leader while this node is not, to be named to a worker; empty if none
    /// is. A worker that tried one node after the other would spend its lease on those behind the same cut.
    std::string peerInTouchWithLeader(Time now) const;

    /// Does the key-value store answer peers and not this node, which it answered at `lastAnswer` last? When
    /// nobody is answered it is an outage that all nodes share, and the answer is no.
    bool refusedAlone(Time lastAnswer, Time now) const;

    /// Fills in what a leader's question to `peer` names, so that the peer tells the cancellations not known
    /// here. Fields of an earlier use are overwritten.
    void describeKnownState(const std::string& peer, protocol::PeerStatus& question) const;

    /// Adds to the answer to a leader's question the cancellations that the leader may not know: one part, as
    /// a message has its bounds. `answer.complete` tells whether it is the last part.
    void appendCancellations(const protocol::PeerStatus& asking, protocol::PeerStatus& answer) const;

    /// Takes in the cancellations in a peer's answer, and how far the peer's log is known by now. True: the
    /// peer has more to tell and should be asked again at once. `answer.node` must be one of the peers.
    bool applyCancellations(const protocol::PeerStatus& answer);

  private:
    struct PeerView {
        Time heardAt{};
        Time stateAnsweredAt{};         // when the key-value store answered it last, by its own account
        std::uint64_t ownToken = 0;     // the fencing token that it leads under, 0: it does not lead
        std::uint64_t leaderToken = 0;  // the fencing token of the leader that it is in touch with
        std::uint64_t log = 0;          // its log of cancellations, 0: not known
        std::uint64_t logAt = 0;        // and how far that is known here
    };

    const protocol::Settings& settings_;
    const bookkeeping::StateReplica& replica_;
    const NoteCancelled noteCancelled_;
    const std::uint64_t log_;  // names this process's log of cancellations
    std::unordered_map<std::string, PeerView> peers_;
};

}  // namespace burlpoint::coordination
