#include "coordination/controller/heartbeat_forwarder.h"

#include <gtest/gtest.h>

#include "base/clock.h"
#include "protocol/msgpack_codec.h"
#include "protocol/worker_messages.h"
#include "transport/endpoint.h"
#include "transport/executor.h"
#include "transport/http_client.h"
#include "transport/http_message.h"
#include "transport/http_server.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using coordination::HeartbeatForwarder;
using coordination::HeartbeatOrigin;
using coordination::LocalRole;

namespace {

/// A follower "one" whose replica names "two" as the leader. The leader answers forwarded heartbeats with
/// `leaderStatus`.
struct HeartbeatForwarderTest : testing::Test {
    HeartbeatForwarderTest() {
        const auto address = "127.0.0.1:" + std::to_string(leader.localEndpoint().port());
        settings.peers = {{"two", "z", address}, {"three", "z", "127.0.0.1:1"}};
        replica.leader = storage::LeaderRecord{"two", 7};
    }
    void receiveStatus(const std::string& node, std::uint64_t leaderToken) {
        protocol::PeerStatus status;
        status.node = node;
        status.leaderToken = leaderToken;
        peers.recordStatus(status, now);
    }
    static std::string heartbeat(const std::string& machine) {
        return protocol::encodeHeartbeat({machine, "127.0.0.1:1", "plain", "z", false, 1, 1, 0, {}, {}});
    }
    transport::Response answer(const std::string& body, HeartbeatOrigin origin = HeartbeatOrigin::worker,
                               LocalRole role = LocalRole::follower) {
        std::optional<transport::Response> out;
        const auto reply = [&](transport::Response response) { out = std::move(response); };
        forwarder.answer({body, origin, reply}, role, now);
        while (!out) io.run_one();
        return *out;
    }
    /// The controller named in a 421 response.
    static std::string redirectTarget(const transport::Response& response) {
        EXPECT_EQ(response.status, 421);
        const auto handle = protocol::unpackBody(response.body);
        return protocol::MapReader(handle.get()).maybeText("harbormaster").value_or("");
    }

    asio::io_context io{1};
    int leaderStatus = 200;
    std::vector<std::string> forwarded;  // request bodies received by the leader
    transport::HttpServer leader{io,
                                 transport::parseEndpoint("127.0.0.1:0"),
                                 {},
                                 [this](transport::Request&& request, const transport::Reply& reply) {
                                     EXPECT_EQ(request.path, protocol::paths::kRelay);
                                     forwarded.push_back(request.body);
                                     transport::Response response;
                                     response.status = leaderStatus;
                                     response.body = "as the leader says";
                                     reply(response);
                                 }};
    transport::HttpClient http{io, 10};
    protocol::Settings settings;
    bookkeeping::StateReplica replica;
    coordination::PeerExchange peers{settings, replica, [](const auto&) {}};
    static constexpr std::size_t kMaxForwards = 2;
    HeartbeatForwarder forwarder{settings, http, peers, kMaxForwards};
    Time now{1000s};
};

}  // namespace

TEST_F(HeartbeatForwarderTest, FirstHeartbeatForwardedThenWorkerIsRedirectedToLeader) {
    receiveStatus("two", 7);
    const auto first = answer(heartbeat("m1"));
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(first.body, "as the leader says");
    EXPECT_EQ(forwarded, std::vector{heartbeat("m1")});
    EXPECT_EQ(redirectTarget(answer(heartbeat("m1"))), "two");
    EXPECT_EQ(answer(heartbeat("m2")).status, 200);  // the history is kept per worker
    EXPECT_EQ(forwarded.size(), 2u);
}

TEST_F(HeartbeatForwarderTest, LeaderDoesNotAnswerThenRedirectNamesNoController) {
    receiveStatus("two", 7);
    leaderStatus = 503;
    EXPECT_EQ(redirectTarget(answer(heartbeat("m1"))), "");
    settings.peers[0].name = "another";
    EXPECT_EQ(redirectTarget(answer(heartbeat("m2"))),
              "");  // the leader is not among the peers in the settings
    EXPECT_EQ(forwarded.size(), 1u);
}

TEST_F(HeartbeatForwarderTest, NoRecentLeaderStatusThenPeerWithOneIsNamed) {
    EXPECT_EQ(redirectTarget(answer(heartbeat("m1"))), "");
    receiveStatus("three", 7);
    EXPECT_EQ(redirectTarget(answer(heartbeat("m1"))), "three");
    EXPECT_EQ(redirectTarget(answer(heartbeat("m1"), HeartbeatOrigin::peer)), "");
    EXPECT_EQ(redirectTarget(answer(heartbeat("m1"), HeartbeatOrigin::worker, LocalRole::leader)), "");
    replica.leader.reset();
    EXPECT_EQ(redirectTarget(answer(heartbeat("m1"))), "");
    EXPECT_TRUE(forwarded.empty());
}

// After a failover, hundreds of workers may send heartbeats to followers at once. Guards against forwarding
// that uses up all sockets: in a simulation it then failed, leases expired, and 634 tasks ended with them.
TEST_F(HeartbeatForwarderTest, ForwardLimitReachedThenWorkerIsRedirectedAtOnce) {
    receiveStatus("two", 7);
    std::vector<transport::Response> answers;
    const auto reply = [&](transport::Response response) { answers.push_back(std::move(response)); };
    for (const auto* machine : {"m1", "m2", "m3"})
        forwarder.answer({heartbeat(machine), HeartbeatOrigin::worker, reply}, LocalRole::follower, now);
    ASSERT_EQ(answers.size(), 1u);  // without waiting for the two pending ones
    EXPECT_EQ(redirectTarget(answers[0]), "two");
    while (answers.size() < 3) io.run_one();
    EXPECT_EQ(forwarded.size(), kMaxForwards);
    // The worker m3 returns, so it did not reach the leader. The number of forwards is below the limit again,
    // so its heartbeat is forwarded.
    EXPECT_EQ(answer(heartbeat("m3")).status, 200);
}

TEST_F(HeartbeatForwarderTest, LeaderKnownFromPeersOnlyThenHeartbeatIsForwarded) {
    replica.leader.reset();
    protocol::PeerStatus status;
    status.node = "two";
    status.fencingToken = 8;
    peers.recordStatus(status, now);
    EXPECT_EQ(answer(heartbeat("m1")).status, 200);
    EXPECT_EQ(redirectTarget(answer(heartbeat("m1"))), "two");
}

TEST_F(HeartbeatForwarderTest, HeartbeatForwardedByPeerThenNotForwardedAgain) {
    receiveStatus("two", 7);
    EXPECT_EQ(redirectTarget(answer(heartbeat("m1"), HeartbeatOrigin::peer)), "");
    EXPECT_EQ(redirectTarget(answer(heartbeat("m1"), HeartbeatOrigin::worker, LocalRole::leader)), "");
    EXPECT_TRUE(forwarded.empty());
}

TEST_F(HeartbeatForwarderTest, MalformedHeartbeatThenRejectedAndNotForwarded) {
    receiveStatus("two", 7);
    EXPECT_EQ(answer("nonsense").status, 400);
    EXPECT_TRUE(forwarded.empty());
}

TEST_F(HeartbeatForwarderTest, DropObsoleteThenOnlyHistoryOfAbsentWorkersIsDropped) {
    receiveStatus("two", 7);
    EXPECT_EQ(answer(heartbeat("m1")).status, 200);
    forwarder.dropObsolete(now + 1s);
    EXPECT_EQ(redirectTarget(answer(heartbeat("m1"))), "two");
    forwarder.dropObsolete(now + 60s);
    EXPECT_EQ(answer(heartbeat("m1")).status, 200);
}

// Guards against workers that are partitioned from the leader's zone losing their leases although another
// controller can reach both them and the leader.
TEST(ForwardDecider, WorkerReturnsAfterRedirectThenHeartbeatsAreForwardedForAPeriod) {
    using Decision = coordination::ForwardDecider::Decision;
    coordination::ForwardDecider decider;
    Time now{1000s};
    EXPECT_EQ(decider.decide(now), Decision::forward);
    EXPECT_EQ(decider.decide(now += 2s), Decision::redirect);
    EXPECT_EQ(decider.decide(now += 5s), Decision::forward);  // the worker did not reach the leader
    for (int i = 0; i < 14; ++i) EXPECT_EQ(decider.decide(now += 2s), Decision::forward);
    EXPECT_EQ(decider.decide(now += 2s), Decision::redirect);  // the forwarding period is over
    EXPECT_EQ(decider.decide(now += 5s), Decision::forward);
    EXPECT_TRUE(decider.isObsolete(now += 60s));
    EXPECT_EQ(decider.decide(now), Decision::forward);  // with an empty history
    EXPECT_EQ(decider.decide(now += 2s), Decision::redirect);
}
