#include "coordination/leadership/peer_exchange.h"

#include <gtest/gtest.h>

#include "base/clock.h"
#include "protocol/msgpack_codec.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using coordination::PeerExchange;
using protocol::Cancellation;
using protocol::PeerStatus;

namespace {

void apply(bookkeeping::StateReplica& replica, const std::string& key, const std::string& value,
           std::uint64_t version) {
    const auto handle = protocol::unpackBody(value);
    std::vector<bookkeeping::ReplicaChange> changes;
    ASSERT_TRUE(replica.apply({key, &handle.get(), version}, changes));
}

/// A controller "one" with the peers "two" and "three".
struct PeerExchangeTest : testing::Test {
    PeerExchangeTest() { settings.peers = {{"two", "z", ""}, {"three", "z", ""}}; }

    void storeCancelledJob(std::uint32_t job, std::uint64_t version) {
        protocol::JobSpec spec;
        spec.id = "wk-" + std::to_string(job);
        spec.jobClass = spec.image = "x";
        spec.team = "team";
        spec.cpus = 1;
        apply(replica, storage::keys::job(spec.id),
              storage::encodeJob({spec, storage::TerminalState::cancelled, 0, 0, 4}), version);
    }
    void storeLeader(const std::string& node, std::uint64_t fencingToken) {
        apply(replica, storage::keys::kLeader, storage::encodeLeader({node, fencingToken}),
              ++replica.revision);
    }
    static PeerStatus status(const std::string& node, std::uint64_t leaderToken = 0,
                             std::uint64_t stateAgeMs = 0) {
        PeerStatus status;
        status.node = node;
        status.leaderToken = leaderToken;
        status.stateAgeMs = stateAgeMs;
        return status;
    }

    protocol::Settings settings;
    bookkeeping::StateReplica replica;
    std::vector<Cancellation> appliedCancellations;
    PeerExchange exchange{settings, replica,
                          [this](const Cancellation& c) { appliedCancellations.push_back(c); }};
    const Time start{1000s};
};

}  // namespace

TEST_F(PeerExchangeTest, UnknownPeerThenItsStatusIsIgnored) {
    EXPECT_FALSE(exchange.recordStatus(status("four"), start));
    EXPECT_FALSE(exchange.hasRecentStatus("four", start));
    EXPECT_FALSE(exchange.hasRecentStatus("two", start));
    EXPECT_TRUE(exchange.recordStatus(status("two"), start));
    EXPECT_TRUE(exchange.hasRecentStatus("two", start + 2499ms));
    EXPECT_FALSE(exchange.hasRecentStatus("two", start + 2500ms));
}

TEST_F(PeerExchangeTest, LeaderKnownThenNamesPeerWithRecentLeaderStatus) {
    exchange.recordStatus(status("three", 7), start);
    EXPECT_EQ(exchange.peerWithRecentLeaderStatus(start), "");  // there is no leader
    storeLeader("two", 8);
    EXPECT_EQ(exchange.peerWithRecentLeaderStatus(start), "");  // it reports an earlier leader
    exchange.recordStatus(status("two", 8), start);
    EXPECT_EQ(exchange.peerWithRecentLeaderStatus(start), "");  // the leader itself
    exchange.recordStatus(status("three", 8), start);
    EXPECT_EQ(exchange.peerWithRecentLeaderStatus(start), "three");
    EXPECT_EQ(exchange.peerWithRecentLeaderStatus(start + 3s), "");
}

// A follower that the key-value store refuses learns of the new leader from its peers only. In a simulation
// it was the only controller through which the workers behind a network partition could find the leader.
TEST_F(PeerExchangeTest, PeerLeadsWithAHigherTokenThenItIsTheKnownLeader) {
    EXPECT_FALSE(exchange.knownLeader(start));
    storeLeader("one", 7);
    auto claim = status("two", 8);
    claim.fencingToken = 8;
    exchange.recordStatus(claim, start);
    ASSERT_TRUE(exchange.knownLeader(start));
    EXPECT_EQ(exchange.knownLeader(start)->node, "two");
    EXPECT_EQ(exchange.knownLeader(start)->fencingToken, 8u);
    EXPECT_EQ(exchange.knownLeader(start + 3s)->node, "one");  // the other's status is no longer recent
    claim.fencingToken = 6;
    exchange.recordStatus(claim, start);
    EXPECT_EQ(exchange.knownLeader(start)->node, "one");  // the stored leader has the higher fencing token
    exchange.recordStatus(status("two"), start);
    EXPECT_EQ(exchange.knownLeader(start)->node, "one");  // the other no longer leads
}

TEST_F(PeerExchangeTest, PeerAnsweredLongerThenIsolatedFromStore) {
    const auto lastAnswerAt = start;
    const auto now = start + 4s;
    EXPECT_FALSE(exchange.isolatedFromStore(lastAnswerAt, now));  // no peer has a recent status
    exchange.recordStatus(status("two", 0, 2100), now);
    EXPECT_FALSE(exchange.isolatedFromStore(lastAnswerAt, now));  // the peer is no longer answered either
    exchange.recordStatus(status("two", 0, 100), now);
    EXPECT_TRUE(exchange.isolatedFromStore(lastAnswerAt, now));
    EXPECT_FALSE(exchange.isolatedFromStore(now - 2s, now));  // the store's silence is too short
    EXPECT_FALSE(exchange.isolatedFromStore(lastAnswerAt, now + 3s));
    // An outage that directly follows a refusal: the store answered the peer for less than 2 s longer.
    exchange.recordStatus(status("two", 0, 1900), now - 300ms);
    EXPECT_FALSE(exchange.isolatedFromStore(lastAnswerAt, now - 300ms));
}

TEST_F(PeerExchangeTest, ManyCancellationsThenSentInPartsAndOnlyOnce) {
    bookkeeping::StateReplica other;
    PeerExchange asking(settings, other, [](const Cancellation&) {});
    for (std::uint32_t job = 0; job < 1100; ++job) storeCancelledJob(job, job + 1);
    other.revision = 50;  // the asking controller has read the state up to this revision
    std::size_t received = 0;
    for (const std::size_t part : {500u, 500u, 50u}) {
        PeerStatus question, answer;
        asking.describeKnownState("two", question);
        EXPECT_EQ(question.revision, 50u);
        exchange.appendCancellations(question, answer);
        received += answer.cancelled.size();
        EXPECT_EQ(answer.cancelled.size(), part);
        EXPECT_EQ(answer.complete, received == 1050);
        answer.node = "two";
        EXPECT_EQ(asking.applyCancellations(answer), !answer.complete);
    }
    EXPECT_EQ(received, 1050u);
    PeerStatus question, answer;
    asking.describeKnownState("two", question);
    exchange.appendCancellations(question, answer);
    EXPECT_TRUE(answer.cancelled.empty());
    EXPECT_TRUE(answer.complete);
}

TEST_F(PeerExchangeTest, PeerRestartedThenItsLogIsReadFromTheStart) {
    for (std::uint32_t job = 0; job < 3; ++job) storeCancelledJob(job, job + 1);
    PeerExchange restarted(settings, replica, [](const Cancellation&) {});
    PeerStatus question, answer, again;
    exchange.appendCancellations(question, answer);
    EXPECT_NE(answer.logId, 0u);
    question.logId = answer.logId;
    question.logPosition = answer.logPosition;
    restarted.appendCancellations(question, again);
    EXPECT_NE(again.logId, answer.logId);
    EXPECT_EQ(again.cancelled, answer.cancelled);
}

TEST_F(PeerExchangeTest, AnswerOfAPeerThenCancellationsAndLogPositionAreApplied) {
    auto answer = status("two");
    answer.cancelled = {{"wk-1", 4}, {"wk-2", 9}};
    answer.logId = 77;
    answer.logPosition = 12;
    EXPECT_TRUE(exchange.applyCancellations(answer));  // the peer has more cancellations
    EXPECT_EQ(appliedCancellations, answer.cancelled);
    PeerStatus question;
    exchange.describeKnownState("two", question);
    EXPECT_EQ(question.logId, 77u);
    EXPECT_EQ(question.logPosition, 12u);
    exchange.describeKnownState("three", question);
    EXPECT_EQ(question.logId, 0u);
    EXPECT_EQ(question.logPosition, 0u);
}
