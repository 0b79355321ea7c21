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

TEST(LeaseVotes, OnlyVotesOfAllPeersCount) {
    LeaseVotes grants;
    EXPECT_FALSE(grants.allInForce(kPeers, kStart));
    EXPECT_FALSE(grants.allInForce({}, kStart));  // a node alone has nobody to grant it anything
    grants.noteReceived("two", LeaseVotes::kLife, kStart);
    EXPECT_FALSE(grants.allInForce(kPeers, kStart));
    grants.noteReceived("four", LeaseVotes::kLife, kStart);
    EXPECT_FALSE(grants.allInForce(kPeers, kStart));
    grants.noteReceived("three", LeaseVotes::kLife, kStart);
    EXPECT_TRUE(grants.allInForce(kPeers, kStart));
    grants.dropReceived();
    EXPECT_FALSE(grants.allInForce(kPeers, kStart));
}

// The leader's count ends before that of the peer, whose count begins later.
TEST(LeaseVotes, AReceivedVoteEndsBeforeTheGivenOne) {
    LeaseVotes leader, peer;
    const auto life = peer.giveVote(7, kStart);
    leader.noteReceived("two", life, kStart);
    const std::vector<protocol::Peer> two{{"two", "z", ""}};
    EXPECT_TRUE(leader.allInForce(two, kStart + life - 200ms));
    EXPECT_FALSE(leader.allInForce(two, kStart + life - 150ms));
    EXPECT_TRUE(peer.bound(kStart + life, 0));
    EXPECT_FALSE(peer.bound(kStart + life + 10ms, 0));
    EXPECT_GE(LeaseVotes::kForgottenLife, life + life / 1000);
}

TEST(LeaseVotes, AVoteIsBoundedAndARefusalTakesNoneBack) {
    LeaseVotes grants;
    const std::vector<protocol::Peer> two{{"two", "z", ""}};
    grants.noteReceived("two", 60s, kStart);
    EXPECT_TRUE(grants.allInForce(two, kStart + 2s));
    EXPECT_FALSE(grants.allInForce(two, kStart + LeaseVotes::kLife));
    grants.noteReceived("two", 0ms, kStart + 1s);
    EXPECT_TRUE(grants.allInForce(two, kStart + 2s));
}

TEST(LeaseVotes, ANodeIsNotBoundToALeaderThatGaveUp) {
    LeaseVotes grants;
    EXPECT_FALSE(grants.bound(kStart, 0));
    grants.giveVote(7, kStart);
    EXPECT_TRUE(grants.bound(kStart, 6));
    EXPECT_FALSE(grants.bound(kStart, 7));
    grants.dropReceived();
    EXPECT_TRUE(grants.bound(kStart, 6));  // its own grant is another matter
}
