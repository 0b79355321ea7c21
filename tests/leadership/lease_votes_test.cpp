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
    EXPECT_FALSE(votes.allInForce({}, kStart));  // without peers there is nobody to vote
    votes.noteReceived("two", LeaseVotes::kVoteLife, kStart);
    EXPECT_FALSE(votes.allInForce(kPeers, kStart));
    votes.noteReceived("four", LeaseVotes::kVoteLife, kStart);
    EXPECT_FALSE(votes.allInForce(kPeers, kStart));
    votes.noteReceived("three", LeaseVotes::kVoteLife, kStart);
    EXPECT_TRUE(votes.allInForce(kPeers, kStart));
    votes.forgetReceived();
    EXPECT_FALSE(votes.allInForce(kPeers, kStart));
}

// The leader counts from when it asked and the peer from when it voted, so the leader's time ends first.
TEST(LeaseVotes, VoteReceivedThenItEndsBeforeThePeerIsUnbound) {
    LeaseVotes leader, peer;
    const auto life = peer.giveVote(7, kStart);
    leader.noteReceived("two", life, kStart);
    const std::vector<protocol::Peer> two{{"two", "z", ""}};
    EXPECT_TRUE(leader.allInForce(two, kStart + life - 200ms));
    EXPECT_FALSE(leader.allInForce(two, kStart + life - 150ms));
    EXPECT_TRUE(peer.isBound(kStart + life, 0));
    EXPECT_FALSE(peer.isBound(kStart + life + 10ms, 0));
    EXPECT_GE(LeaseVotes::kUnknownVoteLife, life + life / 1000);
}

TEST(LeaseVotes, LongVoteThenCappedAndALaterRefusalLeavesItInForce) {
    LeaseVotes votes;
    const std::vector<protocol::Peer> two{{"two", "z", ""}};
    votes.noteReceived("two", 60s, kStart);
    EXPECT_TRUE(votes.allInForce(two, kStart + 2s));
    EXPECT_FALSE(votes.allInForce(two, kStart + LeaseVotes::kVoteLife));
    votes.noteReceived("two", 0ms, kStart + 1s);
    EXPECT_TRUE(votes.allInForce(two, kStart + 2s));
}

TEST(LeaseVotes, LeaderResignedThenTheVoteDoesNotBind) {
    LeaseVotes votes;
    EXPECT_FALSE(votes.isBound(kStart, 0));
    votes.giveVote(7, kStart);
    EXPECT_TRUE(votes.isBound(kStart, 6));
    EXPECT_FALSE(votes.isBound(kStart, 7));
    votes.forgetReceived();
    EXPECT_TRUE(votes.isBound(kStart, 6));  // the vote that it gave stays
}
