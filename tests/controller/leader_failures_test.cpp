// Tests of how a leader treats failed tasks: what it concludes about their job and their machines, and that
// no such conclusion keeps accepted work from its start for good.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "controller/leader_harness.h"

using namespace burlpoint;
using namespace burlpoint::tests;

namespace {

// Users count a job as starved that waits for this long although a machine fits it.
constexpr int kMaxWaitSeconds = 90;

TaskStatus failed(const LeaderHarness& harness, const std::string& name) {
    return {harness.lastAttempts.at(name), TaskState::exited, protocol::ExitReason::error, false};
}

/// What a leader sends in a second: how many machines it requests, and the tasks that it starts.
struct Sent {
    std::uint32_t requestedMachines = 0;
    Names starts;
};

/// Advances the clock by a second. The cloud deletes machines as the leader requests and leaves requests for
/// machines unanswered. The workers of `machines` that are left send a heartbeat without tasks.
Sent playSecond(LeaderHarness& harness, std::set<std::string>& machines) {
    Sent sent;
    for (const auto& action : harness.tick(1s)) {
        if (const auto* scaleOut = std::get_if<ScaleOut>(&action))
            sent.requestedMachines += scaleOut->request.count;
        const auto* scaleIn = std::get_if<ScaleIn>(&action);
        if (!scaleIn) continue;
        for (const auto& id : scaleIn->machines) machines.erase(id);
        harness.deliver(ScaleInCompleted{scaleIn->machines, ScaleInOutcome::deleted});
    }
    const auto now = harness.now;
    for (const auto& id : machines)
        for (const auto& name : harness.heartbeat(id)) sent.starts.push_back(name);
    harness.now = now;
    return sent;
}

/// Starts tasks on the machines, which report all of them failed with their next heartbeats. Returns how
/// many.
std::size_t failAllTasks(LeaderHarness& harness, const std::set<std::string>& machines) {
    harness.tick();  // plans gangs
    std::map<std::string, std::vector<TaskStatus>> statuses;
    std::size_t started = 0;
    for (const auto& id : machines)
        for (const auto& name : harness.heartbeat(id)) {
            statuses[id].push_back(failed(harness, name));
            ++started;
        }
    for (const auto& [id, tasks] : statuses) harness.heartbeat(id, tasks);
    return started;
}

}  // namespace

// Guards against an accepted job that waits without end: its tasks had failed on three machines or more, no
// capacity was planned for it from then on, and its idle machines were deleted.
TEST(Leader, JobFailsOnManyMachinesThenItStartsAgainOrMachineIsRequested) {
    constexpr std::uint32_t kMachines = 14;
    for (const auto kind : {JobKind::array, JobKind::service, JobKind::gang}) {
        LeaderHarness harness;
        std::set<std::string> machines;
        for (std::uint32_t i = 1; i <= kMachines; ++i)
            machines.insert(std::string("m").append(std::to_string(i)));
        for (const auto& id : machines) harness.registerMachine(id);
        harness.startLeader();
        harness.now += 55s;  // from now on, idle machines may be deleted
        for (const auto& id : machines) harness.heartbeat(id);
        auto spec = makeJob("wk-1", kMachines, 8, kind);
        spec.estimatedRunTime = Seconds(60);  // too long to run one task after the other
        harness.submitJob(spec);
        ASSERT_EQ(failAllTasks(harness, machines), kMachines);
        int second = 0;
        for (; second < kMaxWaitSeconds; ++second) {
            const auto sent = playSecond(harness, machines);
            if (sent.requestedMachines > 0 || !sent.starts.empty()) break;
        }
        EXPECT_LT(second, kMaxWaitSeconds) << "kind " << static_cast<int>(kind);
    }
}

// Guards against an accepted job that waits without end: the machines on which its tasks had failed were lost
// as well, and none was requested in their place.
TEST(Leader, JobFailsOnManyMachinesThatAreLostThenMachineIsRequested) {
    for (const auto kind : {JobKind::array, JobKind::service, JobKind::gang}) {
        LeaderHarness harness;
        const std::set<std::string> machines{"m1", "m2", "m3", "m4"};
        for (const auto& id : machines) harness.registerMachine(id);
        harness.startLeader();
        for (const auto& id : machines) harness.heartbeat(id);
        harness.submitJob(makeJob("wk-1", 4, 8, kind));
        ASSERT_EQ(failAllTasks(harness, machines), machines.size());
        std::set<std::string> silent;
        std::uint32_t requested = 0;
        for (int second = 0; second < kMaxWaitSeconds; ++second)
            requested += playSecond(harness, silent).requestedMachines;
        EXPECT_GT(requested, 0u) << "kind " << static_cast<int>(kind);
    }
}

namespace {

/// Submits a gang of two tasks while only m1 sends heartbeats and has capacity for it, so that both tasks are
/// planned on m1 and wait for its next heartbeat.
void planGangOnFirstMachine(LeaderHarness& harness, bool singleZone) {
    auto gang = makeJob("wk-9", 2, 2, JobKind::gang);
    gang.singleZone = singleZone;
    harness.submitJob(gang);
    harness.tick();
    ASSERT_EQ(harness.replica.find("wk-9")->run->machines, (std::map<std::string, std::uint32_t>{{"m1", 2}}));
}

/// True if both tasks of the gang are started on m2 within the time that users wait. m1 sends heartbeats
/// without tasks, too.
bool gangStartsOnSecondMachine(LeaderHarness& harness) {
    std::set<std::string> started;
    std::vector<TaskStatus> running;
    for (int second = 0; second < kMaxWaitSeconds && started.size() < 2; ++second) {
        harness.tick(600ms);
        harness.heartbeat("m1");
        for (const auto& name : harness.heartbeat("m2", running)) {
            if (name.starts_with("wk-9/")) started.insert(name);
            running.push_back(harness.taskStatus(name, TaskState::running));
        }
    }
    return started == std::set<std::string>{"wk-9/0", "wk-9/1"};
}

}  // namespace

// Guards against a gang that waits without end beside room for it: its tasks were planned on a machine that
// counted as faulty from its next heartbeat on, so it was sent no start, and the plan was kept.
TEST(Leader, GangIsPlannedOnMachineThatTurnsFaultyThenItStartsOnAnother) {
    for (const bool singleZone : {false, true}) {
        LeaderHarness harness;
        for (const char* id : {"m1", "m2"}) harness.registerMachine(id);
        harness.startLeader();
        for (const char* id : {"wk-1", "wk-2"}) harness.submitJob(makeJob(id, 1, 2, JobKind::service));
        ASSERT_EQ(harness.heartbeat("m1"), (Names{"wk-1/0", "wk-2/0"}));
        planGangOnFirstMachine(harness, singleZone);
        EXPECT_EQ(harness.heartbeat("m1", {failed(harness, "wk-1/0"), failed(harness, "wk-2/0")}), Names{});
        EXPECT_TRUE(gangStartsOnSecondMachine(harness));
    }
}

// Guards against a gang that waits beside room for it for as long as the cloud does not answer: its tasks
// were planned on a machine that was silent for so long that its deletion was requested, and that came back
// then.
TEST(Leader, GangIsPlannedOnMachineWhoseDeletionIsRequestedThenItStartsOnAnother) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 1, 2, JobKind::service));
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    const auto running = harness.taskStatus("wk-1/0", TaskState::running);
    planGangOnFirstMachine(harness, true);
    const auto& m1 = *harness.leader->fleet().machines().at("m1");
    for (int second = 0; second < 15 && !m1.cloud.deletionRequested; ++second) harness.tick(1s);
    ASSERT_TRUE(m1.cloud.deletionRequested);
    EXPECT_EQ(harness.heartbeat("m1", {running}), Names{});
    harness.registerMachine("m2");
    harness.heartbeat("m2");
    EXPECT_TRUE(gangStartsOnSecondMachine(harness));
}

// Guards against a job that waits without end beside room for it: tasks of two jobs had failed on the
// machine, which runs a service and so reports no success and is not deleted, and the cloud has no other
// machine.
TEST(Leader, MachineOfServiceFailedTasksOfTwoJobsThenTasksEventuallyStartThere) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 1, 2, JobKind::service));
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    const auto service = harness.taskStatus("wk-1/0", TaskState::running);
    for (const char* id : {"wk-2", "wk-3"}) harness.submitJob(makeJob(id, 1, 2));
    ASSERT_EQ(harness.heartbeat("m1", {service}), (Names{"wk-2/0", "wk-3/0"}));
    harness.heartbeat("m1", {service, failed(harness, "wk-2/0"), failed(harness, "wk-3/0")});
    harness.submitJob(makeJob("wk-4", 1, 2));
    EXPECT_EQ(harness.heartbeat("m1", {service}), Names{});  // the machine counts as faulty
    Names started;
    for (int second = 0; second < kMaxWaitSeconds && started.empty(); ++second) {
        harness.tick(800ms);
        started = harness.heartbeat("m1", {service});
    }
    EXPECT_FALSE(started.empty());
}

// Guards against a job that waits without end for a machine that sends heartbeats and never receives an
// answer: it counted as capacity for the job, so no other was requested, and it was not deleted.
TEST(Leader, NewMachineNeverReceivesAnswersThenAnotherIsRequested) {
    LeaderHarness harness;
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 1, 4));
    std::uint32_t requested = 0;
    std::uint64_t sequence = 0;
    std::string deaf;
    for (int second = 0; second < kMaxWaitSeconds; ++second) {
        for (const auto& action : harness.tick(1s)) {
            const auto* scaleOut = std::get_if<ScaleOut>(&action);
            if (!scaleOut) continue;
            requested += scaleOut->request.count;
            if (!deaf.empty()) continue;  // the cloud answers the first request only
            deaf = "m-1";
            ScaleOutCompleted answer{scaleOut->request.name, InstanceRequestOutcome::fulfilled, {deaf}};
            harness.deliver(std::move(answer));
        }
        // The worker begins a new incarnation whenever its lease has ended.
        const auto incarnation =
            1 + static_cast<std::uint64_t>(Seconds(second) / harness.settings.workerLease);
        if (!deaf.empty() && second % 2 == 0)
            harness.deliver(
                HeartbeatReceived{1, {deaf, deaf, "plain", "z", false, incarnation, ++sequence, 0, {}, {}}});
    }
    EXPECT_GT(requested, 1u);
}
