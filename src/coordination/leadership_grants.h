#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coordination/tenure.h"
#include "protocol/settings.h"
#include "transport/http.h"

/// Grants of nodes to a leader, that they will not try to lead for a while, carry it through an outage of the
/// state service. `LeadershipGrants` owns this node's own grant and those that its peers gave to it as the
/// leader.
namespace burlpoint::coordination {

/// The grants that this node gave and was given. It doesn't judge whether one may be given: that is the
/// election's.
class LeadershipGrants {
  public:
    /// How long a grant holds for the leader that gets it, from when it asked.
    static constexpr transport::Duration kLife{2500};
    /// So long after its start a process may be bound by a grant that its former self gave.
    static constexpr transport::Duration kForgottenLife = kLife + kLife / 100;

    /// This node grants the leader under `token` that it won't try to lead, from `now` on. Returns the
    /// grant's life as the leader is told it. The grant holds whatever becomes of the leader's key.
    transport::Duration give(std::uint64_t token, transport::Time now);
    /// Is this node bound by its grant? Not to a leader that gave up: `resignedTokens` is the highest token
    /// that one is known to have given up.
    bool bound(transport::Time now, std::uint64_t resignedTokens) const;

    /// A peer granted this leader `life` (at most `kLife` is taken; none if not positive) in answer to a
    /// question sent at `sent`.
    void noteReceived(const std::string& peer, transport::Duration life, transport::Time sent);
    /// Are the grants of all peers in force? Not if there are none.
    bool allInForce(const std::vector<protocol::Peer>& peers, transport::Time now) const;
    /// This node doesn't lead any more: grants to it count for nothing. Its own holds.
    void dropReceived() { received_.clear(); }

  private:
    transport::Time givenUntil_{};            // this node's grant to `givenTo_` ends
    std::uint64_t givenTo_ = 0;               // a leader's token, 0: none
    std::map<std::string, Tenure> received_;  // of the peers, to this leader
};

}  // namespace burlpoint::coordination
