// Tests of the leader election: fencing tokens, leases, lease votes of the peers, and the causes that end a
// leadership.
#include <gtest/gtest.h>

#include "base/clock.h"
#include "leadership/controller_harness.h"
#include "protocol/msgpack_codec.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using protocol::MessagePacker;

namespace {

using Leadership = ControllerHarnessTest;

}  // namespace

TEST_F(Leadership, TwoControllersThenOneLeaderAtATimeWithRisingTokens) {
    ControllerHarness a(io, stub), b(io, stub, "two");
    const auto tick = [&] {
        a.election.tick(Clock::now());
        b.election.tick(Clock::now());
        io.run_one_for(5ms);
    };
    while (!a.fencingToken && !b.fencingToken) tick();
    std::uint64_t last = 0;
    for (int round = 0; round < 3; ++round) {
        while (!a.fencingToken && !b.fencingToken) tick();
        EXPECT_TRUE(!a.fencingToken || !b.fencingToken);
        auto& leader = a.fencingToken ? a : b;
        EXPECT_TRUE(leader.election.valid(Clock::now()));
        EXPECT_GT(leader.fencingToken, last);
        last = leader.fencingToken;
        leader.election.resign(Clock::now(), coordination::Election::Resignation::mayTryAgain);
        EXPECT_FALSE(leader.election.valid(Clock::now()));
    }
}

// A controller that is back within a second leads again, as the leader's key names it. Its commands and
// attempts must differ from those of its earlier process.
TEST_F(Leadership, LeaderRestartsWithinASecondThenItLeadsUnderAHigherToken) {
    std::uint64_t last = 0;
    for (int process = 0; process < 3; ++process) {
        ControllerHarness controller(io, stub);
        while (!controller.fencingToken) {
            controller.election.tick(Clock::now());
            io.run_one_for(5ms);
        }
        EXPECT_EQ(stub.store.leases.size(), process + 1u);  // the earlier leases have not ended
        EXPECT_GT(controller.fencingToken, last);
        last = controller.fencingToken;
    }
}

// The lease expires although the leader did not end it. The leader learns this from its next renewal, and its
// writes fail because the fencing token has been incremented.
TEST_F(Leadership, LeaseEndedThenLeaderStopsAndItsWritesFail) {
    ControllerHarness a(io, stub);
    while (!a.fencingToken) a.election.tick(Clock::now()), io.run_one_for(5ms);
    const auto old = a.replica.tokenVersion;
    stub.store.revokeLease(stub.store.leases.begin()->first);
    while (a.fencingToken) a.election.tick(Clock::now()), io.run_one_for(5ms);
    while (!a.fencingToken) a.election.tick(Clock::now()), io.run_one_for(5ms);
    std::vector<std::string> failed;
    EXPECT_EQ(stub.store.transact({{storage::keys::kToken, old}},
                                  {{"bp/x", MessagePacker().nilValue().str(), 0}}, failed),
              0u);
}

// A candidate whose attempt began while no controller led must not depose a controller that won in the
// meantime.
TEST_F(Leadership, AnotherWinsDuringAttemptThenCandidateDoesNotDeposeIt) {
    ControllerHarness a(io, stub);
    a.runUntil([&] { return a.watcher.synced(); });
    stub.holdLeaseResponses = true;
    while (stub.store.leases.empty()) a.election.tick(Clock::now()), io.run_one_for(5ms);
    std::vector<std::string> failed;
    stub.store.transact({},
                        {{storage::keys::kLeader, storage::encodeLeader({"two", 1}), 0},
                         {storage::keys::kToken, storage::encodeToken(1), 0}},
                        failed);
    stub.answerWatches();
    a.runUntil([&] { return a.replica.leader.has_value(); });
    stub.release();
    for (int i = 0; i < 200; ++i) a.election.tick(Clock::now()), io.run_one_for(5ms);
    EXPECT_EQ(a.fencingToken, 0u);
    EXPECT_EQ(
        storage::decodeToken(protocol::unpackBody(stub.store.values.at(storage::keys::kToken).data).get()),
        1u);
}

// A leader stops when the stored fencing token is higher than its own, whatever the cause, even if its lease
// is still valid.
TEST_F(Leadership, FencingTokenRaisedThenLeaderStops) {
    ControllerHarness a(io, stub);
    while (!a.fencingToken) a.election.tick(Clock::now()), io.run_one_for(5ms);
    std::vector<std::string> failed;
    stub.store.transact({},
                        {{storage::keys::kLeader, storage::encodeLeader({"two", 9}), 0},
                         {storage::keys::kToken, storage::encodeToken(9), 0}},
                        failed);
    stub.answerWatches();
    a.runUntil([&] { return a.replica.fencingToken == 9; });
    a.election.tick(Clock::now());
    EXPECT_EQ(a.fencingToken, 0u);
}

// A leader that the key-value store refuses cannot end its lease there. Once it has notified its peers of
// its resignation, they need not wait until the lease expires.
TEST_F(Leadership, LeaderResignedThenPeerLeadsBeforeTheLeaseEnds) {
    ControllerHarness a(io, stub), b(io, stub, "two");
    while (!a.fencingToken) a.election.tick(Clock::now()), io.run_one_for(5ms);
    b.runUntil([&] { return b.replica.leader.has_value(); });
    for (int i = 0; i < 100; ++i) b.election.tick(Clock::now()), io.run_one_for(2ms);
    EXPECT_EQ(b.fencingToken, 0u);                     // the leader has not resigned
    b.election.recordResignation(a.fencingToken - 1);  // the token of an earlier leadership
    for (int i = 0; i < 100; ++i) b.election.tick(Clock::now()), io.run_one_for(2ms);
    EXPECT_EQ(b.fencingToken, 0u);
    const auto fencingToken = a.fencingToken;
    a.election.resign(Clock::now(), coordination::Election::Resignation::deferToPeers);
    EXPECT_EQ(a.election.resignedToken(), fencingToken);
    b.election.recordResignation(fencingToken);
    while (!b.fencingToken) b.election.tick(Clock::now()), io.run_one_for(5ms);
    EXPECT_GT(b.fencingToken, fencingToken);
}

// In an outage of the key-value store no controller can write the leader's key. Votes of all peers extend the
// leader lease, so that workers keep their tasks. Each peer is bound by its vote even if the key disappears.
TEST_F(Leadership, OutageThenVotesOfAllPeersExtendTheLeaderLease) {
    ControllerHarness a(io, stub), b(io, stub, "two");
    a.config.peers = {{"two", "z", ""}, {"three", "z", ""}};
    while (!a.fencingToken) a.election.tick(Clock::now()), io.run_one_for(5ms);
    b.runUntil([&] { return b.replica.leader && b.replica.leader->fencingToken == a.fencingToken; });
    EXPECT_EQ(b.election.voteForExtension("one", a.fencingToken, Clock::now()),
              0ms);  // there is no outage
    const auto later = Clock::now() + 20s;
    EXPECT_EQ(b.election.voteForExtension("one", a.fencingToken + 1, later), 0ms);
    EXPECT_EQ(b.election.voteForExtension("two", a.fencingToken, later), 0ms);
    const auto duration = b.election.voteForExtension("one", a.fencingToken, later);
    ASSERT_GT(duration, 0ms);
    a.election.recordVote("two", duration, later);
    EXPECT_FALSE(a.election.valid(later));  // only one of two peers has voted
    a.election.recordVote("three", duration, later);
    EXPECT_TRUE(a.election.valid(later + duration / 2));
    EXPECT_FALSE(a.election.valid(later + duration));
    stub.store.revokeLease(stub.store.leases.begin()->first);
    stub.answerWatches();
    b.runUntil([&] { return !b.replica.leader; });
    for (int i = 0; i < 100; ++i) b.election.tick(later + i * duration / 120), io.run_one_for(2ms);
    EXPECT_EQ(b.fencingToken, 0u);
    while (!b.fencingToken) b.election.tick(later + 2 * duration), io.run_one_for(5ms);
    // A restarted process does not know whether it voted before, so it waits as if it had.
    ControllerHarness c(io, stub, "three");
    c.runUntil([&] { return c.replica.leader && c.replica.leader->node == "two"; });
    stub.store.revokeLease(stub.store.leases.rbegin()->first);
    stub.answerWatches();
    c.runUntil([&] { return !c.replica.leader; });
    for (int i = 0; i < 300; ++i) c.election.tick(Clock::now()), io.run_one_for(2ms);
    EXPECT_EQ(c.fencingToken, 0u);
    while (!c.fencingToken) c.election.tick(Clock::now() + 10s), io.run_one_for(5ms);
}

// A leader whose lease is renewed while its reads fail does not see the cancellations that other controllers
// confirm, so it must stop.
TEST_F(Leadership, ReadsFailThenLeaderStopsThoughItsLeaseIsRenewed) {
    ControllerHarness a(io, stub);
    a.config.workerLease = Seconds(10);
    a.config.cancelTimeout = Seconds(14);
    coordination::Election election(
        a.config, a.policy, a.store, a.replica, a.watcher, [&](std::uint64_t t) { a.fencingToken = t; },
        [] {});
    while (!a.fencingToken) election.tick(Clock::now()), io.run_one_for(5ms);
    EXPECT_TRUE(election.valid(Clock::now()));
    EXPECT_TRUE(election.cancellationsCurrent(Clock::now()));
    // It may act for longer after the last read than it may start tasks.
    EXPECT_FALSE(election.cancellationsCurrent(a.watcher.currentAsOf() + 1900ms));
    EXPECT_TRUE(election.valid(a.watcher.currentAsOf() + 1500ms));
    stub.failReads = true;
    int rounds = 0;
    for (; election.valid(Clock::now()) && rounds < 1000; ++rounds)
        election.tick(Clock::now()), io.run_one_for(20ms);
    EXPECT_LT(rounds, 1000);
    EXPECT_TRUE(election.isLeader());
    EXPECT_FALSE(stub.store.leases.empty());
    stub.failReads = false;
    a.watcher.readLatest([](coordination::FreshReadResult) {});
    while (!election.valid(Clock::now())) election.tick(Clock::now()), io.run_one_for(20ms);
}

// For the worker lease and cancel timeout of every deployment, worker leases that were renewed after the
// longest permitted time without a read still end within the cancel timeout.
TEST_F(Leadership, NoReadsThenWorkerLeasesEndWithinTheCancelTimeout) {
    for (const auto& [lease, cancel] : {std::pair(26.5, 46.5), {13, 33}, {24, 44}, {10, 30}, {30, 40}}) {
        auto s = controllerSettings("one");
        s.workerLease = Seconds(lease);
        s.cancelTimeout = Seconds(cancel);
        EXPECT_LT(coordination::Election::maxTimeWithoutRead(s) + s.workerLease * 1.002 + Seconds(4),
                  s.cancelTimeout);
    }
}

// While the key-value store refuses all writes, a leader stays leader. A candidate keeps trying and wins as
// soon as writes are accepted.
TEST_F(Leadership, WritesRefusedThenLeaderStaysAndCandidateKeepsTrying) {
    ControllerHarness a(io, stub, "one", Seconds(1));
    while (!a.fencingToken) a.election.tick(Clock::now()), io.run_one_for(5ms);
    const auto unrenewed = Clock::now() + 1s;
    stub.store.limits = {32, 2048, 0};
    const auto fencingToken = a.fencingToken;
    while (Clock::now() < unrenewed) a.election.tick(Clock::now()), io.run_one_for(5ms);
    EXPECT_EQ(a.fencingToken, fencingToken);
    EXPECT_TRUE(a.election.valid(Clock::now()));
    ControllerHarness b(io, stub, "two", Seconds(1));
    b.runUntil([&] { return b.watcher.synced(); });
    a.election.resign(Clock::now(), coordination::Election::Resignation::deferToPeers);
    const auto before = stub.store.rateLimited;
    while (stub.store.rateLimited < before + 3) b.election.tick(Clock::now()), io.run_one_for(5ms);
    EXPECT_EQ(b.fencingToken, 0u);
    stub.store.limits.changes = 2;
    while (!b.fencingToken) b.election.tick(Clock::now()), io.run_one_for(5ms);
    EXPECT_GT(b.fencingToken, fencingToken);
}
