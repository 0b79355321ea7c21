#include "coordination/leadership/lease_votes.h"

#include <algorithm>

namespace burlpoint::coordination {

Duration LeaseVotes::giveVote(std::uint64_t fencingToken, Time now) {
    givenUntil_ = now + kVoteLife + kVoteLife / 1000;  // 0.1% covers two clocks drifting apart
    givenTo_ = fencingToken;
    return kVoteLife;
}

bool LeaseVotes::isBound(Time now, std::uint64_t resignedTokens) const {
    return now < givenUntil_ && givenTo_ > resignedTokens;
}

void LeaseVotes::noteReceived(const std::string& peer, Duration life, Time sent) {
    if (life.count() <= 0) return;
    LeaderLease vote;
    vote.begin(sent, std::min(life, kVoteLife));
    received_[peer] = vote;
}

bool LeaseVotes::allInForce(const std::vector<protocol::Peer>& peers, Time now) const {
    return !peers.empty() && std::all_of(peers.begin(), peers.end(), [&](const auto& peer) {
        const auto vote = received_.find(peer.name);
        return vote != received_.end() && vote->second.valid(now);
    });
}

}  // namespace burlpoint::coordination
