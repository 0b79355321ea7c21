// Where a leader places tasks, and which tasks it preempts for others.
#include <gtest/gtest.h>

#include <set>

#include "base/clock.h"
#include "controller/leader_harness.h"

using namespace burlpoint;
using namespace burlpoint::tests;

// Seen on a simulated day: replicas took the processors of all machines with accelerators for good.
TEST(Leader, AcceleratorMachinesNeededThenReplicasLeaveThemFree) {
    LeaderHarness harness;
    harness.registerMachine("m1", "gpu");
    harness.lead();
    harness.job(make("wk-1", 2, 4, JobKind::service));
    EXPECT_EQ(harness.heartbeat("m1"), Names{});
    auto gang = make("wk-2", 1, 14, JobKind::gang);
    gang.gpus = 2;
    gang.priority = protocol::Priority::high;
    harness.job(gang);
    EXPECT_EQ(harness.heartbeat("m1"), Names{"wk-2/0"});
    harness.now += 15s;
    EXPECT_EQ(harness.heartbeat("m1", {harness.task("wk-2/0", TaskState::running)}),
              Names{});  // 2 processors are left
}

// Seen on a simulated day: replicas started at once, and late, on machines without their image.
TEST(Leader, ShortWaitTargetThenStartsWhereImageIsCached) {
    LeaderHarness harness;
    harness.settings.objectives = {{"wait", "service", Seconds(3), 0.9}};
    harness.registerMachine("m1");
    harness.registerMachine("m2");
    harness.lead();
    auto array = make("wk-1", 8, 1);
    harness.job(array);
    const auto filled = harness.heartbeat("m1");
    ASSERT_EQ(filled.size(), 8u);
    std::vector<TaskStatus> running;
    running.reserve(filled.size());
    for (const auto& name : filled) running.push_back(harness.task(name, TaskState::running));
    harness.heartbeat("m1", running);
    harness.heartbeat("m2");
    auto service = make("wk-2", 1, 2, JobKind::service);
    service.jobClass = "service";
    harness.job(service);
    EXPECT_EQ(harness.heartbeat("m2"), Names{});  // free, but it would have to fetch
    std::size_t stops = 0;
    for (int i = 0; i < 3; ++i)
        for (const auto& action : harness.tick())
            if (const auto* direct = std::get_if<SendCommands>(&action)) {
                EXPECT_EQ(direct->machine, "m1");
                stops = std::max(stops, direct->commands.size());
            }
    EXPECT_EQ(stops, 2u);
    running.erase(running.begin(), running.begin() + 2);
    EXPECT_EQ(harness.heartbeat("m1", running), Names{"wk-2/0"});
}

// Seen on a simulated day: a quarter of all starts were preempted for jobs that could have waited a little.
TEST(Leader, HighPriorityJobWaitsThenFreedCapacityIsReservedBeforePreemption) {
    LeaderHarness harness;
    harness.settings.objectives = {{"wait", "high", Seconds(20), 0.9}};
    harness.registerMachine("m1");
    harness.lead();
    harness.job(make("wk-1", 20, 1));
    auto names = harness.heartbeat("m1");
    ASSERT_EQ(names.size(), 8u);
    std::vector<TaskStatus> running;
    running.reserve(names.size());
    for (const auto& name : names) running.push_back(harness.task(name, TaskState::running));
    auto high = make("wk-2", 1, 2);
    high.jobClass = "high";
    high.priority = protocol::Priority::high;
    harness.job(high);
    EXPECT_EQ(harness.heartbeat("m1", running), Names{});
    for (const auto& action : harness.tick()) EXPECT_FALSE(std::holds_alternative<SendCommands>(action));
    running.pop_back();
    EXPECT_EQ(harness.heartbeat("m1", running), Names{});  // one processor is free and stays reserved
    running.pop_back();
    EXPECT_EQ(harness.heartbeat("m1", running), Names{"wk-2/0"});
}

TEST(Leader, DeadlinesThenShortestJobFirstAndLateJobLast) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.lead();
    auto late = make("wk-1", 1, 8), big = make("wk-2", 9, 8), small = make("wk-3", 1, 8);
    late.deadline = Seconds(5);
    big.deadline = small.deadline = Seconds(900);
    for (const auto& spec : {late, big, small}) harness.job(spec);
    EXPECT_EQ(harness.heartbeat("m1"), Names{"wk-3/0"});
    EXPECT_EQ(harness.heartbeat(
                  "m1", {{harness.last.at("wk-3/0"), TaskState::exited, protocol::ExitReason::done, false}}),
              Names{"wk-2/0"});
}

TEST(Leader, UnconfirmedStartsThenCountTowardsTeamQuota) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.registerMachine("m2");
    harness.lead();
    auto spec = make("wk-1", 4, 4);
    spec.team = "limited";
    harness.job(spec);
    EXPECT_EQ(harness.heartbeat("m1").size(), 0u);  // m2, not heard yet, may be full of the team's tasks
    harness.heartbeat("m2", {}, 4);
    harness.tell(CommandsAnswered{"m2", harness.message("m2", {}, 5), {}});
    EXPECT_EQ(harness.heartbeat("m1").size(), 2u);
    EXPECT_EQ(harness.heartbeat("m2").size(), 0u);
}

// A machine on which tasks of different jobs fail is not used any more; a job that fails everywhere is not
// blamed on the machines.
TEST(Leader, TasksFailThenFaultyMachinesAndFaultyJobsAreToldApart) {
    LeaderHarness harness;
    for (const char* id : {"m1", "m2", "m3", "m4", "m5"}) harness.registerMachine(id);
    harness.lead();
    for (const char* id : {"m1", "m2", "m3", "m4", "m5"}) harness.heartbeat(id);
    harness.job(make("wk-1", 1, 8));
    int machines = 0;
    for (const char* id : {"m1", "m2", "m3", "m4", "m5"}) {
        if (harness.heartbeat(id) != Names{"wk-1/0"}) continue;
        ++machines;
        harness.heartbeat(
            id, {{harness.last.at("wk-1/0"), TaskState::exited, protocol::ExitReason::error, false}});
    }
    EXPECT_EQ(machines, 3);  // then it waits
    harness.job(make("wk-2", 1, 8));
    EXPECT_EQ(harness.heartbeat("m1"), Names{"wk-2/0"});
    harness.heartbeat("m1",
                      {{harness.last.at("wk-2/0"), TaskState::exited, protocol::ExitReason::error, false}});
    EXPECT_EQ(harness.heartbeat("m1"), Names{});  // two jobs have failed on it
}

// The cost of a heartbeat must not grow with the fleet: the machines scanned per heartbeat are counted.
TEST(Leader, LargerFleetThenHeartbeatScansNoMoreMachines) {
    const auto visitsPerHeartbeat = [](int fleet) {
        LeaderHarness harness;
        std::vector<std::string> machines;
        for (int i = 0; i < fleet; ++i) {
            machines.push_back("m" + std::to_string(i));
            harness.registerMachine(machines.back());
        }
        harness.lead();
        for (int i = 0; i < 20; ++i) {
            // The first ten fill the machines and leave their images there, the others wait.
            const auto tasks = static_cast<std::uint32_t>(i < 10 ? fleet / 5 : 2000);
            auto spec = make("wk-" + std::to_string(i), tasks, 1, i % 2 ? JobKind::array : JobKind::service);
            spec.image = "image-" + std::to_string(i % 5);
            spec.memoryGb = 16;  // machines are full with processors to spare
            harness.job(spec);
        }
        std::uint64_t before = 0, heartbeats = 0;
        for (int round = 0; round < 4; ++round) {  // each machine sends a heartbeat every two seconds
            if (round == 1) before = harness.leader->machinesScanned();
            for (const auto& id : machines) {
                std::vector<TaskStatus> tasks;
                for (const auto& [key, place] : harness.leader->fleet().machines().at(id)->placements)
                    tasks.push_back({{key.job->spec.id, key.task, key.attempt},
                                     TaskState::running,
                                     protocol::ExitReason::none,
                                     false});
                harness.now += std::chrono::duration_cast<Clock::duration>(Seconds(2.0 / fleet));
                harness.tell(HeartbeatReceived{1, harness.message(id, tasks, 5)});
                heartbeats += round > 0;
            }
        }
        return static_cast<double>(harness.leader->machinesScanned() - before) /
               static_cast<double>(heartbeats);
    };
    const auto few = visitsPerHeartbeat(40), many = visitsPerHeartbeat(400);
    EXPECT_LT(many, few * 1.5 + 20);
}

// A spot interruption notice for one machine: to save a checkpoint, all tasks of a gang must be stopped
// together.
TEST(Leader, SpotInterruptionNoticeThenWholeGangIsStopped) {
    LeaderHarness harness;
    harness.registerMachine("m1", "gpu");
    harness.registerMachine("m2", "gpu");
    harness.lead();
    harness.heartbeat("m1");
    harness.heartbeat("m2");
    auto spec = make("wk-1", 2, 14, JobKind::gang);
    spec.gpus = 2;
    spec.checkpointInterval = Seconds(20);
    spec.saveTime = Seconds(4);
    harness.job(spec);
    harness.tick();
    harness.tick();
    ASSERT_EQ(harness.heartbeat("m1").size() + harness.heartbeat("m2").size(), 2u);
    std::map<std::string, protocol::Attempt> on;
    for (const auto& [id, m] : harness.leader->fleet().machines())
        for (const auto& [key, place] : m->placements) on[id] = {"wk-1", key.task, key.attempt};
    for (const auto& [id, attempt] : on) harness.heartbeat(id, {{attempt, TaskState::running, {}, false}});
    auto interruptionNotice = harness.message("m1", {{on.at("m1"), TaskState::running, {}, false}}, 5);
    interruptionNotice.interruptionNotice = Seconds(15);
    std::set<std::string> stopped;
    for (const auto& action : harness.tell(HeartbeatReceived{1, interruptionNotice})) {
        if (const auto* answer = std::get_if<AnswerHeartbeat>(&action))
            for (const auto& command : answer->commands)
                if (command.kind == CommandKind::stop) stopped.insert("m1");
        if (const auto* direct = std::get_if<SendCommands>(&action))
            for (const auto& command : direct->commands) {
                EXPECT_EQ(command.grace, spec.saveTime);
                stopped.insert(direct->machine);
            }
    }
    EXPECT_EQ(stopped, (std::set<std::string>{"m1", "m2"}));
}

// Seen on a simulated day: tasks of low priority within a guaranteed quota took the capacity that others had
// been preempted for, and were preempted in turn, over and over.
TEST(Leader, CapacityFreedByPreemptionThenNotTakenByOtherWorkOfNoHigherPriority) {
    LeaderHarness harness;
    harness.settings.teams.push_back({"guaranteed", 100, 0, 0, 0});
    harness.registerMachine("m1", "gpu");
    harness.registerMachine("m2", "gpu");
    harness.lead();
    std::map<std::string, std::vector<TaskStatus>> running;
    const auto fill = [&](const std::string& id) {
        for (const auto& name : harness.heartbeat(id, running[id]))
            running[id].push_back(harness.task(name, TaskState::running));
    };
    harness.job(make("wk-1", 40, 1));
    fill("m1");
    fill("m2");
    ASSERT_EQ(running["m1"].size() + running["m2"].size(), 32u);
    auto gang = make("wk-2", 2, 14, JobKind::gang);
    gang.gpus = 2;
    gang.priority = protocol::Priority::high;
    harness.job(gang);
    auto other = make("wk-3", 40, 1);
    other.team = "guaranteed";
    harness.job(other);
    for (int i = 0; i < 5; ++i) harness.tick();
    for (const char* id : {"m1", "m2"}) {
        running[id].resize(2);  // the others have stopped
        for (const auto& name : harness.heartbeat(id, running[id]))
            EXPECT_FALSE(name.starts_with("wk-3")) << name;
    }
    harness.tick();
    harness.tick();
    EXPECT_EQ(harness.heartbeat("m1", running["m1"]).size() + harness.heartbeat("m2", running["m2"]).size(),
              2u);  // the gang
}
