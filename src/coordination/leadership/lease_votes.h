#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/leadership/leader_lease.h"
#include "protocol/settings.h"

/// Grants of nodes to a leader, that they will not try to lead for a while, carry it through an outage of the
/// key-value store. `LeaseVotes` owns this node's own grant and those that its peers gave to it as the
/// leader.
namespace burlpoint::coordination {

/// The votes that this node gave and was given. It doesn't judge whether one may be given: that is the
/// election's.
class LeaseVotes {
  public:
    /// How long a grant holds for the leader that gets it, from when it asked.
    static constexpr Duration kLife{2500};
    /// So long after its start a process may be bound by a grant that its former self gave.
    static constexpr Duration kForgottenLife = kLife + kLife / 100;

    /// This node grants the leader under `fencingToken` that it won't try to lead, from `now` on. Returns the
    /// grant's life as the leader is told it. The grant holds whatever becomes of the leader's key.
    Duration giveVote(std::uint64_t fencingToken, Time now);
    /// Is this node bound by its grant? Not to a leader that gave up: `resignedTokens` is the highest fencing
    /// token that one is known to have given up.
    bool bound(Time now, std::uint64_t resignedTokens) const;

    /// A peer granted this leader `life` (at most `kLife` is taken; none if not positive) in answer to a
    /// question sent at `sent`.
    void noteReceived(const std::string& peer, Duration life, Time sent);
    /// Are the votes of all peers in force? Not if there are none.
    bool allInForce(const std::vector<protocol::Peer>& peers, Time now) const;
    /// This node doesn't lead any more: votes to it count for nothing. Its own holds.
    void dropReceived() { received_.clear(); }

  private:
    Time givenUntil_{};                            // this node's grant to `givenTo_` ends
    std::uint64_t givenTo_ = 0;                    // a leader's fencing token, 0: none
    std::map<std::string, LeaderLease> received_;  // of the peers, to this leader
};

}  // namespace burlpoint::coordination
