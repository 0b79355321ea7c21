#pragma once

// Lease votes: in an outage of the key-value store, peers promise a leader not to become leader for a while,
// and the promises of all peers replace the renewal of its lease. Owns the vote that this controller gave and
// those that it received as the leader. It does no I/O and is used on the event loop's thread.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/leadership/leader_lease.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// The votes that this controller gave and received. `Election` decides whether a vote may be given.
class LeaseVotes {
  public:
    /// How long a vote lasts for the leader that receives it, from when it asked.
    static constexpr Duration kVoteLife{2500};
    /// A restarted process doesn't know what it voted before. After this time no such vote can bind it.
    static constexpr Duration kUnknownVoteLife = kVoteLife + kVoteLife / 100;

    /// Promises the leader with `fencingToken` not to become leader, from `now` on. Returns how long the
    /// leader may rely on that. The promise holds even if the leader's key disappears.
    Duration giveVote(std::uint64_t fencingToken, Time now);
    /// Is this controller bound by the vote it gave? A leader that resigned binds nobody: `resignedTokens` is
    /// the highest fencing token known to have been resigned.
    bool isBound(Time now, std::uint64_t resignedTokens) const;

    /// A peer answered this leader's request, sent at `sent`, with a vote for `life`. At most `kVoteLife` is
    /// relied on. A life that is not positive means no vote, and leaves an earlier vote in force.
    void noteReceived(const std::string& peer, Duration life, Time sent);
    /// Are votes of all `peers` in force? False if there are no peers.
    bool allInForce(const std::vector<protocol::Peer>& peers, Time now) const;
    /// This controller leads no more, so the votes it received are void. The vote that it gave stays.
    void forgetReceived() { received_.clear(); }

  private:
    Time givenUntil_{};                            // when the vote given to `givenTo_` ends
    std::uint64_t givenTo_ = 0;                    // a leader's fencing token, 0: no vote given
    std::map<std::string, LeaderLease> received_;  // by peer
};

}  // namespace burlpoint::coordination
