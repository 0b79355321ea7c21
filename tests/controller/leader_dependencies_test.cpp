// Job dependencies and cancellations under a leader.
#include <gtest/gtest.h>

#include <set>

#include "base/clock.h"
#include "bookkeeping/fleet_recount.h"
#include "controller/leader_harness.h"
#include "protocol/msgpack_codec.h"

using namespace burlpoint;
using namespace burlpoint::tests;

// Two failures at once. The histories of combined_failures_test.cpp generate many; here are the cases that
// they meet too seldom.

// A new leader's first response renews the lease of a machine that has not taken the fencing token. Without
// stops in it, a cancelled task could run for one lease more with each failover.
TEST(Leader, NewLeadersFirstResponseThenStopsCancelledTasks) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    auto spec = make("wk-1", 2, 2), other = make("wk-2", 1, 2);
    harness.job(spec);
    harness.job(other);
    const auto value =
        storage::encodeJob({spec, storage::TerminalState::cancelled, 0, 0, storage::chunkTasks(8)});
    const auto handle = protocol::unpackBody(value);
    std::vector<bookkeeping::Change> changes;
    harness.replica.apply({storage::keys::job("wk-1"), &handle.get(), ++harness.revision}, changes);
    harness.lead();
    const std::vector<TaskStatus> tasks{{{"wk-1", 0, 7}, TaskState::running, {}, false},
                                        {{"wk-1", 1, 8}, TaskState::fetching, {}, false},
                                        {{"wk-2", 0, 9}, TaskState::running, {}, false},
                                        {{"wk-9", 0, 9}, TaskState::running, {}, false}};
    std::set<std::string> stopped;
    for (const auto& action : harness.tell(HeartbeatReceived{1, harness.message("m1", tasks, 4)}))
        if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) {
            EXPECT_EQ(answer->verdict, HeartbeatVerdict::accepted);
            for (const auto& command : answer->commands) {
                EXPECT_EQ(command.kind, CommandKind::stop);
                stopped.insert(command.attempt.job + "/" + std::to_string(command.attempt.task));
            }
        }
    EXPECT_EQ(stopped,
              (std::set<std::string>{"wk-1/0", "wk-1/1"}));  // the list may be out of date for other tasks
}

// The same holds for the response to a heartbeat that the answer to a direct command has overtaken.
TEST(Leader, ResponseToStaleHeartbeatThenStopsCancelledTasks) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.lead();
    auto spec = make("wk-1", 1, 2);
    harness.job(spec);
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    const std::vector<TaskStatus> running{harness.task("wk-1/0", TaskState::running)};
    const auto staleHeartbeats = harness.message("m1", running, 5);
    harness.tell(CommandsAnswered{"m1", harness.message("m1", running, 5), {}});
    const auto value =
        storage::encodeJob({spec, storage::TerminalState::cancelled, 0, 0, storage::chunkTasks(8)});
    const auto handle = protocol::unpackBody(value);
    std::vector<bookkeeping::Change> changes;
    harness.replica.apply({storage::keys::job("wk-1"), &handle.get(), ++harness.revision}, changes);
    harness.tell(JobsChanged{{"wk-1"}});
    std::size_t stops = 0;
    for (const auto& action : harness.tell(HeartbeatReceived{1, staleHeartbeats}))
        if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) {
            EXPECT_EQ(answer->verdict, HeartbeatVerdict::accepted);
            for (const auto& command : answer->commands) stops += command.kind == CommandKind::stop;
        }
    EXPECT_EQ(stops, 1u);
}

// A job whose tasks are done is not yet stored as done: until then a cancellation may still win.
TEST(Leader, DependencyNotStoredAsDoneThenDependentJobDoesNotStart) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.lead();
    harness.job(make("wk-1", 1, 4));
    auto next = make("wk-2", 1, 4);
    next.dependencies = {"wk-1"};
    harness.job(next);
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    auto done = harness.task("wk-1/0", TaskState::exited);
    done.why = protocol::ExitReason::done;
    bool writing = false;
    harness.now += 200ms;
    for (const auto& action : harness.tell(HeartbeatReceived{1, harness.message("m1", {done}, 5)}))
        writing |= std::holds_alternative<WriteState>(action);
    EXPECT_TRUE(writing);
    EXPECT_EQ(harness.heartbeat("m1", {done}), Names{});
    // No answer: the outcome of the write is not known.
    harness.tell(StateWritten{});
    EXPECT_EQ(harness.heartbeat("m1", {done}), Names{});
    writing = false;
    for (const auto& action : harness.tell(ReplicaRefreshed{RefreshOutcome::refreshed}))
        writing |= std::holds_alternative<WriteState>(action);
    ASSERT_TRUE(writing);
    EXPECT_EQ(harness.heartbeat("m1", {done}), Names{});
    storage::TransactionResult stored;
    stored.status = storage::TransactionStatus::applied;
    stored.revision = ++harness.revision;
    harness.tell(StateWritten{stored});
    EXPECT_EQ(harness.replica.find("wk-1")->terminalState, storage::TerminalState::done);
    EXPECT_EQ(harness.heartbeat("m1", {done}), Names{"wk-2/0"});
}

// A new leader knows which jobs are ready, and since when, from the store alone.
TEST(Leader, NewLeaderThenKnowsReadyJobsFromStore) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    auto first = make("wk-1", 2, 2);
    harness.job(first);
    for (int i = 2; i < 4; ++i) {
        auto next = make("wk-" + std::to_string(i), 1, 2);
        next.dependencies = {i == 2 ? "wk-1" : "wk-2"};
        harness.job(next);
    }
    const auto bits = storage::encodeBits({true, true}, 0, storage::chunkTasks(8));
    std::vector<bookkeeping::Change> changes;
    auto handle = protocol::unpackBody(bits);
    harness.replica.apply({storage::keys::doneChunk("wk-1", 0), &handle.get(), ++harness.revision}, changes);
    harness.leader.reset();
    harness.leader =
        std::make_unique<Leader>(harness.settings, harness.policy, harness.replica, 5, harness.now, 100'000);
    // All its bits are stored, and its terminal state is not.
    EXPECT_EQ(harness.heartbeat("m1"), Names{});
    const auto value =
        storage::encodeJob({first, storage::TerminalState::done, 0, 2, storage::chunkTasks(8), 60'000});
    handle = protocol::unpackBody(value);
    harness.replica.apply({storage::keys::job("wk-1"), &handle.get(), ++harness.revision}, changes);
    harness.leader.reset();
    harness.leader =
        std::make_unique<Leader>(harness.settings, harness.policy, harness.replica, 5, harness.now, 100'000);
    EXPECT_EQ(harness.heartbeat("m1"), Names{"wk-2/0"});
    EXPECT_EQ(harness.replica.find("wk-2")->run->readyAt, harness.now - 200ms - 40s);
    EXPECT_EQ(harness.replica.find("wk-3")->run, nullptr);
}

// While it waits for its dependencies a job uses none of its team's quotas and does not count as waiting
// work.
TEST(Leader, JobWaitsForDependenciesThenHoldsNoQuota) {
    LeaderHarness harness;
    harness.settings.teams.push_back({"guaranteed", 4, 4, 0, 0});
    harness.registerMachine("m1");
    harness.lead();
    auto first = make("wk-1", 1, 1), waits = make("wk-2", 4, 1), other = make("wk-3", 3, 1);
    for (auto* job : {&first, &waits, &other}) job->team = "guaranteed";
    waits.dependencies = {"wk-1"};
    for (const auto& job : {first, waits, other}) harness.job(job);
    EXPECT_EQ(harness.heartbeat("m1").size(), 4u);
    EXPECT_TRUE(harness.replica.find("wk-3")->run->guaranteed);
    bool rents = false;
    for (int i = 0; i < 20; ++i)
        for (const auto& action : harness.tick()) rents |= std::holds_alternative<ScaleOut>(action);
    EXPECT_FALSE(rents);
}

// A job has the priority of the most urgent job that depends on it, also if that one is submitted later, and
// only until that one is cancelled. What is counted by priority follows.
TEST(Leader, DependentJobIsMoreUrgentThenDependencyGetsItsPriority) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.lead();
    auto first = make("wk-2", 4, 4), rival = make("wk-1", 2, 4), last = make("wk-3", 1, 1);
    first.priority = protocol::Priority::low;
    rival.priority = protocol::Priority::normal;
    last.priority = protocol::Priority::high;
    last.dependencies = {"wk-2"};
    last.deadline = Seconds(300);
    harness.job(rival);
    harness.job(first);
    EXPECT_EQ(harness.heartbeat("m1"), (Names{"wk-1/0", "wk-1/1"}));
    harness.job(last);
    harness.registerMachine("m2");
    harness.leader.reset();
    harness.lead();
    harness.tick();
    EXPECT_EQ(harness.replica.find("wk-2")->run->priority, protocol::Priority::high);
    EXPECT_EQ(*harness.replica.find("wk-2")->dueAtMs, 270'000u);
    harness.heartbeat(
        "m1", {harness.task("wk-1/0", TaskState::running), harness.task("wk-1/1", TaskState::running)});
    EXPECT_EQ(harness.heartbeat("m2"), (Names{"wk-2/0", "wk-2/1"}));
    // The rest of it has to yield nothing: the rival's tasks stop for it.
    bool stops = false;
    for (int i = 0; i < 100 && !stops; ++i) {
        harness.heartbeat(
            "m2", {harness.task("wk-2/0", TaskState::running), harness.task("wk-2/1", TaskState::running)});
        for (const auto& action : harness.tick())
            if (const auto* commands = std::get_if<SendCommands>(&action))
                for (const auto& command : commands->commands)
                    stops |= command.kind == CommandKind::stop && command.attempt.job == "wk-1";
        harness.heartbeat(
            "m1", {harness.task("wk-1/0", TaskState::running), harness.task("wk-1/1", TaskState::running)});
    }
    EXPECT_TRUE(stops);
    EXPECT_EQ(tests::recount(harness.leader->fleet(), harness.replica), "");
    std::vector<bookkeeping::Change> changes;
    harness.replica.noteCancelled("wk-3", ++harness.revision, changes);
    harness.tell(JobsChanged{{"wk-3"}});
    for (int i = 0; i < 3; ++i) harness.tick();
    EXPECT_EQ(harness.replica.find("wk-2")->run->priority, protocol::Priority::low);
    EXPECT_EQ(harness.replica.find("wk-2")->dueAtMs, std::nullopt);
    EXPECT_EQ(tests::recount(harness.leader->fleet(), harness.replica), "");
}

// Seen on days with a leader cut off from the key-value store and its peers: until its leader lease expired,
// it started jobs that had been cancelled through another controller.
TEST(Leader, CancellationsNotCurrentThenNothingStarts) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.lead();
    harness.job(make("wk-1", 1, 2));
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    harness.job(make("wk-2", 1, 2));
    std::vector<bookkeeping::Change> changes;
    harness.replica.noteCancelled("wk-1", ++harness.revision, changes);
    harness.tell(JobsChanged{{"wk-1"}});
    harness.tick();  // wk-2 has its place in the order
    harness.now += 200ms;
    const auto heartbeat = harness.message("m1", {harness.task("wk-1/0", TaskState::running)}, 5);
    std::vector<protocol::WorkerCommand> commands;
    for (const auto& action : harness.tell(HeartbeatReceived{1, heartbeat, false}))
        if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) {
            EXPECT_EQ(answer->verdict, HeartbeatVerdict::accepted);  // running tasks go on
            commands = answer->commands;
        }
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands[0].kind, CommandKind::stop);
    EXPECT_EQ(harness.heartbeat("m1"), Names{"wk-2/0"});
}
