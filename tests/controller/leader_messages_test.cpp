// Tests of how a leader handles workers' messages: which ones it trusts, and what it does about machines that
// send none.
#include <gtest/gtest.h>

#include <numeric>
#include <set>

#include "controller/leader_harness.h"
#include "protocol/msgpack_codec.h"

using namespace burlpoint;
using namespace burlpoint::tests;

// The response to a direct command may be created before a start command, sent in a heartbeat response,
// reaches the worker. A task missing in it may thus still start; one missing in a newer heartbeat may not.
TEST(Leader, StartMissingInDirectResponseThenCountsAsLostOnlyAfterHeartbeat) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.registerMachine("m2");
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 1, 4));
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    harness.heartbeat("m2");
    harness.deliver(CommandsAnswered{"m1", harness.makeHeartbeat("m1", {}, 5), {}});
    EXPECT_EQ(harness.heartbeat("m2"), Names{});
    EXPECT_EQ(harness.heartbeat("m1"),
              Names{"wk-1/0"});  // the newer heartbeat lacks the task, so the start command was lost
}

TEST(Leader, RegisteredMachineSilentThenBlocksOnlyTasksItMayHold) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.registerMachine("m2", "gpu");
    auto old = makeJob("wk-1", 1, 2), plain = makeJob("wk-2", 1, 2);
    plain.types = Names{"plain"};
    harness.submitJob(old);
    harness.submitJob(plain);
    harness.startLeader();
    EXPECT_EQ(harness.heartbeat("m1"), Names{"wk-2/0"});  // wk-1/0 may be running on m2
    harness.submitJob(makeJob("wk-3", 1, 2));
    EXPECT_EQ(harness.heartbeat("m1", {harness.taskStatus("wk-2/0", TaskState::running)}),
              Names{"wk-3/0"});  // submitted to this leader, so it cannot be on m2
    harness.now += 25s;          // m2's lease has expired
    harness.tick();
    const auto starts = harness.heartbeat("m1", {harness.taskStatus("wk-2/0", TaskState::running),
                                                 harness.taskStatus("wk-3/0", TaskState::running)});
    EXPECT_EQ(starts, Names{"wk-1/0"});
}

TEST(Leader, HeartbeatWithOlderTokenThenNoStarts) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 1, 2));
    EXPECT_EQ(harness.heartbeat("m1", {}, 4), Names{});
    EXPECT_EQ(harness.heartbeat("m1", {}, 5), Names{"wk-1/0"});
}

TEST(Leader, HeartbeatWithHigherTokenThenLeaderResigns) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.startLeader();
    bool resigned = false;
    auto verdict = HeartbeatVerdict::accepted;
    for (const auto& action : harness.deliver(HeartbeatReceived{1, harness.makeHeartbeat("m1", {}, 6)})) {
        resigned |= std::holds_alternative<Resign>(action);
        if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) verdict = answer->verdict;
    }
    EXPECT_TRUE(resigned);
    EXPECT_EQ(verdict, HeartbeatVerdict::refused);
}

TEST(Leader, UnregisteredMachineThenNoStartsUntilEntryIsStored) {
    LeaderHarness harness;
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 1, 2));
    protocol::Heartbeat heartbeat{"m9", "m9", "plain", "z", false, 1, 1, 5, {}, {}};
    WriteState written;
    for (const auto& action : harness.deliver(HeartbeatReceived{1, heartbeat})) {
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
    harness.deliver(StateWritten{applied});
    harness.sequences["m9"] = 1;
    EXPECT_EQ(harness.heartbeat("m9"), Names{"wk-1/0"});
}

// Guards against each new leader waiting for machines that are still booting and then deleting them as
// failed: with a failover every 40 s, some machines never came up.
TEST(Leader, RequestedMachineStillBootingThenNeitherBlocksStartsNorIsDeleted) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.replica.registeredMachines["m2"] = {{"", "plain", "z", false}, 9};
    harness.submitJob(makeJob("wk-1", 1, 8));
    harness.startLeader();
    EXPECT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});  // the task cannot be running on m2
    const auto running = harness.taskStatus("wk-1/0", TaskState::running);
    for (int second = 0; second < 30; ++second) {
        harness.heartbeat("m1", {running});
        for (const auto& action : harness.tick(800ms)) EXPECT_FALSE(std::holds_alternative<ScaleIn>(action));
    }
    // m2 has booted: its registry entry is written on its first heartbeat, and no task starts there before
    // the entry is stored.
    harness.submitJob(makeJob("wk-2", 1, 8));
    const auto first = harness.makeHeartbeat("m2", {}, 0);
    std::size_t writes = 0;
    for (const auto& action : harness.deliver(HeartbeatReceived{1, first}))
        if (const auto* write = std::get_if<WriteState>(&action))
            for (const auto& each : write->writes) writes += each.key == storage::keys::machine("m2");
    EXPECT_EQ(writes, 1u);
    EXPECT_EQ(harness.heartbeat("m2"), Names{});
    storage::TransactionResult applied;
    applied.status = storage::TransactionStatus::applied;
    applied.revision = 77;
    harness.deliver(StateWritten{applied});
    EXPECT_EQ(harness.heartbeat("m2"), Names{"wk-2/0"});
}

// A delayed duplicate of a heartbeat is out of date: it must not renew the lease, and a task that it does not
// list must not count as ended.
TEST(Leader, DelayedDuplicateOfHeartbeatThenRenewsNoLeaseAndEndsNoTask) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.registerMachine("m2");
    harness.startLeader();
    harness.heartbeat("m2");
    harness.submitJob(makeJob("wk-1", 1, 8));
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    const auto duplicate = harness.makeHeartbeat("m1", {}, 5);
    harness.heartbeat("m1", {harness.taskStatus("wk-1/0", TaskState::running)});
    const auto& m1 = *harness.leader->fleet().machines().at("m1");
    Names starts;
    for (int second = 0; second < 30 && starts.empty(); ++second) {
        EXPECT_EQ(m1.placements.size(), 1u);  // the duplicate does not list the task, which may still run
        harness.now += 1s;
        harness.deliver(HeartbeatReceived{7, duplicate});
        harness.deliver(Tick{});
        starts = harness.heartbeat("m2");
    }
    EXPECT_EQ(starts, Names{"wk-1/0"});  // the lease has expired in spite of the duplicates
    EXPECT_FALSE(m1.lease.active);
    auto verdict = HeartbeatVerdict::accepted;
    for (const auto& action : harness.deliver(HeartbeatReceived{8, duplicate}))
        if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) verdict = answer->verdict;
    EXPECT_EQ(verdict, HeartbeatVerdict::refused);
}

// A delayed message of a deleted machine must not add the machine to the fleet again.
TEST(Leader, DelayedHeartbeatFromDeletedMachineThenMachineStaysDeleted) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.startLeader();
    harness.heartbeat("m1");
    harness.deliver(ScaleInCompleted{{"m1"}, ScaleInOutcome::deleted});
    EXPECT_EQ(harness.heartbeat("m1"), Names{});
    EXPECT_TRUE(harness.leader->fleet().machines().empty());
}

// A one-way network failure: a machine's heartbeats arrive, but neither responses nor commands reach it. The
// leader detects this by started tasks that are missing in the heartbeats.
TEST(Leader, ResponsesNotDeliveredThenNoStartsUntilProbeIsAnswered) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 4, 2));
    EXPECT_EQ(harness.heartbeat("m1").size(), 4u);
    EXPECT_EQ(harness.heartbeat("m1").size(), 4u);  // one response may be lost
    EXPECT_EQ(harness.heartbeat("m1"), Names{});
    bool probed = false;
    for (int i = 0; i < 5; ++i)
        for (const auto& action : harness.tick())
            if (const auto* direct = std::get_if<SendCommands>(&action)) probed |= direct->machine == "m1";
    EXPECT_TRUE(probed);
    EXPECT_EQ(harness.heartbeat("m1"), Names{});
    harness.deliver(CommandsAnswered{"m1", harness.makeHeartbeat("m1", {}, 5), {}});
    EXPECT_EQ(harness.heartbeat("m1").size(), 4u);
}

// The same one-way failure after a failover: every heartbeat shows the old fencing token, so no response of
// this leader has renewed the lease. The machine's tasks may start elsewhere once the lease granted by the
// earlier leader has expired.
TEST(Leader, MachineNeverAcknowledgesTokenThenItsTasksStartElsewhereAfterLease) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.registerMachine("m2");
    harness.submitJob(makeJob("wk-1", 1, 8));
    harness.startLeader();
    Names starts;
    const auto began = harness.now;
    while (harness.now - began < 40s && starts.empty()) {
        harness.now += 2s;
        harness.heartbeat("m1", {}, 4);
        harness.deliver(Tick{});
        starts = harness.heartbeat("m2");
    }
    EXPECT_EQ(starts, Names{"wk-1/0"});
    EXPECT_GE(harness.now - began, 20s);
}

// Guards against a new leader spending its first second on probes to hundreds of machines that are about to
// send heartbeats: in a simulation it answered some of them only after their leases had expired.
TEST(Leader, FailoverThenProbesStartAfterGracePeriodInLimitedNumber) {
    LeaderHarness harness;
    for (int i = 0; i < 300; ++i) harness.registerMachine(std::string("m").append(std::to_string(i)));
    harness.startLeader();
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
    EXPECT_EQ(std::accumulate(later.begin(), later.end(), std::size_t{0}), 300u);  // one probe per machine
}

// The messages of a worker that restarts its message counters are neither trusted nor ignored as stale
// forever: a probe reveals the restart, and the machine is replaced.
TEST(Leader, WorkerRestartsCountersThenMachineIsQuarantinedAndDeleted) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 4, 2));
    std::vector<TaskStatus> running;
    for (const auto& name : harness.heartbeat("m1"))
        running.push_back(harness.taskStatus(name, TaskState::running));
    for (int i = 0; i < 5; ++i) harness.heartbeat("m1", running);
    harness.sequences["m1"] = 0;
    std::optional<SendCommands> probe;
    for (int i = 0; i < 3; ++i) {
        harness.now += 1s;
        for (const auto& action : harness.deliver(HeartbeatReceived{1, harness.makeHeartbeat("m1", {}, 0)})) {
            if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) {
                EXPECT_EQ(answer->verdict, HeartbeatVerdict::refused);
            }
            if (const auto* direct = std::get_if<SendCommands>(&action)) probe = *direct;
        }
    }
    ASSERT_TRUE(probe);
    const auto& m1 = *harness.leader->fleet().machines().at("m1");
    const auto placementCount = m1.placements.size();
    ASSERT_GT(placementCount, 0u);
    harness.deliver(CommandsAnswered{"m1", harness.makeHeartbeat("m1", {}, 5), probe->latestVersionAtSend});
    harness.sequences["m1"] = 50;  // above the newest version, which a delayed message could have as well
    EXPECT_EQ(harness.heartbeat("m1"), Names{});
    EXPECT_EQ(m1.placements.size(), placementCount);  // the message did not end any task
    bool scaledIn = false;
    for (int i = 0; i < 10; ++i)
        for (const auto& action : harness.tick())
            if (const auto* scaleIn = std::get_if<ScaleIn>(&action))
                scaledIn |= scaleIn->machines == Names{"m1"};
    EXPECT_TRUE(scaledIn);
}

// All registered machines have failed. A leader that receives no heartbeats resigns before the leases expire,
// as a peer may be able to reach the workers. Guards against endless resignations in turn, during which no
// machines were requested.
TEST(Leader, NoLeaderReceivesHeartbeatsThenOneStaysUntilLeasesExpireAndScalesOut) {
    LeaderHarness harness;
    harness.settings.peers = {{"two", "z", ""}, {"three", "y", ""}};
    for (const char* id : {"m1", "m2", "m3", "m4"}) harness.registerMachine(id);
    harness.submitJob(makeJob("wk-1", 1, 2));
    int resigned = 0, scaleOuts = 0;
    for (std::uint64_t fencingToken = 6; fencingToken < 10 && scaleOuts == 0; ++fencingToken) {
        harness.replica.fencingToken = fencingToken;
        harness.leader.reset();
        harness.leader = std::make_unique<Leader>(harness.settings, harness.policy, harness.replica,
                                                  fencingToken, harness.now, 0);
        bool leading = true;
        for (int i = 0; i < 40 * 5 && leading; ++i)
            for (const auto& action : harness.tick()) {
                leading &= !std::holds_alternative<Resign>(action);
                scaleOuts += std::holds_alternative<ScaleOut>(action);
            }
        resigned += !leading;
    }
    EXPECT_GT(scaleOuts, 0);
    EXPECT_GT(resigned, 0);  // the peers get a chance to lead
    EXPECT_LE(resigned, 3);
}

// A leader without workers keeps the leadership only if it never received a heartbeat, and only for a limited
// time, as its own network may have failed.
TEST(Leader, LeaderStaysWithoutWorkersThenEventuallyResigns) {
    for (const bool heartbeatReceived : {false, true}) {
        LeaderHarness harness;
        harness.settings.peers = {{"two", "z", ""}, {"three", "y", ""}};
        for (const char* id : {"m1", "m2", "m3", "m4"}) harness.registerMachine(id);
        harness.leader =
            std::make_unique<Leader>(harness.settings, harness.policy, harness.replica, 8, harness.now, 0);
        if (heartbeatReceived) harness.heartbeat("m1", {}, 8);
        int seconds = 0;
        for (bool leading = true; leading && seconds < 120; ++seconds)
            for (const auto& action : harness.tick(1s)) leading &= !std::holds_alternative<Resign>(action);
        if (heartbeatReceived) {
            EXPECT_LT(seconds, 15);
        } else {
            EXPECT_GT(seconds, 25);  // longer than the leases plus the time to request new machines
            EXPECT_LT(seconds, 50);
        }
    }
}

// The opposite one-way failure: a machine's heartbeats reach no controller, but direct commands reach the
// machine. Cancelled tasks are stopped by direct commands. The lease expires nevertheless, and then the
// machine is deleted.
TEST(Leader, HeartbeatsLostAndCommandsDeliveredThenTasksStopAndMachineIsDeletedAfterLease) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.registerMachine("m2");
    harness.startLeader();
    auto spec = makeJob("wk-1", 1, 8);
    harness.submitJob(spec);
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    harness.submitJob(makeJob("wk-2", 1, 8));
    ASSERT_EQ(harness.heartbeat("m2"), Names{"wk-2/0"});  // m2 is in use, so it is not scaled in
    const std::vector<TaskStatus> running{harness.taskStatus("wk-1/0", TaskState::running)};
    const std::vector<TaskStatus> other{harness.taskStatus("wk-2/0", TaskState::running)};
    harness.heartbeat("m1", running);
    const auto answerProbes = [&](const std::vector<Action>& actions, const std::vector<TaskStatus>& tasks) {
        std::size_t stops = 0;
        for (const auto& action : actions)
            if (const auto* direct = std::get_if<SendCommands>(&action); direct && direct->machine == "m1") {
                stops += direct->commands.size();
                harness.deliver(CommandsAnswered{"m1", harness.makeHeartbeat("m1", tasks, 5),
                                                 direct->latestVersionAtSend});
            }
        return stops;
    };
    for (int i = 0; i < 20; ++i) {  // longer than an unreachable machine would be kept
        harness.heartbeat("m2", other);
        const auto actions = harness.tick(500ms);
        for (const auto& action : actions) EXPECT_FALSE(std::holds_alternative<ScaleIn>(action));
        answerProbes(actions, running);
    }
    const auto value =
        storage::encodeJob({spec, storage::TerminalState::cancelled, 0, 0, storage::chunkTasks(8)});
    const auto handle = protocol::unpackBody(value);
    std::vector<bookkeeping::ReplicaChange> changes;
    harness.replica.apply({storage::keys::job("wk-1"), &handle.get(), ++harness.revision}, changes);
    EXPECT_EQ(answerProbes(harness.deliver(JobsChanged{{"wk-1"}}), {}), 1u);
    EXPECT_TRUE(harness.leader->fleet().machines().at("m1")->placements.empty());
    std::set<std::string> scaledIn;
    for (int i = 0; i < 80 && !scaledIn.contains("m1"); ++i) {
        harness.heartbeat("m2", other);
        for (const auto& action : harness.tick(500ms))
            if (const auto* scaleIn = std::get_if<ScaleIn>(&action))
                scaledIn.insert(scaleIn->machines.begin(), scaleIn->machines.end());
    }
    EXPECT_TRUE(scaledIn.contains("m1"));
}
