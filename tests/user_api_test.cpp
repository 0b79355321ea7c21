#include "coordination/user_api.h"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "coordination/election.h"
#include "state_stub.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using protocol::Packer;
using tests::StateStub;
using transport::Clock;

namespace {

protocol::Settings settings(const std::string& name) {
    protocol::Settings s;
    s.name = name;
    s.teams = {{"team", 8, 16, 0, 1}};
    s.zones = {"z"};
    return s;
}

/// A node's users' side and election, against the stand-in.
struct Desk {
    Desk(asio::io_context& context, const StateStub& stub, const std::string& name = "one",
         protocol::Seconds leadership = protocol::Seconds(0))
        : io(context),
          config(settings(name)),
          policy{leadership},
          state(http, stub.address(), 1000, 1, Clock::now()),
          watcher(io, state, replica, [](const auto&) {}),
          userApi(io, config, state, replica, watcher),
          election(
              config, policy, state, replica, watcher, [this](std::uint64_t t) { token = t; },
              [this] { token = 0; }) {
        watcher.start();
    }
    void until(const std::function<bool()>& holds) {
        while (!holds()) io.run_one();
    }
    transport::Response ask(const char* method, const std::string& path, std::string body = {}) {
        std::optional<transport::Response> out;
        transport::Request request;
        request.method = method;
        request.path = path;
        request.body = std::move(body);
        if (!userApi.handle(request, [&](transport::Response r) { out = std::move(r); }))
            return {599, "", 0s, ""};
        until([&] { return out.has_value(); });
        return *out;
    }
    std::string bearing(const std::string& id) {
        const auto r = ask("GET", "/submissions/" + id);
        if (r.status != 200) return std::to_string(r.status);
        return protocol::Fields(protocol::unpackBody(r.body).get()).text("bearing");
    }

    asio::io_context& io;
    protocol::Settings config;
    protocol::Policy policy;
    transport::Client http{io, 50};
    storage::StateClient state;
    bookkeeping::StateReplica replica;
    coordination::StateWatcher watcher;
    coordination::UserApi userApi;
    coordination::Election election;
    std::uint64_t token = 0;
};

std::string body(const std::string& id, double cpus = 1, const std::string& team = "team",
                 std::uint32_t tasks = 2, protocol::Kind kind = protocol::Kind::array,
                 std::vector<std::string> dependencies = {}) {
    protocol::JobSpec spec;
    spec.id = id;
    spec.jobClass = spec.image = "x";
    spec.team = team;
    spec.cpus = cpus;
    spec.tasks = tasks;
    spec.kind = kind;
    spec.dependencies = std::move(dependencies);
    Packer p;
    protocol::packSpec(p, spec);
    return p.take();
}

std::string after(const std::string& id, std::vector<std::string> dependencies) {
    return body(id, 1, "team", 2, protocol::Kind::array, std::move(dependencies));
}

struct UserApiTest : testing::Test {
    asio::io_context io{1};
    StateStub stub{io};

    void SetUp() override {
        std::vector<std::string> failed;
        protocol::MachineType type;
        type.name = "m";
        type.cpus = 8;
        type.gpus = 1;
        stub.store.transact({}, {{storage::keys::kTypes, protocol::encodeMachineTypes({type}), 0}}, failed);
    }
};

}  // namespace

TEST_F(UserApiTest, EveryStatusOfTheUsersInterface) {
    Desk d(io, stub);
    d.until([&] { return d.watcher.synced(); });
    EXPECT_EQ(d.ask("POST", "/submissions", "nonsense").status, 400);
    EXPECT_EQ(d.ask("POST", "/submissions", Packer().map(0).take()).status, 400);
    EXPECT_EQ(d.ask("POST", "/submissions", body("wk-1", 1, "nobody")).status, 422);
    EXPECT_EQ(d.ask("POST", "/submissions", body("wk-1", 9)).status, 422);
    EXPECT_EQ(d.ask("POST", "/submissions", body("wk-1", 8, "team", 3, protocol::Kind::gang)).status, 422);
    EXPECT_EQ(d.ask("POST", "/submissions", body("wk-1", 8, "team", 3)).status, 201);
    EXPECT_EQ(d.ask("POST", "/submissions", body("wk-1", 8, "team", 3)).status, 200);
    EXPECT_EQ(d.bearing("wk-1"), "pending");
    EXPECT_EQ(d.bearing("wk-2"), "404");
    EXPECT_EQ(d.bearing("nonsense"), "404");
    EXPECT_EQ(d.ask("POST", "/submissions/wk-2/cancel").status, 404);
    EXPECT_EQ(d.ask("POST", "/submissions/wk-1/cancel").status, 200);
    EXPECT_EQ(d.bearing("wk-1"), "cancelled");
    EXPECT_EQ(d.ask("POST", "/submissions", body("wk-1", 8, "team", 3)).status, 200);
    EXPECT_EQ(d.ask("GET", "/submissions").status, 405);
    EXPECT_EQ(d.ask("POST", "/submissions/wk-1").status, 405);
    EXPECT_EQ(d.ask("GET", "/submissions/wk-1/cancel").status, 405);
    EXPECT_EQ(d.ask("GET", "/elsewhere").status, 599);
}

TEST_F(UserApiTest, NothingIsSaidThatAnOutageKeepsFromBeingKnown) {
    Desk d(io, stub);
    d.until([&] { return d.watcher.synced(); });
    EXPECT_EQ(d.ask("POST", "/submissions", body("wk-1")).status, 201);
    EXPECT_EQ(d.ask("POST", "/submissions", body("wk-2")).status, 201);
    EXPECT_EQ(d.ask("POST", "/submissions/wk-2/cancel").status, 200);
    EXPECT_EQ(d.bearing("wk-2"), "cancelled");
    stub.outage = true;
    EXPECT_EQ(d.bearing("wk-1"), "503");
    EXPECT_EQ(d.bearing("wk-3"), "503");        // another node may have accepted it
    EXPECT_EQ(d.bearing("wk-2"), "cancelled");  // final, so it stays true
    const auto refused = d.ask("POST", "/submissions", body("wk-3"));
    EXPECT_EQ(refused.status, 503);
    EXPECT_GE(refused.retryAfter, 1s);
    EXPECT_EQ(d.ask("POST", "/submissions/wk-1/cancel").status, 503);
}

// Each node sees at once what another has acknowledged.
TEST_F(UserApiTest, NodesNeverAnswerWithOlderStates) {
    Desk a(io, stub), b(io, stub, "two");
    a.until([&] { return a.watcher.synced() && b.watcher.synced(); });
    for (int i = 0; i < 20; ++i) {
        const auto id = "wk-" + std::to_string(i);
        EXPECT_EQ(b.bearing(id), "404");
        EXPECT_EQ(a.ask("POST", "/submissions", body(id)).status, 201);
        EXPECT_EQ(b.bearing(id), "pending");
        EXPECT_EQ(b.ask("POST", "/submissions", body(id)).status, 200);
        EXPECT_EQ(b.ask("POST", "/submissions/" + id + "/cancel").status, 200);
        EXPECT_EQ(a.bearing(id), "cancelled");
    }
}

// A write that was carried out without an answer is found again by the user's retry.
TEST_F(UserApiTest, UnansweredWritesAreNotTakenForFailures) {
    Desk d(io, stub);
    d.until([&] { return d.watcher.synced(); });
    stub.swallowWrites = true;
    EXPECT_EQ(d.ask("POST", "/submissions", body("wk-1")).status, 503);
    stub.swallowWrites = false;
    EXPECT_EQ(d.ask("POST", "/submissions", body("wk-1")).status, 200);
}

TEST_F(UserApiTest, ANodeThatCannotDecideSaysSo) {
    asio::io_context other{1};
    StateStub empty(other);
    Desk d(other, empty);
    d.until([&] { return d.watcher.synced(); });
    EXPECT_EQ(d.ask("POST", "/submissions", body("wk-1")).status, 503);  // no machine types yet
}

TEST_F(UserApiTest, AStoreReadInPagesIsWhole) {
    Desk writer(io, stub);
    writer.until([&] { return writer.watcher.synced(); });
    for (int i = 0; i < 25; ++i)
        EXPECT_EQ(writer.ask("POST", "/submissions", body("wk-" + std::to_string(i))).status, 201);
    stub.pageEntries = 4;
    Desk reader(io, stub, "two");
    reader.until([&] { return reader.watcher.synced(); });
    EXPECT_EQ(reader.replica.jobs().size(), 25u);
}

TEST_F(UserApiTest, OneLeaderAtATimeAndTokensRise) {
    Desk a(io, stub), b(io, stub, "two");
    const auto tick = [&] {
        a.election.tick(Clock::now());
        b.election.tick(Clock::now());
        io.run_one_for(5ms);
    };
    while (!a.token && !b.token) tick();
    std::uint64_t last = 0;
    for (int round = 0; round < 3; ++round) {
        while (!a.token && !b.token) tick();
        EXPECT_TRUE(!a.token || !b.token);
        auto& leader = a.token ? a : b;
        EXPECT_TRUE(leader.election.valid(Clock::now()));
        EXPECT_GT(leader.token, last);
        last = leader.token;
        leader.election.resign(Clock::now(), false);
        EXPECT_FALSE(leader.election.valid(Clock::now()));
    }
}

// The lease ended behind the leader's back: its next renewal tells it, and its writes fail by the token.
TEST_F(UserApiTest, ALeaderWhoseLeaseEndedStops) {
    Desk a(io, stub);
    while (!a.token) a.election.tick(Clock::now()), io.run_one_for(5ms);
    const auto old = a.replica.tokenVersion;
    stub.store.endLease(stub.store.leases.begin()->first);
    while (a.token) a.election.tick(Clock::now()), io.run_one_for(5ms);
    while (!a.token) a.election.tick(Clock::now()), io.run_one_for(5ms);
    std::vector<std::string> failed;
    EXPECT_EQ(stub.store.transact({{storage::keys::kToken, old}}, {{"bp/x", Packer().nilValue().take(), 0}},
                                  failed),
              0u);
}

// A node that set out to lead while nobody did must not depose the one that was quicker.
TEST_F(UserApiTest, ACandidateDoesNotDeposeAQuickerOne) {
    Desk a(io, stub);
    a.until([&] { return a.watcher.synced(); });
    stub.holdLeases = true;
    while (stub.store.leases.empty()) a.election.tick(Clock::now()), io.run_one_for(5ms);
    std::vector<std::string> failed;
    stub.store.transact({},
                        {{storage::keys::kLeader, storage::encodeLeader({"two", 1}), 0},
                         {storage::keys::kToken, storage::encodeToken(1), 0}},
                        failed);
    stub.wake();
    a.until([&] { return a.replica.leader.has_value(); });
    stub.release();
    for (int i = 0; i < 200; ++i) a.election.tick(Clock::now()), io.run_one_for(5ms);
    EXPECT_EQ(a.token, 0u);
    EXPECT_EQ(
        storage::decodeToken(protocol::unpackBody(stub.store.values.at(storage::keys::kToken).data).get()),
        1u);
}

// Should the token rise in any way, a leader stops even though its own lease goes on.
TEST_F(UserApiTest, ALeaderStopsWhenTheTokenRises) {
    Desk a(io, stub);
    while (!a.token) a.election.tick(Clock::now()), io.run_one_for(5ms);
    std::vector<std::string> failed;
    stub.store.transact({},
                        {{storage::keys::kLeader, storage::encodeLeader({"two", 9}), 0},
                         {storage::keys::kToken, storage::encodeToken(9), 0}},
                        failed);
    stub.wake();
    a.until([&] { return a.replica.token == 9; });
    a.election.tick(Clock::now());
    EXPECT_EQ(a.token, 0u);
}

// A leader that the state service refuses cannot end its lease. Its peers need not wait for that.
TEST_F(UserApiTest, APeerTakesOverFromALeaderThatGaveUp) {
    Desk a(io, stub), b(io, stub, "two");
    while (!a.token) a.election.tick(Clock::now()), io.run_one_for(5ms);
    b.until([&] { return b.replica.leader.has_value(); });
    for (int i = 0; i < 100; ++i) b.election.tick(Clock::now()), io.run_one_for(2ms);
    EXPECT_EQ(b.token, 0u);                   // no reason yet
    b.election.noteResignation(a.token - 1);  // of an earlier leadership
    for (int i = 0; i < 100; ++i) b.election.tick(Clock::now()), io.run_one_for(2ms);
    EXPECT_EQ(b.token, 0u);
    const auto token = a.token;
    a.election.resign(Clock::now(), true);
    EXPECT_EQ(a.election.resignedToken(), token);
    b.election.noteResignation(token);
    while (!b.token) b.election.tick(Clock::now()), io.run_one_for(5ms);
    EXPECT_GT(b.token, token);
}

// In an outage nobody can take the key. Grants of all peers stand in for the lease, so that workers keep
// their tasks; each peer keeps its grant whatever becomes of the key.
TEST_F(UserApiTest, GrantsOfAllPeersCarryALeaderThroughAnOutage) {
    Desk a(io, stub), b(io, stub, "two");
    a.config.peers = {{"two", "z", ""}, {"three", "z", ""}};
    while (!a.token) a.election.tick(Clock::now()), io.run_one_for(5ms);
    b.until([&] { return b.replica.leader && b.replica.leader->token == a.token; });
    EXPECT_EQ(b.election.grantExtension("one", a.token, Clock::now()), 0ms);  // the state service answers
    const auto later = Clock::now() + 20s;
    EXPECT_EQ(b.election.grantExtension("one", a.token + 1, later), 0ms);
    EXPECT_EQ(b.election.grantExtension("two", a.token, later), 0ms);
    const auto life = b.election.grantExtension("one", a.token, later);
    ASSERT_GT(life, 0ms);
    a.election.noteGrant("two", life, later);
    EXPECT_FALSE(a.election.valid(later));  // one of two
    a.election.noteGrant("three", life, later);
    EXPECT_TRUE(a.election.valid(later + life / 2));
    EXPECT_FALSE(a.election.valid(later + life));
    stub.store.endLease(stub.store.leases.begin()->first);
    stub.wake();
    b.until([&] { return !b.replica.leader; });
    for (int i = 0; i < 100; ++i) b.election.tick(later + i * life / 120), io.run_one_for(2ms);
    EXPECT_EQ(b.token, 0u);
    while (!b.token) b.election.tick(later + 2 * life), io.run_one_for(5ms);
    // A process that is back at once has forgotten what it granted.
    Desk c(io, stub, "three");
    c.until([&] { return c.replica.leader && c.replica.leader->node == "two"; });
    stub.store.endLease(stub.store.leases.rbegin()->first);
    stub.wake();
    c.until([&] { return !c.replica.leader; });
    for (int i = 0; i < 300; ++i) c.election.tick(Clock::now()), io.run_one_for(2ms);
    EXPECT_EQ(c.token, 0u);
    while (!c.token) c.election.tick(Clock::now() + 10s), io.run_one_for(5ms);
}

// A leader whose lease goes on while its reads fail does not see what others confirm.
TEST_F(UserApiTest, ALeaderThatReadsNothingStopsThoughItsLeaseGoesOn) {
    Desk a(io, stub);
    a.config.lease = protocol::Seconds(10);
    a.config.cancel = protocol::Seconds(14);
    coordination::Election election(
        a.config, a.policy, a.state, a.replica, a.watcher, [&](std::uint64_t t) { a.token = t; }, [] {});
    while (!a.token) election.tick(Clock::now()), io.run_one_for(5ms);
    EXPECT_TRUE(election.valid(Clock::now()));
    EXPECT_TRUE(election.cancellationsCurrent(Clock::now()));
    // It is entitled for longer than it may start anything.
    EXPECT_FALSE(election.cancellationsCurrent(a.watcher.asOf() + 1900ms));
    EXPECT_TRUE(election.valid(a.watcher.asOf() + 1500ms));
    stub.readsFail = true;
    int rounds = 0;
    for (; election.valid(Clock::now()) && rounds < 1000; ++rounds)
        election.tick(Clock::now()), io.run_one_for(20ms);
    EXPECT_LT(rounds, 1000);
    EXPECT_TRUE(election.leading());
    EXPECT_FALSE(stub.store.leases.empty());
    stub.readsFail = false;
    a.watcher.fresh([](bool) {});
    while (!election.valid(Clock::now())) election.tick(Clock::now()), io.run_one_for(20ms);
}

// What a cancellation has and a lease takes leave a leader this long without a read, at every deployment.
TEST_F(UserApiTest, LeasesEndWithinTheTimeOfACancellation) {
    for (const auto& [lease, cancel] : {std::pair(26.5, 46.5), {13, 33}, {24, 44}, {10, 30}, {30, 40}}) {
        auto s = settings("one");
        s.lease = protocol::Seconds(lease);
        s.cancel = protocol::Seconds(cancel);
        EXPECT_LT(coordination::Election::maxTimeWithoutRead(s) + s.lease * 1.002 + protocol::Seconds(4),
                  s.cancel);
    }
}

// The node that confirmed a cancellation knows it at once, though no read comes through any more.
TEST_F(UserApiTest, AConfirmedCancellationIsKnownWhereItWasConfirmed) {
    Desk d(io, stub);
    d.until([&] { return d.watcher.synced(); });
    EXPECT_EQ(d.ask("POST", "/submissions", body("wk-1")).status, 201);
    EXPECT_EQ(d.bearing("wk-1"), "pending");
    EXPECT_TRUE(d.replica.cancelled().empty());
    stub.holdWatches = true;
    EXPECT_EQ(d.ask("POST", "/submissions/wk-1/cancel").status, 200);
    stub.outage = true;
    EXPECT_EQ(d.bearing("wk-1"), "cancelled");
    ASSERT_EQ(d.replica.cancelled().size(), 1u);
    EXPECT_EQ(d.replica.cancelled()[0]->version, stub.store.revision);
}

// Whether a job was accepted is asked of the store, however short ago and by whichever node that was.
TEST_F(UserApiTest, AJobMayNeedOnlyWhatWasAccepted) {
    Desk a(io, stub), b(io, stub, "two");
    a.until([&] { return a.watcher.synced() && b.watcher.synced(); });
    EXPECT_EQ(a.ask("POST", "/submissions", after("wk-1", {"wk-1"})).status, 422);
    EXPECT_EQ(a.ask("POST", "/submissions", after("wk-2", {"wk-1"})).status, 422);
    for (int i = 0; i < 20; ++i) {
        const auto first = "wk-" + std::to_string(10 + 2 * i), next = "wk-" + std::to_string(11 + 2 * i);
        EXPECT_EQ(a.ask("POST", "/submissions", body(first)).status, 201);
        EXPECT_EQ(b.ask("POST", "/submissions", after(next, {first})).status, 201);
        EXPECT_EQ(a.ask("POST", "/submissions", after(next, {"wk-9"})).status, 200);  // a repeat
        EXPECT_EQ(a.bearing(next), "pending");
    }
    stub.outage = true;
    const auto answer = a.ask("POST", "/submissions", after("wk-3", {"wk-4"}));
    EXPECT_EQ(answer.status, 503);
    EXPECT_GE(answer.retryAfter, 1s);
}

// One record cancels all that need the job: on every node, for those submitted later, and after restarts.
TEST_F(UserApiTest, WhatNeedsACancelledJobIsCancelledWithIt) {
    Desk a(io, stub), b(io, stub, "two");
    a.until([&] { return a.watcher.synced() && b.watcher.synced(); });
    for (const auto& job : {body("wk-1"), after("wk-2", {"wk-1"}), body("wk-9"),
                            after("wk-3", {"wk-9", "wk-2"}), after("wk-4", {"wk-9"})})
        EXPECT_EQ(a.ask("POST", "/submissions", job).status, 201);
    EXPECT_EQ(b.bearing("wk-3"), "pending");
    const auto before = stub.store.revision;
    EXPECT_EQ(a.ask("POST", "/submissions/wk-1/cancel").status, 200);
    EXPECT_EQ(stub.store.revision, before + 1);
    Desk c(io, stub, "three");
    c.until([&] { return c.watcher.synced(); });
    for (auto* userApi : {&a, &b, &c}) {
        EXPECT_EQ(userApi->bearing("wk-2"), "cancelled");
        EXPECT_EQ(userApi->bearing("wk-3"), "cancelled");
        EXPECT_EQ(userApi->bearing("wk-4"), "pending");
        EXPECT_EQ(userApi->bearing("wk-9"), "pending");
    }
    EXPECT_EQ(b.ask("POST", "/submissions", after("wk-5", {"wk-3"})).status, 201);
    EXPECT_EQ(a.bearing("wk-5"), "cancelled");
    EXPECT_EQ(a.ask("POST", "/submissions/wk-5/cancel").status, 200);
    // Once it is done there is nothing to cancel, and what needs it goes on.
    auto record =
        storage::decodeJob(protocol::unpackBody(stub.store.values.at(storage::keys::job("wk-9")).data).get());
    record.final = storage::Final::done;
    std::vector<std::string> failed;
    stub.store.transact({}, {{storage::keys::job("wk-9"), storage::encodeJob(record), 0}}, failed);
    stub.wake();
    EXPECT_EQ(b.ask("POST", "/submissions/wk-9/cancel").status, 200);
    EXPECT_EQ(b.bearing("wk-9"), "done");
    EXPECT_EQ(b.bearing("wk-4"), "pending");
    EXPECT_TRUE(b.replica.find("wk-4")->ready());
    // In an outage a node answers what it knows to be final.
    stub.outage = true;
    EXPECT_EQ(b.bearing("wk-3"), "cancelled");
}

// A record beyond the smaller of both limits is refused before anything is stored, unless the job was
// accepted under the higher one; and chunks are chosen for the smaller.
TEST_F(UserApiTest, WhatTheNextLimitsWouldNotTakeIsRefusedAtOnce) {
    Desk d(io, stub);
    d.config.nextState = protocol::StateLimits{28, 2, 10};
    d.until([&] { return d.watcher.synced(); });
    const auto longTexts = [](const std::string& id) {
        protocol::JobSpec spec;
        spec.id = id;
        spec.jobClass = spec.image = "x";
        spec.team = "team";
        spec.cpus = 1;
        spec.types = std::vector<std::string>(14, std::string(180, 'h'));
        spec.types->push_back("m");
        return spec;
    };
    const auto packed = [](const protocol::JobSpec& spec) {
        Packer p;
        protocol::packSpec(p, spec);
        return p.take();
    };
    EXPECT_EQ(d.ask("POST", "/submissions", packed(longTexts("wk-1"))).status, 422);
    EXPECT_FALSE(stub.store.values.contains(storage::keys::job("wk-1")));
    std::vector<std::string> failed;
    const auto spec = longTexts("wk-2");
    stub.store.transact(
        {}, {{storage::keys::job("wk-2"), storage::encodeJob({spec, storage::Final::open, 0, 0, 4}), 0}},
        failed);
    EXPECT_EQ(d.ask("POST", "/submissions", packed(spec)).status, 200);
    EXPECT_EQ(d.ask("POST", "/submissions", body("wk-3")).status, 201);
    const auto handle = protocol::unpackBody(stub.store.values.at(storage::keys::job("wk-3")).data);
    EXPECT_EQ(storage::decodeJob(handle.get()).chunkTasks, storage::chunkTasks(2));
    // Accepted under the higher limit, it is cancelled under the lower one.
    stub.store.limits.valueBytes = 2048;
    EXPECT_EQ(d.ask("POST", "/submissions/wk-2/cancel").status, 200);
    EXPECT_EQ(d.bearing("wk-2"), "cancelled");
}

// Limits lower than the settings say: nothing that was accepted is lost, and nothing is called accepted
// that was not stored.
TEST_F(UserApiTest, LimitsThatNobodyAnnounced) {
    Desk d(io, stub);
    d.until([&] { return d.watcher.synced(); });
    auto spec = protocol::JobSpec{};
    spec.id = "wk-1";
    spec.jobClass = spec.image = "x";
    spec.team = "team";
    spec.types = std::vector<std::string>{std::string(150, 'h'), "m"};
    Packer p;
    protocol::packSpec(p, spec);
    EXPECT_EQ(d.ask("POST", "/submissions", p.take()).status, 201);
    stub.store.limits.valueBytes = 500;
    const auto again = [&](const std::string& id) {
        auto other = spec;
        other.id = id;
        Packer q;
        protocol::packSpec(q, other);
        return d.ask("POST", "/submissions", q.take()).status;
    };
    EXPECT_EQ(again("wk-2"), 422);
    EXPECT_EQ(again("wk-1"), 200);
    EXPECT_EQ(d.bearing("wk-2"), "404");
    EXPECT_EQ(d.ask("POST", "/submissions/wk-1/cancel").status, 200);
    EXPECT_EQ(d.bearing("wk-1"), "cancelled");
}

// Changes beyond the rate are told from other refusals; the user comes back, and then it is stored.
TEST_F(UserApiTest, ChangesBeyondTheRateAreTriedAgain) {
    Desk d(io, stub);
    d.until([&] { return d.watcher.synced(); });
    stub.store.limits.changes = 0;
    const auto refused = d.ask("POST", "/submissions", body("wk-1"));
    EXPECT_EQ(refused.status, 503);
    EXPECT_GE(refused.retryAfter, 1s);
    EXPECT_GT(stub.store.tooMany, 1u);
    EXPECT_LT(stub.store.tooMany, 5u);  // it slows down
    EXPECT_EQ(d.bearing("wk-1"), "404");
    stub.store.limits.changes = 5;
    EXPECT_EQ(d.ask("POST", "/submissions", body("wk-1")).status, 201);
}

// The service's refusals of a transaction, told apart.
TEST_F(UserApiTest, RefusalsOfATransactionAreToldApart) {
    Desk d(io, stub);
    std::ostringstream log;
    const auto before = spdlog::default_logger();
    const auto listening =
        std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::ostream_sink_mt>(log));
    spdlog::set_default_logger(listening);
    const auto lines = [&](const std::string& text) {
        std::size_t count = 0;
        for (auto at = log.str().find(text); at != std::string::npos; at = log.str().find(text, at + 1))
            ++count;
        return count;
    };
    const auto status = [&](const protocol::KeyWrite& write) {
        std::optional<storage::TxnStatus> out;
        d.state.transact({}, {write}, 1s, [&](const storage::TxnResult& result) { out = result.status; });
        d.until([&] { return out.has_value(); });
        return *out;
    };
    const auto value = Packer().value("0123456789").take();
    stub.store.limits = {32, 12, 1};
    EXPECT_EQ(status({"bp/x", value, 99}), storage::TxnStatus::noLease);
    EXPECT_EQ(status({"bp/x", Packer().value("0123456789a").take(), 0}), storage::TxnStatus::tooLarge);
    EXPECT_EQ(status({"bp/x", value, 0}), storage::TxnStatus::applied);
    EXPECT_EQ(status({"bp/x", value, 0}), storage::TxnStatus::tooMany);
    EXPECT_EQ(status({"bp/x", value, 0}), storage::TxnStatus::tooMany);
    EXPECT_EQ(status({"bp/x", Packer().value("0123456789b").take(), 0}), storage::TxnStatus::tooLarge);
    stub.outage = true;
    EXPECT_EQ(status({"bp/x", value, 0}), storage::TxnStatus::refused);
    // The first of each is logged, once.
    EXPECT_EQ(lines("[error] the state service does not take 1 changes"), 1u);
    EXPECT_EQ(lines("too large"), 1u);
    EXPECT_EQ(lines("[info] the state service refuses changes as too many"), 1u);
    spdlog::set_default_logger(before);
}

// While no change is taken, a leader stays one; a candidate goes on trying and wins as soon as changes
// are.
TEST_F(UserApiTest, LeadershipsOutlastRefusedChanges) {
    Desk a(io, stub, "one", protocol::Seconds(1));
    while (!a.token) a.election.tick(Clock::now()), io.run_one_for(5ms);
    const auto unrenewed = Clock::now() + 1s;
    stub.store.limits = {32, 2048, 0};
    const auto token = a.token;
    while (Clock::now() < unrenewed) a.election.tick(Clock::now()), io.run_one_for(5ms);
    EXPECT_EQ(a.token, token);
    EXPECT_TRUE(a.election.valid(Clock::now()));
    Desk b(io, stub, "two", protocol::Seconds(1));
    b.until([&] { return b.watcher.synced(); });
    a.election.resign(Clock::now(), true);
    const auto before = stub.store.tooMany;
    while (stub.store.tooMany < before + 3) b.election.tick(Clock::now()), io.run_one_for(5ms);
    EXPECT_EQ(b.token, 0u);
    stub.store.limits.changes = 2;
    while (!b.token) b.election.tick(Clock::now()), io.run_one_for(5ms);
    EXPECT_GT(b.token, token);
}
