#pragma once

// What controllers tell each other: which leader each is in touch with, when the key-value store last
// answered each, and the cancellations that a leader may not know. Owns what this controller heard from each
// peer and the id of its own cancellation log. It does no I/O: the controller sends and answers the messages,
// on the event loop's thread.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "bookkeeping/state_replica.h"
#include "protocol/peer_messages.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// This controller's side of the exchange with its peers.
class PeerExchange {
  public:
    /// Takes in a cancellation that a peer has confirmed. It may be known already.
    using NoteCancelled = std::function<void(const protocol::Cancellation&)>;

    /// Draws the id of this process's cancellation log. `settings` and `replica`, this controller's copy of
    /// what is stored, must outlive this.
    PeerExchange(const protocol::Settings& settings, const bookkeeping::StateReplica& replica,
                 NoteCancelled noteCancelled);

    /// Notes what a peer says of itself, received at `now`. False: the settings know no such peer, and
    /// nothing of the message may be used.
    bool noteStatus(const protocol::PeerStatus& status, Time now);

    /// Was the peer heard within the last 2.5 s?
    bool inTouch(const std::string& peer, Time now) const;

    /// The leader as far as this controller knows: the stored one, or a peer that is in touch and says that
    /// it leads with a higher fencing token. Use it only to find the leader. It never entitles to act.
    std::optional<storage::LeaderRecord> knownLeader(Time now) const;

    /// A peer that is in touch with the leader, to name to a worker that this controller cannot serve; empty
    /// if there is none. A worker that tried all controllers in turn could use up its lease on those behind
    /// the same network partition.
    std::string peerInTouchWithLeader(Time now) const;

    /// Does the key-value store answer peers and not this controller, whose last answer came at `lastAnswer`?
    /// False if it answers nobody: that is an outage which all controllers share.
    bool refusedAlone(Time lastAnswer, Time now) const;

    /// Fills in, for a leader's question to `peer`, what is known here, so that the peer answers with the
    /// cancellations that are not. Overwrites what an earlier call filled in.
    void describeKnownState(const std::string& peer, protocol::PeerStatus& question) const;

    /// Adds to the answer to a leader's question the cancellations that the leader may not know, as many as a
    /// message may hold. `answer.complete` says whether these are the last.
    void appendCancellations(const protocol::PeerStatus& asking, protocol::PeerStatus& answer) const;

    /// Takes in the cancellations in a peer's answer, and how far the peer's log is known now. True: the peer
    /// has more to tell and should be asked again at once. `answer.node` must be one of the peers.
    bool applyCancellations(const protocol::PeerStatus& answer);

  private:
    struct PeerView {
        Time heardAt{};
        Time storeAnsweredAt{};               // when the key-value store last answered it, by its own account
        std::uint64_t leadingWith = 0;        // the fencing token that it leads with, 0: it does not lead
        std::uint64_t leaderToken = 0;        // the fencing token of the leader that it is in touch with
        std::uint64_t cancellationLogId = 0;  // 0: not known
        std::uint64_t cancellationLogPosition = 0;  // up to where its log is known here
    };

    const protocol::Settings& settings_;
    const bookkeeping::StateReplica& replica_;
    const NoteCancelled noteCancelled_;
    const std::uint64_t cancellationLogId_;  // of this process
    std::unordered_map<std::string, PeerView> peers_;
};

}  // namespace burlpoint::coordination
