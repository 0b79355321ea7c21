#pragma once

// Lease votes: in an outage of the key-value store, each peer may promise the leader not to become leader
// itself for a limited time, and the promises of all peers stand in for the renewal of the leader's lease.
// Owns the vote that this controller gave and those that it received as the leader. It does no I/O and is
// used on the event loop's thread.

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
    /// How long a vote is valid for the leader that receives it, from when the leader sent its request.
    static constexpr Duration kVoteDuration{2500};
    /// How long a restarted process must assume that a vote from before its restart binds it, because votes
    /// are not stored. The added 1% exceeds the 0.1% for clock drift that `giveVote` adds to a vote.
    static constexpr Duration kUnknownVoteDuration = kVoteDuration + kVoteDuration / 100;

    /// Promises the leader with `fencingToken` that this controller will not become leader from `now` on.
    /// Returns how long the leader may rely on that. The promise binds even if the leader's key disappears.
    Duration giveVote(std::uint64_t fencingToken, Time now);
    /// True if this controller is bound at `now` by the vote it gave. A vote for a leader that has resigned
    /// does not bind: `maxResignedToken` is the highest fencing token whose leader is known to have resigned.
    bool isBound(Time now, std::uint64_t maxResignedToken) const;

    /// Records a peer's vote for `duration`, given in response to this leader's request sent at `sent`. The
    /// vote counts for at most `kVoteDuration`. Zero or less means no vote, and leaves an earlier vote in
    /// force.
    void recordReceivedVote(const std::string& peer, Duration duration, Time sent);
    /// True if votes of all `peers` are in force at `now`. False if there are no peers.
    bool allInForce(const std::vector<protocol::Peer>& peers, Time now) const;
    /// Discards the received votes, as they are void once this controller stops leading. Keeps the vote that
    /// it gave.
    void discardReceived() { receivedVotes_.clear(); }

  private:
    Time givenVoteEnd_{};               // when the given vote ends
    std::uint64_t givenVoteToken_ = 0;  // fencing token of the leader voted for, 0: no vote given
    std::map<std::string, LeaderLease> receivedVotes_;  // by peer name
};

}  // namespace burlpoint::coordination
