#include "coordination/node.h"

#include <gtest/gtest.h>

#include "state_stub.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using protocol::Settings;
using transport::Outcome;

namespace {

std::string freeAddress(asio::io_context& io) {
    asio::ip::tcp::acceptor acceptor(io, transport::parseEndpoint("127.0.0.1:0"));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// Whole nodes on loopback around the stand-in for the state service; there is no cloud.
struct Nodes : testing::Test {
    static constexpr char kNowhere[] = "127.0.0.1:1";

    asio::io_context io{1};
    tests::StateStub stub{io};
    transport::Client http{io, 50};
    protocol::Policy policy;
    Settings one = settings("one"), two = settings("two"), three = settings("three");

    Settings settings(const std::string& name) {
        Settings s;
        s.name = name;
        s.zones = {"z"};
        s.listen = freeAddress(io);
        s.peerListen = freeAddress(io);
        s.state = stub.address();
        s.cloud = kNowhere;
        return s;
    }
    static protocol::Peer peer(const Settings& s) { return {s.name, "z", s.peerListen}; }
    static protocol::Peer unreachable(const Settings& s) { return {s.name, "z", kNowhere}; }

    Outcome report(const Settings& to) {
        protocol::Report r{"m1", "127.0.0.1:1", "plain", "z", false, 1, ++sequence, 0, {}, {}};
        std::optional<Outcome> out;
        http.request(to.listen, "POST", protocol::paths::kReport, protocol::encodeReport(r), 4s,
                     [&](Outcome outcome) { out = std::move(outcome); });
        while (!out) io.run_one();
        return *out;
    }
    void runFor(transport::Duration time) {
        const auto end = transport::Clock::now() + time;
        while (transport::Clock::now() < end) io.run_one_for(5ms);
    }
    static std::string elsewhere(const Outcome& outcome) {
        if (outcome.status != 421) return std::to_string(outcome.status);
        return protocol::Fields(protocol::unpackBody(outcome.body).get())
            .maybeText("harbormaster")
            .value_or("");
    }
    std::uint64_t sequence = 0;
};

}  // namespace

// Seen on a simulated day: behind a cut, workers tried one node after the other until their lease was over.
TEST_F(Nodes, ANodeThatCannotReachTheLeaderNamesOneThatCan) {
    one.peers = {peer(two), unreachable(three)};
    two.peers = {peer(one), peer(three)};
    three.peers = {unreachable(one), peer(two)};
    coordination::Node first(io, one, policy);
    while (report(one).status != 200) runFor(50ms);
    coordination::Node second(io, two, policy), third(io, three, policy);
    while (elsewhere(report(three)) != "two") runFor(50ms);
    const auto relayed = report(two);  // which passes it on
    EXPECT_EQ(relayed.status, 200);
    EXPECT_EQ(protocol::Fields(protocol::unpackBody(relayed.body).get()).integer("helm"), 1u);
}
