// Which messages of workers a leader trusts, and what it does about machines from which it hears nothing.
#include <gtest/gtest.h>

#include <numeric>
#include <set>

#include "controller/leader_harness.h"
#include "protocol/msgpack_codec.h"

using namespace burlpoint;
using namespace burlpoint::tests;

// A direct command's reply may overtake a start that is still on its way in a heartbeat's response.
TEST(Leader, StartMissingInHeartbeatThenSettledOnlyIfHeartbeatIsNewer) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.registerMachine("m2");
    harness.lead();
    harness.job(make("wk-1", 1, 4));
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    harness.heartbeat("m2");
    harness.tell(CommandsAnswered{"m1", harness.message("m1", {}, 5), {}});
    EXPECT_EQ(harness.heartbeat("m2"), Names{});
    EXPECT_EQ(harness.heartbeat("m1"),
              Names{"wk-1/0"});  // a heartbeat without the task: the response was lost
}

TEST(Leader, RegisteredMachineNotHeardThenBlocksOnlyTasksItMayHold) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.registerMachine("m2", "gpu");
    auto old = make("wk-1", 1, 2), plain = make("wk-2", 1, 2);
    plain.types = Names{"plain"};
    harness.job(old);
    harness.job(plain);
    harness.lead();
    EXPECT_EQ(harness.heartbeat("m1"), Names{"wk-2/0"});  // wk-1/0 may be on m2
    harness.job(make("wk-3", 1, 2));
    EXPECT_EQ(harness.heartbeat("m1", {harness.task("wk-2/0", TaskState::running)}),
              Names{"wk-3/0"});  // accepted since
    harness.now += 25s;          // m2's lease has expired
    harness.tick();
    const auto starts = harness.heartbeat(
        "m1", {harness.task("wk-2/0", TaskState::running), harness.task("wk-3/0", TaskState::running)});
    EXPECT_EQ(starts, Names{"wk-1/0"});
}

TEST(Leader, HeartbeatWithOlderTokenThenNoStarts) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.lead();
    harness.job(make("wk-1", 1, 2));
    EXPECT_EQ(harness.heartbeat("m1", {}, 4), Names{});
    EXPECT_EQ(harness.heartbeat("m1", {}, 5), Names{"wk-1/0"});
}

TEST(Leader, HeartbeatWithHigherTokenThenLeaderResigns) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.lead();
    bool resigned = false;
    auto verdict = HeartbeatVerdict::accepted;
    for (const auto& action : harness.tell(HeartbeatReceived{1, harness.message("m1", {}, 6)})) {
        resigned |= std::holds_alternative<Resign>(action);
        if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) verdict = answer->verdict;
    }
    EXPECT_TRUE(resigned);
    EXPECT_EQ(verdict, HeartbeatVerdict::refused);
}

TEST(Leader, UnregisteredMachineThenNoStartsUntilEntryIsStored) {
    LeaderHarness harness;
    harness.lead();
    harness.job(make("wk-1", 1, 2));
    protocol::Heartbeat heartbeat{"m9", "m9", "plain", "z", false, 1, 1, 5, {}, {}};
    WriteState written;
    for (const auto& action : harness.tell(HeartbeatReceived{1, heartbeat})) {
        if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) {
            EXPECT_TRUE(answer->commands.empty());
        }
        if (const auto* write = std::get_if<WriteState>(&action)) written = *write;
    }
    ASSERT_EQ(written.writes.size(), 1u);
    EXPECT_EQ(written.writes[0].key, storage::keys::machine("m9"));
    EXPECT_EQ(written.conditions.at(0).key, storage::keys::kToken);
    storage::TransactionResult applied;
    applied.status = storage::TransactionStatus::applied;
    applied.revision = 77;
    harness.tell(StateWritten{applied});
    harness.sequences["m9"] = 1;
    EXPECT_EQ(harness.heartbeat("m9"), Names{"wk-1/0"});
}

// Seen on a recorded day: each new leader waited for the machines that were booting and then deleted them as
// failed, so that with a failover every 40 s some never came up.
TEST(Leader, RequestedMachineStillBootingThenNeitherBlocksStartsNorIsDeleted) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.replica.registeredMachines["m2"] = {{"", "plain", "z", false}, 9};
    harness.job(make("wk-1", 1, 8));
    harness.lead();
    EXPECT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});  // it can't be on m2
    const auto running = harness.task("wk-1/0", TaskState::running);
    for (int second = 0; second < 30; ++second) {
        harness.heartbeat("m1", {running});
        for (const auto& action : harness.tick(800ms)) EXPECT_FALSE(std::holds_alternative<ScaleIn>(action));
    }
    // It comes up: its entry is written on its first heartbeat, and until then it gets nothing.
    harness.job(make("wk-2", 1, 8));
    const auto first = harness.message("m2", {}, 0);
    std::size_t writes = 0;
    for (const auto& action : harness.tell(HeartbeatReceived{1, first}))
        if (const auto* write = std::get_if<WriteState>(&action))
            for (const auto& each : write->writes) writes += each.key == storage::keys::machine("m2");
    EXPECT_EQ(writes, 1u);
    EXPECT_EQ(harness.heartbeat("m2"), Names{});
    storage::TransactionResult applied;
    applied.status = storage::TransactionStatus::applied;
    applied.revision = 77;
    harness.tell(StateWritten{applied});
    EXPECT_EQ(harness.heartbeat("m2"), Names{"wk-2/0"});
}

// A late copy of a heartbeat tells nothing about the present: it renews no lease, and no task counts as gone
// because the copy does not list it.
TEST(Leader, LateCopyOfHeartbeatThenRenewsNoLeaseAndSettlesNothing) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.registerMachine("m2");
    harness.lead();
    harness.heartbeat("m2");
    harness.job(make("wk-1", 1, 8));
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    const auto empty = harness.message("m1", {}, 5);
    harness.heartbeat("m1", {harness.task("wk-1/0", TaskState::running)});
    const auto& m1 = *harness.leader->fleet().machines().at("m1");
    Names starts;
    for (int second = 0; second < 30 && starts.empty(); ++second) {
        EXPECT_EQ(m1.placements.size(), 1u);  // the copy does not list the task, which may still run
        harness.now += 1s;
        harness.tell(HeartbeatReceived{7, empty});
        harness.tell(Tick{});
        starts = harness.heartbeat("m2");
    }
    EXPECT_EQ(starts, Names{"wk-1/0"});  // the lease expired all the same
    EXPECT_FALSE(m1.lease.active);
    auto verdict = HeartbeatVerdict::accepted;
    for (const auto& action : harness.tell(HeartbeatReceived{8, empty}))
        if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) verdict = answer->verdict;
    EXPECT_EQ(verdict, HeartbeatVerdict::refused);
}

// Messages of a deleted machine that arrive late do not bring it back.
TEST(Leader, LateCopyFromDeletedMachineThenMachineStaysDeleted) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.lead();
    harness.heartbeat("m1");
    harness.tell(ScaleInCompleted{{"m1"}, ScaleInOutcome::deleted});
    EXPECT_EQ(harness.heartbeat("m1"), Names{});
    EXPECT_TRUE(harness.leader->fleet().machines().empty());
}

// Its heartbeats arrive, and neither responses nor commands reach it, as the starts missing in its heartbeats
// show.
TEST(Leader, ResponsesNotDeliveredThenNoStartsUntilProbeIsAnswered) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.lead();
    harness.job(make("wk-1", 4, 2));
    EXPECT_EQ(harness.heartbeat("m1").size(), 4u);
    EXPECT_EQ(harness.heartbeat("m1").size(), 4u);  // one response may be lost
    EXPECT_EQ(harness.heartbeat("m1"), Names{});
    bool probed = false;
    for (int i = 0; i < 5; ++i)
        for (const auto& action : harness.tick())
            if (const auto* direct = std::get_if<SendCommands>(&action)) probed |= direct->machine == "m1";
    EXPECT_TRUE(probed);
    EXPECT_EQ(harness.heartbeat("m1"), Names{});
    harness.tell(CommandsAnswered{"m1", harness.message("m1", {}, 5), {}});
    EXPECT_EQ(harness.heartbeat("m1").size(), 4u);
}

// The same after a failover: every heartbeat shows the old fencing token, so no response has renewed the
// lease, and the machine's tasks may start elsewhere once the lease left by the earlier leader has expired.
TEST(Leader, MachineNeverTakesTokenThenItsTasksStartElsewhereAfterLease) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.registerMachine("m2");
    harness.job(make("wk-1", 1, 8));
    harness.lead();
    Names starts;
    const auto began = harness.now;
    while (harness.now - began < 40s && starts.empty()) {
        harness.now += 2s;
        harness.heartbeat("m1", {}, 4);
        harness.tell(Tick{});
        starts = harness.heartbeat("m2");
    }
    EXPECT_EQ(starts, Names{"wk-1/0"});
    EXPECT_GE(harness.now - began, 20s);
}

// Seen on a simulated day: a new leader spent its first second on probing hundreds of machines that were
// about to send heartbeats, and answered some only after their leases had expired.
TEST(Leader, FailoverThenProbesStartAfterGracePeriodInLimitedNumber) {
    LeaderHarness harness;
    for (int i = 0; i < 300; ++i) harness.registerMachine(std::string("m").append(std::to_string(i)));
    harness.lead();
    const auto probesIn = [&](int ticks) {
        std::vector<std::size_t> probes;
        for (int i = 0; i < ticks; ++i) {
            probes.push_back(0);
            for (const auto& action : harness.tick(500ms))
                probes.back() += std::holds_alternative<SendCommands>(action);
        }
        return probes;
    };
    EXPECT_EQ(probesIn(2), (std::vector<std::size_t>{0, 0}));
    const auto later = probesIn(6);
    EXPECT_LE(*std::max_element(later.begin(), later.end()), 100u);
    EXPECT_EQ(std::accumulate(later.begin(), later.end(), std::size_t{0}), 300u);  // each of them once
}

// A worker that restarts its message counters: its messages are neither ignored as stale for good nor
// trusted.
TEST(Leader, WorkerRestartsCountersThenMachineIsQuarantinedAndDeleted) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.lead();
    harness.job(make("wk-1", 4, 2));
    std::vector<TaskStatus> running;
    for (const auto& name : harness.heartbeat("m1"))
        running.push_back(harness.task(name, TaskState::running));
    for (int i = 0; i < 5; ++i) harness.heartbeat("m1", running);
    harness.sequences["m1"] = 0;
    std::optional<SendCommands> probe;
    for (int i = 0; i < 3; ++i) {
        harness.now += 1s;
        for (const auto& action : harness.tell(HeartbeatReceived{1, harness.message("m1", {}, 0)})) {
            if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) {
                EXPECT_EQ(answer->verdict, HeartbeatVerdict::refused);
            }
            if (const auto* direct = std::get_if<SendCommands>(&action)) probe = *direct;
        }
    }
    ASSERT_TRUE(probe);
    const auto& m1 = *harness.leader->fleet().machines().at("m1");
    const auto possible = m1.placements.size();
    ASSERT_GT(possible, 0u);
    harness.tell(CommandsAnswered{"m1", harness.message("m1", {}, 5), probe->known});
    harness.sequences["m1"] = 50;  // above the newest version; a late copy could look like this, too
    EXPECT_EQ(harness.heartbeat("m1"), Names{});
    EXPECT_EQ(m1.placements.size(), possible);  // the message did not remove what runs now
    bool released = false;
    for (int i = 0; i < 10; ++i)
        for (const auto& action : harness.tick())
            if (const auto* release = std::get_if<ScaleIn>(&action))
                released |= release->machines == Names{"m1"};
    EXPECT_TRUE(released);
}

// Every registered machine is gone. A leader that hears no worker resigns in favour of one that may be better
// placed, before the leases expire. When each of them did so, they resigned in turn without end and no
// machines were requested.
TEST(Leader, NoLeaderHearsAnyMachineThenOneStaysUntilLeasesExpireAndScalesOut) {
    LeaderHarness harness;
    harness.settings.peers = {{"two", "z", ""}, {"three", "y", ""}};
    for (const char* id : {"m1", "m2", "m3", "m4"}) harness.registerMachine(id);
    harness.job(make("wk-1", 1, 2));
    int resigned = 0, rented = 0;
    for (std::uint64_t fencingToken = 6; fencingToken < 10 && rented == 0; ++fencingToken) {
        harness.replica.fencingToken = fencingToken;
        harness.leader.reset();
        harness.leader = std::make_unique<Leader>(harness.settings, harness.policy, harness.replica,
                                                  fencingToken, harness.now, 0);
        bool leads = true;
        for (int i = 0; i < 40 * 5 && leads; ++i)
            for (const auto& action : harness.tick()) {
                leads &= !std::holds_alternative<Resign>(action);
                rented += std::holds_alternative<ScaleOut>(action);
            }
        resigned += !leads;
    }
    EXPECT_GT(rented, 0);
    EXPECT_GT(resigned, 0);  // others get the chance to lead
    EXPECT_LE(resigned, 3);
}

// That leader stays only if it never heard a worker, and not without end: its own network may be cut.
TEST(Leader, LeaderStaysWithoutWorkersThenResignsInTheEnd) {
    for (const bool heard : {false, true}) {
        LeaderHarness harness;
        harness.settings.peers = {{"two", "z", ""}, {"three", "y", ""}};
        for (const char* id : {"m1", "m2", "m3", "m4"}) harness.registerMachine(id);
        harness.leader =
            std::make_unique<Leader>(harness.settings, harness.policy, harness.replica, 8, harness.now, 0);
        if (heard) harness.heartbeat("m1", {}, 8);
        int seconds = 0;
        for (bool leads = true; leads && seconds < 120; ++seconds)
            for (const auto& action : harness.tick(1s)) leads &= !std::holds_alternative<Resign>(action);
        if (heard) {
            EXPECT_LT(seconds, 15);
        } else {
            EXPECT_GT(seconds, 25);  // longer than the leases and the time to request new machines
            EXPECT_LT(seconds, 50);
        }
    }
}

// Its heartbeats reach no controller, and direct commands reach it. Cancelled tasks stop by command; the
// lease expires all the same, and then the machine is deleted.
TEST(Leader, HeartbeatsLostAndCommandsDeliveredThenTasksStopAndMachineIsDeletedAfterLease) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.registerMachine("m2");
    harness.lead();
    auto spec = make("wk-1", 1, 8);
    harness.job(spec);
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    harness.job(make("wk-2", 1, 8));
    ASSERT_EQ(harness.heartbeat("m2"), Names{"wk-2/0"});  // it is in use, and stays
    const std::vector<TaskStatus> running{harness.task("wk-1/0", TaskState::running)};
    const std::vector<TaskStatus> other{harness.task("wk-2/0", TaskState::running)};
    harness.heartbeat("m1", running);
    const auto answerProbes = [&](const std::vector<Action>& actions, const std::vector<TaskStatus>& tasks) {
        std::size_t stops = 0;
        for (const auto& action : actions)
            if (const auto* direct = std::get_if<SendCommands>(&action); direct && direct->machine == "m1") {
                stops += direct->commands.size();
                harness.tell(CommandsAnswered{"m1", harness.message("m1", tasks, 5), direct->known});
            }
        return stops;
    };
    for (int i = 0; i < 20; ++i) {  // longer than a machine that nothing reaches would be kept
        harness.heartbeat("m2", other);
        const auto actions = harness.tick(500ms);
        for (const auto& action : actions) EXPECT_FALSE(std::holds_alternative<ScaleIn>(action));
        answerProbes(actions, running);
    }
    const auto value =
        storage::encodeJob({spec, storage::TerminalState::cancelled, 0, 0, storage::chunkTasks(8)});
    const auto handle = protocol::unpackBody(value);
    std::vector<bookkeeping::Change> changes;
    harness.replica.apply({storage::keys::job("wk-1"), &handle.get(), ++harness.revision}, changes);
    EXPECT_EQ(answerProbes(harness.tell(JobsChanged{{"wk-1"}}), {}), 1u);
    EXPECT_TRUE(harness.leader->fleet().machines().at("m1")->placements.empty());
    std::set<std::string> released;
    for (int i = 0; i < 80 && !released.contains("m1"); ++i) {
        harness.heartbeat("m2", other);
        for (const auto& action : harness.tick(500ms))
            if (const auto* release = std::get_if<ScaleIn>(&action))
                released.insert(release->machines.begin(), release->machines.end());
    }
    EXPECT_TRUE(released.contains("m1"));
}
