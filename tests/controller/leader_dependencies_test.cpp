// Job dependencies and cancellations under a leader.
#include <gtest/gtest.h>

#include <set>

#include "base/clock.h"
#include "bookkeeping/fleet_recount.h"
#include "controller/leader_harness.h"
#include "protocol/msgpack_codec.h"

using namespace burlpoint;
using namespace burlpoint::tests;

// The first two tests cover combined failures that the generated histories of combined_failures_test.cpp
// rarely produce.

// A new leader's first response renews the lease of a machine that has not acknowledged the fencing token. If
// the response lacked stop commands, a cancelled task could run for one more lease with each failover.
TEST(Leader, NewLeadersFirstResponseThenStopsCancelledTasks) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    auto spec = makeJob("wk-1", 2, 2), other = makeJob("wk-2", 1, 2);
    harness.submitJob(spec);
    harness.submitJob(other);
    const auto value =
        storage::encodeJob({spec, storage::TerminalState::cancelled, 0, 0, storage::chunkTasks(8)});
    const auto handle = protocol::unpackBody(value);
    std::vector<bookkeeping::ReplicaChange> changes;
    harness.replica.apply({storage::keys::job("wk-1"), &handle.get(), ++harness.revision}, changes);
    harness.startLeader();
    const std::vector<TaskStatus> tasks{{{"wk-1", 0, 7}, TaskState::running, {}, false},
                                        {{"wk-1", 1, 8}, TaskState::fetching, {}, false},
                                        {{"wk-2", 0, 9}, TaskState::running, {}, false},
                                        {{"wk-9", 0, 9}, TaskState::running, {}, false}};
    std::set<std::string> stopped;
    for (const auto& action : harness.deliver(HeartbeatReceived{1, harness.makeHeartbeat("m1", tasks, 4)}))
        if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) {
            EXPECT_EQ(answer->verdict, HeartbeatVerdict::accepted);
            for (const auto& command : answer->commands) {
                EXPECT_EQ(command.kind, CommandKind::stop);
                stopped.insert(command.attempt.job + "/" + std::to_string(command.attempt.task));
            }
        }
    EXPECT_EQ(stopped,
              (std::set<std::string>{"wk-1/0", "wk-1/1"}));  // the task list may be outdated for other tasks
}

// The response to a heartbeat that was overtaken by the response to a direct command must carry stop
// commands, too, as it also may renew the worker's lease.
TEST(Leader, ResponseToStaleHeartbeatThenStopsCancelledTasks) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.startLeader();
    auto spec = makeJob("wk-1", 1, 2);
    harness.submitJob(spec);
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    const std::vector<TaskStatus> running{harness.taskStatus("wk-1/0", TaskState::running)};
    const auto staleHeartbeat = harness.makeHeartbeat("m1", running, 5);
    harness.deliver(CommandsAnswered{"m1", harness.makeHeartbeat("m1", running, 5), {}});
    const auto value =
        storage::encodeJob({spec, storage::TerminalState::cancelled, 0, 0, storage::chunkTasks(8)});
    const auto handle = protocol::unpackBody(value);
    std::vector<bookkeeping::ReplicaChange> changes;
    harness.replica.apply({storage::keys::job("wk-1"), &handle.get(), ++harness.revision}, changes);
    harness.deliver(JobsChanged{{"wk-1"}});
    std::size_t stops = 0;
    for (const auto& action : harness.deliver(HeartbeatReceived{1, staleHeartbeat}))
        if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) {
            EXPECT_EQ(answer->verdict, HeartbeatVerdict::accepted);
            for (const auto& command : answer->commands) stops += command.kind == CommandKind::stop;
        }
    EXPECT_EQ(stops, 1u);
}

// A job whose tasks are all done may still be cancelled until it is stored as done, so jobs that depend on it
// must not start earlier.
TEST(Leader, DependencyNotStoredAsDoneThenDependentJobDoesNotStart) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 1, 4));
    auto next = makeJob("wk-2", 1, 4);
    next.dependencies = {"wk-1"};
    harness.submitJob(next);
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    auto done = harness.taskStatus("wk-1/0", TaskState::exited);
    done.exitReason = protocol::ExitReason::done;
    bool writing = false;
    harness.now += 200ms;
    for (const auto& action : harness.deliver(HeartbeatReceived{1, harness.makeHeartbeat("m1", {done}, 5)}))
        writing |= std::holds_alternative<WriteState>(action);
    EXPECT_TRUE(writing);
    EXPECT_EQ(harness.heartbeat("m1", {done}), Names{});
    // The write gets no response, so its outcome is unknown.
    harness.deliver(StateWritten{});
    EXPECT_EQ(harness.heartbeat("m1", {done}), Names{});
    writing = false;
    for (const auto& action : harness.deliver(ReplicaRefreshed{RefreshOutcome::refreshed}))
        writing |= std::holds_alternative<WriteState>(action);
    ASSERT_TRUE(writing);
    EXPECT_EQ(harness.heartbeat("m1", {done}), Names{});
    storage::TransactionResult stored;
    stored.status = storage::TransactionStatus::applied;
    stored.revision = ++harness.revision;
    harness.deliver(StateWritten{stored});
    EXPECT_EQ(harness.replica.find("wk-1")->terminalState, storage::TerminalState::done);
    EXPECT_EQ(harness.heartbeat("m1", {done}), Names{"wk-2/0"});
}

// A new leader derives from stored data alone which jobs are ready, and since when.
TEST(Leader, NewLeaderThenKnowsReadyJobsFromStore) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    auto first = makeJob("wk-1", 2, 2);
    harness.submitJob(first);
    for (int i = 2; i < 4; ++i) {
        auto next = makeJob("wk-" + std::to_string(i), 1, 2);
        next.dependencies = {i == 2 ? "wk-1" : "wk-2"};
        harness.submitJob(next);
    }
    const auto bits = storage::encodeBits({true, true}, 0, storage::chunkTasks(8));
    std::vector<bookkeeping::ReplicaChange> changes;
    auto handle = protocol::unpackBody(bits);
    harness.replica.apply({storage::keys::bitmapChunk("wk-1", 0), &handle.get(), ++harness.revision},
                          changes);
    harness.leader.reset();
    harness.leader =
        std::make_unique<Leader>(harness.settings, harness.policy, harness.replica, 5, harness.now, 100'000);
    // All done bits of wk-1 are stored, but its terminal state is not.
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

// A job that waits for its dependencies uses none of its team's quotas and does not count as demand for
// scale-out.
TEST(Leader, JobWaitsForDependenciesThenHoldsNoQuota) {
    LeaderHarness harness;
    harness.settings.teams.push_back({"guaranteed", 4, 4, 0, 0});
    harness.registerMachine("m1");
    harness.startLeader();
    auto first = makeJob("wk-1", 1, 1), waiting = makeJob("wk-2", 4, 1), other = makeJob("wk-3", 3, 1);
    for (auto* job : {&first, &waiting, &other}) job->team = "guaranteed";
    waiting.dependencies = {"wk-1"};
    for (const auto& job : {first, waiting, other}) harness.submitJob(job);
    EXPECT_EQ(harness.heartbeat("m1").size(), 4u);
    EXPECT_TRUE(harness.replica.find("wk-3")->run->guaranteed);
    bool scalesOut = false;
    for (int i = 0; i < 20; ++i)
        for (const auto& action : harness.tick()) scalesOut |= std::holds_alternative<ScaleOut>(action);
    EXPECT_FALSE(scalesOut);
}

// Priority inheritance: a job gets the priority and the deadline of the most urgent job that depends on it,
// also if that job is submitted later, and only until that job is cancelled. The sums by priority must
// follow.
TEST(Leader, DependentJobIsMoreUrgentThenDependencyGetsItsPriority) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.startLeader();
    auto first = makeJob("wk-2", 4, 4), rival = makeJob("wk-1", 2, 4), last = makeJob("wk-3", 1, 1);
    first.priority = protocol::Priority::low;
    rival.priority = protocol::Priority::normal;
    last.priority = protocol::Priority::high;
    last.dependencies = {"wk-2"};
    last.deadline = Seconds(300);
    harness.submitJob(rival);
    harness.submitJob(first);
    EXPECT_EQ(harness.heartbeat("m1"), (Names{"wk-1/0", "wk-1/1"}));
    harness.submitJob(last);
    harness.registerMachine("m2");
    harness.leader.reset();
    harness.startLeader();
    harness.tick();
    EXPECT_EQ(harness.replica.find("wk-2")->run->priority, protocol::Priority::high);
    EXPECT_EQ(*harness.replica.find("wk-2")->dueAtMs, 270'000u);
    harness.heartbeat("m1", {harness.taskStatus("wk-1/0", TaskState::running),
                             harness.taskStatus("wk-1/1", TaskState::running)});
    EXPECT_EQ(harness.heartbeat("m2"), (Names{"wk-2/0", "wk-2/1"}));
    // The rival's tasks are preempted for the remaining tasks of wk-2.
    bool stops = false;
    for (int i = 0; i < 100 && !stops; ++i) {
        harness.heartbeat("m2", {harness.taskStatus("wk-2/0", TaskState::running),
                                 harness.taskStatus("wk-2/1", TaskState::running)});
        for (const auto& action : harness.tick())
            if (const auto* commands = std::get_if<SendCommands>(&action))
                for (const auto& command : commands->commands)
                    stops |= command.kind == CommandKind::stop && command.attempt.job == "wk-1";
        harness.heartbeat("m1", {harness.taskStatus("wk-1/0", TaskState::running),
                                 harness.taskStatus("wk-1/1", TaskState::running)});
    }
    EXPECT_TRUE(stops);
    EXPECT_EQ(tests::recount(harness.leader->fleet(), harness.replica), "");
    std::vector<bookkeeping::ReplicaChange> changes;
    harness.replica.applyCancellation("wk-3", ++harness.revision, changes);
    harness.deliver(JobsChanged{{"wk-3"}});
    for (int i = 0; i < 3; ++i) harness.tick();
    EXPECT_EQ(harness.replica.find("wk-2")->run->priority, protocol::Priority::low);
    EXPECT_EQ(harness.replica.find("wk-2")->dueAtMs, std::nullopt);
    EXPECT_EQ(tests::recount(harness.leader->fleet(), harness.replica), "");
}

// Guards against a leader that is partitioned from the key-value store and its peers starting jobs that were
// cancelled through another controller, until its leader lease expires.
TEST(Leader, CancellationsNotCurrentThenNothingStarts) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 1, 2));
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    harness.submitJob(makeJob("wk-2", 1, 2));
    std::vector<bookkeeping::ReplicaChange> changes;
    harness.replica.applyCancellation("wk-1", ++harness.revision, changes);
    harness.deliver(JobsChanged{{"wk-1"}});
    harness.tick();  // the job queue is refreshed and contains wk-2
    harness.now += 200ms;
    const auto heartbeat = harness.makeHeartbeat("m1", {harness.taskStatus("wk-1/0", TaskState::running)}, 5);
    std::vector<protocol::WorkerCommand> commands;
    for (const auto& action : harness.deliver(HeartbeatReceived{1, heartbeat, false}))
        if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) {
            EXPECT_EQ(answer->verdict, HeartbeatVerdict::accepted);  // running tasks continue
            commands = answer->commands;
        }
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands[0].kind, CommandKind::stop);
    EXPECT_EQ(harness.heartbeat("m1"), Names{"wk-2/0"});
}
