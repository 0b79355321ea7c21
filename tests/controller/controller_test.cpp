#include "coordination/controller/controller.h"

#include <gtest/gtest.h>

#include <set>

#include "base/clock.h"
#include "protocol/msgpack_codec.h"
#include "storage/store_stub.h"
#include "transport/endpoint.h"
#include "transport/executor.h"
#include "transport/http_client.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using protocol::Settings;
using transport::HttpResult;

namespace {

std::string freeAddress(asio::io_context& io) {
    asio::ip::tcp::acceptor acceptor(io, transport::parseEndpoint("127.0.0.1:0"));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// Whole controllers on loopback around a stub of the key-value store; there is no cloud.
struct ControllerTest : testing::Test {
    static constexpr char kNowhere[] = "127.0.0.1:1";

    asio::io_context io{1};
    tests::StoreStub stub{io};
    tests::StoreStub own{io, &stub};  // a link of its own to the same store, for one controller
    transport::HttpClient http{io, 50};
    protocol::Policy policy;
    Settings one = settings("one"), two = settings("two"), three = settings("three");

    Settings settings(const std::string& name) {
        Settings s;
        s.name = name;
        s.zones = {"z"};
        s.listenAddress = freeAddress(io);
        s.peerListenAddress = freeAddress(io);
        s.storeAddress = stub.address();
        s.cloudAddress = kNowhere;
        return s;
    }
    static protocol::Peer peer(const Settings& s) { return {s.name, "z", s.peerListenAddress}; }
    static protocol::Peer unreachable(const Settings& s) { return {s.name, "z", kNowhere}; }

    HttpResult ask(const std::string& address, const std::string& path, const std::string& body = {}) {
        std::optional<HttpResult> out;
        http.request(address, "POST", path, body, 4s, [&](HttpResult outcome) { out = std::move(outcome); });
        while (!out) io.run_one();
        return *out;
    }
    HttpResult heartbeat(const Settings& to, std::uint64_t fencingToken = 0,
                         std::vector<protocol::TaskStatus> tasks = {}) {
        protocol::Heartbeat r{"m1", "127.0.0.1:1", "plain",      "z", false,
                              1,    ++sequence,    fencingToken, {},  std::move(tasks)};
        return ask(to.listenAddress, protocol::paths::kHeartbeat, protocol::encodeHeartbeat(r));
    }
    /// The answer to a status message, as a leader would send it.
    protocol::PeerStatus question(const Settings& to, const protocol::PeerStatus& status) {
        return protocol::decodePeerStatus(
            ask(to.peerListenAddress, protocol::paths::kPeer, protocol::encodePeerStatus(status)).body);
    }
    std::uint64_t store(const protocol::JobSpec& spec, storage::TerminalState terminalState) {
        std::vector<std::string> failed;
        return stub.store.transact(
            {}, {{storage::keys::job(spec.id), storage::encodeJob({spec, terminalState, 0, 0, 4}), 0}},
            failed);
    }
    static protocol::JobSpec job(const std::string& id) {
        protocol::JobSpec spec;
        spec.id = id;
        spec.jobClass = spec.image = std::string(1, 'x');
        spec.team = "team";
        spec.kind = protocol::JobKind::service;
        spec.cpus = 1;
        return spec;
    }
    void runFor(Duration time) {
        const auto end = Clock::now() + time;
        while (Clock::now() < end) io.run_one_for(5ms);
    }
    static std::string elsewhere(const HttpResult& outcome) {
        if (outcome.status != 421) return std::to_string(outcome.status);
        return protocol::MapReader(protocol::unpackBody(outcome.body).get())
            .maybeText("harbormaster")
            .value_or("");
    }
    std::uint64_t sequence = 0;
};

}  // namespace

// Seen on a simulated day: behind a network cut, workers tried one controller after the other until their
// leases expired.
TEST_F(ControllerTest, FollowerCutOffFromLeaderThenNamesPeerInTouchWithIt) {
    one.peers = {peer(two), unreachable(three)};
    two.peers = {peer(one), peer(three)};
    three.peers = {unreachable(one), peer(two)};
    coordination::Controller first(io, one, policy);
    while (heartbeat(one).status != 200) runFor(50ms);
    coordination::Controller second(io, two, policy), third(io, three, policy);
    while (elsewhere(heartbeat(three)) != "two") runFor(50ms);
    const auto forwarded = heartbeat(two);  // which forwards it
    EXPECT_EQ(forwarded.status, 200);
    EXPECT_EQ(protocol::MapReader(protocol::unpackBody(forwarded.body).get()).integer("helm"), 1u);
}

// A follower that the key-value store refuses learns of a new leader from that leader alone. Seen on a
// simulated day: it was the only controller that both the leader and the workers behind a cut could reach.
TEST_F(ControllerTest, FollowerRefusedByStoreThenForwardsToNewLeader) {
    two.storeAddress = own.address();
    one.peers = {peer(two), peer(three)};
    two.peers = {peer(one), peer(three)};
    three.peers = {peer(one), peer(two)};
    auto first = std::make_unique<coordination::Controller>(io, one, policy);
    while (heartbeat(one).status != 200) runFor(50ms);
    coordination::Controller second(io, two, policy), third(io, three, policy);
    while (heartbeat(two).status != 200) runFor(50ms);  // it has read who leads
    own.outage = true;
    first.reset();
    stub.store.endLease(stub.store.values.at(storage::keys::kLeader).lease);
    stub.wake();
    while (heartbeat(three).status != 200) runFor(50ms);
    // The next leader's message comes within a second, which is far less than these rounds take.
    constexpr int kRounds = 400;
    int rounds = 0;
    HttpResult forwarded;
    do {
        runFor(50ms);
        forwarded = heartbeat(two);
    } while (forwarded.status != 200 && ++rounds < kRounds);
    ASSERT_EQ(forwarded.status, 200);
    EXPECT_EQ(protocol::MapReader(protocol::unpackBody(forwarded.body).get()).integer("helm"), 2u);
}

// The store refuses only the leader, another controller confirms a cancellation, and then the store serves
// nobody for longer than a cancelled task may run. The peers that extend the leader's lease by their votes
// tell it what to stop, and its other tasks go on.
TEST_F(ControllerTest, LeaderExtendedByVotesThenStopsJobsCancelledThroughPeers) {
    std::vector<std::string> failed;
    protocol::MachineType type{"plain", 8, 0, 32, 10, 1, 1, 1, Seconds(5), {"z"}};
    stub.store.transact({}, {{storage::keys::kTypes, protocol::encodeMachineTypes({type}), 0}}, failed);
    policy.leadership = Seconds(4);
    for (auto* s : {&one, &two, &three}) s->teams = {{"team", 0, 0, 0, 0}};
    one.storeAddress = own.address();
    one.peers = {peer(two), peer(three)};
    two.peers = {peer(one), peer(three)};
    three.peers = {peer(one), peer(two)};
    coordination::Controller first(io, one, policy);
    while (heartbeat(one).status != 200) runFor(50ms);
    coordination::Controller second(io, two, policy), third(io, three, policy);
    for (const auto* id : {"wk-1", "wk-2"}) {
        protocol::MessagePacker p;
        protocol::packSpec(p, job(id));
        while (ask(two.listenAddress, protocol::paths::kSubmissions, p.take()).status != 201) runFor(50ms);
    }
    std::vector<protocol::TaskStatus> tasks;
    std::uint64_t fencingToken = 0;
    while (tasks.size() < 2) {
        const auto answer = heartbeat(one, fencingToken, tasks);
        ASSERT_EQ(answer.status, 200);
        fencingToken = protocol::MapReader(protocol::unpackBody(answer.body).get()).integer("helm");
        for (const auto& command : protocol::decodeCommands(answer.body))
            if (command.kind == protocol::CommandKind::start)
                tasks.push_back({command.attempt, protocol::TaskState::running, {}, false});
        runFor(50ms);
    }
    runFor(1500ms);  // the others come to know this leader and each other
    own.outage = true;
    runFor(1200ms);  // too short to tell a refusal from an outage
    EXPECT_EQ(ask(two.listenAddress, std::string(protocol::paths::kSubmissions) + "/wk-1/cancel").status,
              200);
    stub.outage = true;
    bool stopped = false;
    // Twice as long as the leader's own lease.
    for (int i = 0; i < 80; ++i) {
        const auto answer = heartbeat(one, fencingToken, tasks);
        ASSERT_EQ(answer.status, 200) << "in round " << i;
        for (const auto& command : protocol::decodeCommands(answer.body)) {
            EXPECT_EQ(command.kind, protocol::CommandKind::stop);
            EXPECT_EQ(command.attempt.job, "wk-1");
            std::erase_if(tasks, [&](const auto& t) { return t.attempt == command.attempt; });
            stopped = true;
        }
        runFor(100ms);
    }
    EXPECT_TRUE(stopped);
    EXPECT_EQ(tasks.size(), 1u);
}

// A leader cut off from the store and from its peers acts until its leader lease expires, while other
// controllers confirm cancellations to users. Seen on simulated days: it started tasks of such a job for six
// seconds.
TEST_F(ControllerTest, LeaderThatCannotReadStoreThenStartsNothing) {
    std::vector<std::string> failed;
    protocol::MachineType type{"plain", 8, 0, 32, 10, 1, 1, 1, Seconds(5), {"z"}};
    stub.store.transact({}, {{storage::keys::kTypes, protocol::encodeMachineTypes({type}), 0}}, failed);
    policy.leadership = Seconds(8);
    for (auto* s : {&one, &two}) {
        s->teams = {{"team", 0, 0, 0, 0}};
        s->workerLease = Seconds(24);
        s->cancelTimeout = Seconds(44);
    }
    one.storeAddress = own.address();
    one.peers = {unreachable(two)};
    two.peers = {unreachable(one)};
    coordination::Controller first(io, one, policy);
    while (heartbeat(one).status != 200) runFor(50ms);
    coordination::Controller second(io, two, policy);
    protocol::MessagePacker p;
    protocol::packSpec(p, job("wk-1"));
    const auto body = p.take();
    while (ask(two.listenAddress, protocol::paths::kSubmissions, body).status != 201) runFor(50ms);
    std::vector<protocol::TaskStatus> tasks;
    std::uint64_t fencingToken = 0;
    int starts = 0;
    const auto round = [&] {
        const auto answer = heartbeat(one, fencingToken, tasks);
        ASSERT_EQ(answer.status, 200);
        fencingToken = protocol::MapReader(protocol::unpackBody(answer.body).get()).integer("helm");
        for (const auto& command : protocol::decodeCommands(answer.body)) {
            if (command.kind == protocol::CommandKind::acknowledge) tasks.clear();
            if (command.kind != protocol::CommandKind::start) continue;
            tasks = {{command.attempt, protocol::TaskState::running, {}, false}};
            ++starts;
        }
        runFor(100ms);
    };
    const auto end = [&] {
        for (auto& task : tasks) {
            task.state = protocol::TaskState::exited;
            task.why = protocol::ExitReason::stopped;
        }
    };
    while (starts < 1) round();
    round();
    end();
    while (starts < 2) round();  // a replica that ends is started again
    round();
    own.outage = true;
    const auto cancel = std::string(protocol::paths::kSubmissions).append("/wk-1/cancel");
    while (ask(two.listenAddress, cancel).status != 200) runFor(50ms);
    runFor(1600ms);
    end();
    // It may lose its entitlement at any time; until then it must not start anything.
    for (int i = 0; i < 20; ++i) {
        const auto answer = heartbeat(one, fencingToken, tasks);
        if (answer.status != 200) break;
        for (const auto& command : protocol::decodeCommands(answer.body))
            EXPECT_NE(command.kind, protocol::CommandKind::start);
        runFor(100ms);
    }
}

// Cancellations that do not fit one message come in parts, and the vote with the last one. A process other
// than the one that was asked before starts from the beginning.
TEST_F(ControllerTest, PeerWithMoreCancellationsToTellThenDoesNotVoteYet) {
    std::uint64_t middle = 0;
    for (int i = 0; i < 1200; ++i) {
        const auto revision = store(job("wk-" + std::to_string(i)), storage::TerminalState::cancelled);
        if (i == 599) middle = revision;
    }
    std::vector<std::string> failed;
    stub.store.transact({},
                        {{storage::keys::kLeader, storage::encodeLeader({"one", 7}), 0},
                         {storage::keys::kToken, storage::encodeToken(7), 0}},
                        failed);
    two.peers = {peer(one), unreachable(three)};
    one.peerListenAddress = kNowhere;
    coordination::Controller second(io, two, policy);
    protocol::PeerStatus asking;
    asking.node = "one";
    asking.fencingToken = 7;
    asking.revision = stub.store.revision;
    while (question(two, asking).log == 0) runFor(50ms);
    while (ask(two.listenAddress, std::string(protocol::paths::kSubmissions) + "/wk-0/cancel").status != 200)
        runFor(50ms);
    stub.outage = true;
    while (question(two, asking).voteMs == 0) runFor(50ms);
    EXPECT_TRUE(question(two, asking).cancelled.empty());  // the asking leader knows all of them

    asking.revision = 0;
    std::set<std::string> heard;
    protocol::PeerStatus answer;
    int parts = 0;
    for (; !answer.complete; ++parts) {
        answer = question(two, asking);
        EXPECT_EQ(answer.voteMs > 0, answer.complete);
        for (const auto& c : answer.cancelled) EXPECT_TRUE(heard.insert(c.job).second);
        asking.log = answer.log;
        asking.logAt = answer.logAt;
    }
    EXPECT_EQ(heard.size(), 1200u);
    EXPECT_GE(parts, 3);
    EXPECT_TRUE(question(two, asking).cancelled.empty());
    asking.log += 1;  // of a process that has ended
    EXPECT_EQ(question(two, asking).cancelled.size(), answer.cancelled.size() + 300);
    asking.revision = middle;
    EXPECT_FALSE(question(two, asking).complete);
}
