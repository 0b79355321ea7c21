// Late copies of heartbeats and of start commands. A copy of a start must find its attempt on the worker, as
// long as the worker would accept the response that contained it; a copy of a heartbeat must cause no start.
#include <gtest/gtest.h>

#include <algorithm>

#include "base/clock.h"
#include "controller/leader_harness.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using protocol::ExitReason;

namespace {

constexpr auto kMaxResponseAge = 4s;  // a worker drops the response to an older heartbeat

/// Two machines and a job of one task, which has just been started on m1.
struct StartedTask : LeaderHarness {
    Time startedAt{};

    StartedTask() {
        registerMachine("m1");
        registerMachine("m2");
        startLeader();
        heartbeat("m1");
        heartbeat("m2");
        submitJob(makeJob("wk-1", 1, 8));
        EXPECT_EQ(heartbeat("m1"), Names{"wk-1/0"});
        startedAt = now;
        attempt = lastAttempts.at("wk-1/0");
    }
    std::vector<TaskStatus> listed(TaskState state, ExitReason reason = ExitReason::none) const {
        return {{attempt, state, reason, false}};
    }
    /// The commands in the response to a heartbeat of the machine that arrives now.
    std::vector<protocol::WorkerCommand> respond(const protocol::Heartbeat& heartbeat) {
        std::vector<protocol::WorkerCommand> commands;
        for (const auto& action : deliver(HeartbeatReceived{1, heartbeat}))
            if (const auto* answer = std::get_if<AnswerHeartbeat>(&action)) commands = answer->commands;
        return commands;
    }
    static bool contains(const std::vector<protocol::WorkerCommand>& commands, CommandKind kind) {
        return std::any_of(commands.begin(), commands.end(),
                           [&](const auto& command) { return command.kind == kind; });
    }
    /// Sends heartbeats of m1 that list the attempt as exited, and expects that it is acknowledged as soon as
    /// a copy of its start would not be accepted any more, and not before.
    void expectAcknowledgedOnceNoCopyIsAccepted(ExitReason reason) {
        const auto list = listed(TaskState::exited, reason);
        while (now - startedAt <= kMaxResponseAge) {
            EXPECT_FALSE(contains(respond(makeHeartbeat("m1", list, 5)), CommandKind::acknowledge));
            now += 500ms;
        }
        EXPECT_TRUE(contains(respond(makeHeartbeat("m1", list, 5)), CommandKind::acknowledge));
    }

    protocol::Attempt attempt;
};

}  // namespace

// Guards against a task that runs on two machines: it was refused on the first, moved to the second, and a
// copy of its first start arrived after the first worker had been told to forget the attempt.
TEST(LeaderLateCopies, TaskMovesSoonAfterItsStartThenFirstWorkerKeepsTheAttempt) {
    StartedTask task;
    task.heartbeat("m1", task.listed(TaskState::exited, ExitReason::machineFull));
    EXPECT_EQ(task.heartbeat("m2"), Names{"wk-1/0"});
    task.expectAcknowledgedOnceNoCopyIsAccepted(ExitReason::machineFull);
}

// Guards against a cancelled task that runs again in the same way.
TEST(LeaderLateCopies, JobIsCancelledSoonAfterItsStartThenWorkerKeepsTheAttempt) {
    StartedTask task;
    task.heartbeat("m1", task.listed(TaskState::running));
    task.cancelJob("wk-1");
    EXPECT_TRUE(StartedTask::contains(
        task.respond(task.makeHeartbeat("m1", task.listed(TaskState::running), 5)), CommandKind::stop));
    task.expectAcknowledgedOnceNoCopyIsAccepted(ExitReason::stopped);
}

// The worker lists the attempt for a while after its end, and would refuse another one of the same task.
TEST(LeaderLateCopies, TaskIsStoppedSoonAfterItsStartThenItIsNotStartedThereWhileItIsListed) {
    StartedTask task;
    task.registerMachine("m3");
    const auto stopped = task.listed(TaskState::exited, ExitReason::stopped);
    while (task.now - task.startedAt + 200ms <= kMaxResponseAge)
        EXPECT_EQ(task.heartbeat("m1", stopped), Names{});
    task.now += 200ms;
    EXPECT_EQ(task.heartbeat("m1"), Names{"wk-1/0"});
}

// A start that the worker did not receive is repeated at once, under another number.
TEST(LeaderLateCopies, StartIsNotDeliveredThenTaskStartsAgainAtOnce) {
    StartedTask task;
    EXPECT_EQ(task.heartbeat("m1"), Names{"wk-1/0"});
    EXPECT_NE(task.lastAttempts.at("wk-1/0"), task.attempt);
}

// Guards against starts that are composed twice. A heartbeat may arrive again, also through a follower, at
// any later time: while its start is under way, while the task runs, after it has moved and after its job's
// end.
TEST(LeaderLateCopies, HeartbeatArrivesAgainThenItsResponseStartsAndForgetsNothing) {
    StartedTask task;
    task.submitJob(makeJob("wk-2", 9, 1));  // waits for room, so that any heartbeat might start a task
    std::vector<protocol::Heartbeat> sent;
    const auto send = [&](const std::string& machine, std::vector<TaskStatus> list) {
        task.now += 200ms;
        sent.push_back(task.makeHeartbeat(machine, std::move(list), 5));
        task.respond(sent.back());
        for (const auto& copy : sent) {
            const auto commands = task.respond(copy);
            EXPECT_FALSE(StartedTask::contains(commands, CommandKind::start));
            EXPECT_FALSE(StartedTask::contains(commands, CommandKind::acknowledge));
        }
    };
    send("m1", task.listed(TaskState::fetching));
    send("m1", task.listed(TaskState::running));
    send("m2", {});
    send("m1", task.listed(TaskState::exited, ExitReason::stopped));
    task.now += 5s;
    send("m1", task.listed(TaskState::exited, ExitReason::stopped));
    send("m1", {});
    task.cancelJob("wk-1");
    task.cancelJob("wk-2");
    send("m2", {});
    send("m1", {});
}

// A leader that leads again under its own name has a higher fencing token: heartbeats from before show the
// older one, so that their copies start nothing.
TEST(LeaderLateCopies, HeartbeatOfEarlierLeadershipArrivesAgainThenNothingStarts) {
    StartedTask task;
    const auto copy = task.makeHeartbeat("m1", task.listed(TaskState::running), 5);
    task.replica.fencingToken = 6;
    task.leader = std::make_unique<Leader>(task.settings, task.policy, task.replica, 6, task.now, 0);
    task.submitJob(makeJob("wk-2", 1, 1));
    for (int repetition = 0; repetition < 3; ++repetition) EXPECT_TRUE(task.respond(copy).empty());
}
