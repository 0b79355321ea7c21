#pragma once

// The status that controllers exchange: the leader from which each has a recent status, when the key-value
// store last answered each, and the cancellations that a leader may not know. Owns the last status of each
// peer and the id of this controller's cancellation log, which is the list `StateReplica::cancelled`. It does
// no I/O: the controller sends and answers the messages, on the event loop's thread.

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
    /// Applies a cancellation that a peer has confirmed. It may be known already.
    using ApplyCancellation = std::function<void(const protocol::Cancellation&)>;

    /// Generates the id of this process's cancellation log. `settings` and `replica`, this controller's copy
    /// of the stored state, must outlive this.
    PeerExchange(const protocol::Settings& settings, const bookkeeping::StateReplica& replica,
                 ApplyCancellation applyCancellation);

    /// Records a peer's status, received at `now`. Returns false if the settings list no such peer, in which
    /// case no part of the message may be used.
    bool recordStatus(const protocol::PeerStatus& status, Time now);

    /// True if a status of the peer arrived within the last 2.5 s.
    bool hasRecentStatus(const std::string& peer, Time now) const;

    /// The leader as far as this controller knows: the stored one, or a peer whose recent status reports
    /// that it leads with a higher fencing token. Only for locating the leader, never a permission to act.
    std::optional<storage::LeaderRecord> knownLeader(Time now) const;

    /// The name of a peer that reports a recent status from the leader, empty if there is none. A worker that
    /// this controller cannot serve is referred to that peer. If it tried all controllers in turn instead,
    /// its lease could expire while it tries those that are cut off by the same network partition.
    std::string peerWithRecentLeaderStatus(Time now) const;

    /// True if the key-value store answers at least one peer but not this controller, which received its last
    /// answer at `lastAnswerAt`. False if it answers no controller, as in an outage that affects all of them.
    bool isolatedFromStore(Time lastAnswerAt, Time now) const;

    /// Sets the fields of `question`, a leader's status message to `peer`, that describe which cancellations
    /// this leader knows, so that the peer answers with the others. Overwrites the values that an earlier
    /// call set.
    void describeKnownState(const std::string& peer, protocol::PeerStatus& question) const;

    /// Adds to `answer`, the response to the leader's status message `query`, the cancellations that the
    /// leader may not know, at most 500. Sets `answer.complete` to true if there are no more.
    void appendCancellations(const protocol::PeerStatus& query, protocol::PeerStatus& answer) const;

    /// Applies the cancellations in a peer's answer and records the position reached in the peer's
    /// cancellation log. Returns true if the peer has more cancellations and should be asked again at once.
    /// `answer.node` must be one of the peers.
    bool applyCancellations(const protocol::PeerStatus& answer);

  private:
    /// What this controller knows of one peer from the messages of that peer.
    struct PeerView {
        Time lastStatusAt{};                  // when its last status arrived
        Time storeAnsweredAt{};               // when the key-value store last answered it, as it reports
        std::uint64_t ownFencingToken = 0;    // the fencing token that it leads with, 0: it does not lead
        std::uint64_t leaderToken = 0;        // the fencing token of the leader whose recent status it has
        std::uint64_t cancellationLogId = 0;  // 0: not known
        std::uint64_t cancellationLogPosition = 0;  // entries of its log before this position are known here
    };

    const protocol::Settings& settings_;
    const bookkeeping::StateReplica& replica_;
    const ApplyCancellation applyCancellation_;
    const std::uint64_t cancellationLogId_;  // random; positions in the log are valid for this process only
    std::unordered_map<std::string, PeerView> peers_;
};

}  // namespace burlpoint::coordination
