#include "coordination/leadership/lease_votes.h"

#include <gtest/gtest.h>

#include "base/clock.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using coordination::LeaseVotes;

namespace {

const Time kStart{1000s};
const std::vector<protocol::Peer> kPeers{{"two", "z", ""}, {"three", "z", ""}};

}  // namespace

TEST(LeaseVotes, VotesOfSomePeersThenNotInForce) {
    LeaseVotes votes;
    EXPECT_FALSE(votes.allInForce(kPeers, kStart));
    EXPECT_FALSE(votes.allInForce({}, kStart));  // without peers there are no votes
    votes.recordReceivedVote("two", LeaseVotes::kVoteDuration, kStart);
    EXPECT_FALSE(votes.allInForce(kPeers, kStart));
    votes.recordReceivedVote("four", LeaseVotes::kVoteDuration, kStart);
    EXPECT_FALSE(votes.allInForce(kPeers, kStart));
    votes.recordReceivedVote("three", LeaseVotes::kVoteDuration, kStart);
    EXPECT_TRUE(votes.allInForce(kPeers, kStart));
    votes.discardReceived();
    EXPECT_FALSE(votes.allInForce(kPeers, kStart));
}

// A vote runs for the leader from when it sent the request and for the peer from when it voted, so it ends
// for the leader first.
TEST(LeaseVotes, VoteReceivedThenItEndsBeforeThePeerIsUnbound) {
    LeaseVotes leader, peer;
    const auto duration = peer.giveVote(7, kStart);
    leader.recordReceivedVote("two", duration, kStart);
    const std::vector<protocol::Peer> two{{"two", "z", ""}};
    EXPECT_TRUE(leader.allInForce(two, kStart + duration - 200ms));
    EXPECT_FALSE(leader.allInForce(two, kStart + duration - 150ms));
    EXPECT_TRUE(peer.isBound(kStart + duration, 0));
    EXPECT_FALSE(peer.isBound(kStart + duration + 10ms, 0));
    EXPECT_GE(LeaseVotes::kUnknownVoteDuration, duration + duration / 1000);
}

TEST(LeaseVotes, LongVoteThenCappedAndALaterRefusalLeavesItInForce) {
    LeaseVotes votes;
    const std::vector<protocol::Peer> two{{"two", "z", ""}};
    votes.recordReceivedVote("two", 60s, kStart);
    EXPECT_TRUE(votes.allInForce(two, kStart + 2s));
    EXPECT_FALSE(votes.allInForce(two, kStart + LeaseVotes::kVoteDuration));
    votes.recordReceivedVote("two", 0ms, kStart + 1s);
    EXPECT_TRUE(votes.allInForce(two, kStart + 2s));
}

TEST(LeaseVotes, LeaderResignedThenTheVoteDoesNotBind) {
    LeaseVotes votes;
    EXPECT_FALSE(votes.isBound(kStart, 0));
    votes.giveVote(7, kStart);
    EXPECT_TRUE(votes.isBound(kStart, 6));
    EXPECT_FALSE(votes.isBound(kStart, 7));
    votes.discardReceived();
    EXPECT_TRUE(votes.isBound(kStart, 6));  // the vote that this controller gave still binds it
}
