#include "coordination/leadership/lease_votes.h"

#include <algorithm>

namespace burlpoint::coordination {

Duration LeaseVotes::giveVote(std::uint64_t fencingToken, Time now) {
    givenVoteEnd_ = now + kVoteDuration + kVoteDuration / 1000;  // 0.1% for the drift between two clocks
    givenVoteToken_ = fencingToken;
    return kVoteDuration;
}

bool LeaseVotes::isBound(Time now, std::uint64_t maxResignedToken) const {
    return now < givenVoteEnd_ && givenVoteToken_ > maxResignedToken;
}

void LeaseVotes::recordReceivedVote(const std::string& peer, Duration duration, Time sent) {
    if (duration.count() <= 0) return;
    LeaderLease vote;
    vote.begin(sent, std::min(duration, kVoteDuration));
    receivedVotes_[peer] = vote;
}

bool LeaseVotes::allInForce(const std::vector<protocol::Peer>& peers, Time now) const {
    return !peers.empty() && std::all_of(peers.begin(), peers.end(), [&](const auto& peer) {
        const auto vote = receivedVotes_.find(peer.name);
        return vote != receivedVotes_.end() && vote->second.valid(now);
    });
}

}  // namespace burlpoint::coordination
