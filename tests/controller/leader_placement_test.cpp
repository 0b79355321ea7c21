// Tests of placement and preemption by a leader.
#include <gtest/gtest.h>

#include <set>

#include "base/clock.h"
#include "controller/leader_harness.h"

using namespace burlpoint;
using namespace burlpoint::tests;

// Guards against service replicas permanently occupying the processors of all machines with accelerators.
TEST(Leader, AcceleratorMachinesNeededThenReplicasLeaveThemFree) {
    LeaderHarness harness;
    harness.registerMachine("m1", "gpu");
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 2, 4, JobKind::service));
    EXPECT_EQ(harness.heartbeat("m1"), Names{});
    auto gang = makeJob("wk-2", 1, 14, JobKind::gang);
    gang.gpus = 2;
    gang.priority = protocol::Priority::high;
    harness.submitJob(gang);
    EXPECT_EQ(harness.heartbeat("m1"), Names{"wk-2/0"});
    harness.now += 15s;
    EXPECT_EQ(harness.heartbeat("m1", {harness.taskStatus("wk-2/0", TaskState::running)}),
              Names{});  // only 2 processors are free
}

// Guards against service replicas that start at once on machines without their image, and so run late because
// of the fetch.
TEST(Leader, ShortWaitObjectiveThenStartsWhereImageIsCached) {
    LeaderHarness harness;
    harness.settings.objectives = {{"wait", "service", Seconds(3), 0.9}};
    harness.registerMachine("m1");
    harness.registerMachine("m2");
    harness.startLeader();
    auto array = makeJob("wk-1", 8, 1);
    harness.submitJob(array);
    const auto filled = harness.heartbeat("m1");
    ASSERT_EQ(filled.size(), 8u);
    std::vector<TaskStatus> running;
    running.reserve(filled.size());
    for (const auto& name : filled) running.push_back(harness.taskStatus(name, TaskState::running));
    harness.heartbeat("m1", running);
    harness.heartbeat("m2");
    auto service = makeJob("wk-2", 1, 2, JobKind::service);
    service.jobClass = "service";
    harness.submitJob(service);
    EXPECT_EQ(harness.heartbeat("m2"), Names{});  // m2 is free but would have to fetch the image
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

// Guards against needless preemption: in a simulation, a quarter of all started tasks were preempted for jobs
// that could have waited briefly for capacity to become free.
TEST(Leader, HighPriorityJobWaitsThenFreedCapacityIsReservedBeforePreemption) {
    LeaderHarness harness;
    harness.settings.objectives = {{"wait", "high", Seconds(20), 0.9}};
    harness.registerMachine("m1");
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 20, 1));
    auto names = harness.heartbeat("m1");
    ASSERT_EQ(names.size(), 8u);
    std::vector<TaskStatus> running;
    running.reserve(names.size());
    for (const auto& name : names) running.push_back(harness.taskStatus(name, TaskState::running));
    auto high = makeJob("wk-2", 1, 2);
    high.jobClass = "high";
    high.priority = protocol::Priority::high;
    harness.submitJob(high);
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
    harness.startLeader();
    auto late = makeJob("wk-1", 1, 8), big = makeJob("wk-2", 9, 8), small = makeJob("wk-3", 1, 8);
    late.deadline = Seconds(5);
    big.deadline = small.deadline = Seconds(900);
    for (const auto& spec : {late, big, small}) harness.submitJob(spec);
    EXPECT_EQ(harness.heartbeat("m1"), Names{"wk-3/0"});
    EXPECT_EQ(harness.heartbeat("m1", {{harness.lastAttempts.at("wk-3/0"), TaskState::exited,
                                        protocol::ExitReason::done, false}}),
              Names{"wk-2/0"});
}

TEST(Leader, UnconfirmedStartsThenCountTowardsTeamQuota) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.registerMachine("m2");
    harness.startLeader();
    auto spec = makeJob("wk-1", 4, 4);
    spec.team = "limited";
    harness.submitJob(spec);
    EXPECT_EQ(harness.heartbeat("m1").size(), 0u);  // m2 has sent no heartbeat and may run the team's tasks
    harness.heartbeat("m2", {}, 4);
    harness.deliver(CommandsAnswered{"m2", harness.makeHeartbeat("m2", {}, 5), {}});
    EXPECT_EQ(harness.heartbeat("m1").size(), 2u);
    EXPECT_EQ(harness.heartbeat("m2").size(), 0u);
}

// A machine on which tasks of different jobs fail is excluded from placement. A job whose tasks fail on
// several machines does not count as a fault of these machines.
TEST(Leader, TasksFailThenFaultyMachinesAndFaultyJobsAreDistinguished) {
    LeaderHarness harness;
    for (const char* id : {"m1", "m2", "m3", "m4", "m5"}) harness.registerMachine(id);
    harness.startLeader();
    for (const char* id : {"m1", "m2", "m3", "m4", "m5"}) harness.heartbeat(id);
    harness.submitJob(makeJob("wk-1", 1, 8));
    int machines = 0;
    for (const char* id : {"m1", "m2", "m3", "m4", "m5"}) {
        if (harness.heartbeat(id) != Names{"wk-1/0"}) continue;
        ++machines;
        harness.heartbeat(
            id, {{harness.lastAttempts.at("wk-1/0"), TaskState::exited, protocol::ExitReason::error, false}});
    }
    EXPECT_EQ(machines, 3);  // after three failures the job waits
    harness.submitJob(makeJob("wk-2", 1, 8));
    EXPECT_EQ(harness.heartbeat("m1"), Names{"wk-2/0"});
    harness.heartbeat(
        "m1", {{harness.lastAttempts.at("wk-2/0"), TaskState::exited, protocol::ExitReason::error, false}});
    EXPECT_EQ(harness.heartbeat("m1"), Names{});  // two jobs have failed on it
}

// The cost of a heartbeat, counted in machines scanned, must not grow with the size of the fleet.
TEST(Leader, LargerFleetThenHeartbeatScansNoMoreMachines) {
    const auto scansPerHeartbeat = [](int fleet) {
        LeaderHarness harness;
        std::vector<std::string> machines;
        for (int i = 0; i < fleet; ++i) {
            machines.push_back("m" + std::to_string(i));
            harness.registerMachine(machines.back());
        }
        harness.startLeader();
        for (int i = 0; i < 20; ++i) {
            // The first ten jobs fill the machines and populate the image caches; the others wait.
            const auto tasks = static_cast<std::uint32_t>(i < 10 ? fleet / 5 : 2000);
            auto spec =
                makeJob("wk-" + std::to_string(i), tasks, 1, i % 2 ? JobKind::array : JobKind::service);
            spec.image = "image-" + std::to_string(i % 5);
            spec.memoryGb = 16;  // memory is exhausted before processors
            harness.submitJob(spec);
        }
        std::uint64_t before = 0, heartbeats = 0;
        for (int round = 0; round < 4; ++round) {  // each machine sends a heartbeat every two seconds
            if (round == 1) before = harness.leader->machinesScanned();
            for (const auto& id : machines) {
                std::vector<TaskStatus> tasks;
                for (const auto& [key, placement] : harness.leader->fleet().machines().at(id)->placements)
                    tasks.push_back({{key.job->spec.id, key.task, key.attempt},
                                     TaskState::running,
                                     protocol::ExitReason::none,
                                     false});
                harness.now += std::chrono::duration_cast<Clock::duration>(Seconds(2.0 / fleet));
                harness.deliver(HeartbeatReceived{1, harness.makeHeartbeat(id, tasks, 5)});
                heartbeats += round > 0;
            }
        }
        return static_cast<double>(harness.leader->machinesScanned() - before) /
               static_cast<double>(heartbeats);
    };
    const auto few = scansPerHeartbeat(40), many = scansPerHeartbeat(400);
    EXPECT_LT(many, few * 1.5 + 20);
}

// On a spot interruption notice for one machine, all tasks of a gang must be stopped together so that the
// gang can save a checkpoint.
TEST(Leader, SpotInterruptionNoticeThenWholeGangIsStopped) {
    LeaderHarness harness;
    harness.registerMachine("m1", "gpu");
    harness.registerMachine("m2", "gpu");
    harness.startLeader();
    harness.heartbeat("m1");
    harness.heartbeat("m2");
    auto spec = makeJob("wk-1", 2, 14, JobKind::gang);
    spec.gpus = 2;
    spec.checkpointInterval = Seconds(20);
    spec.saveTime = Seconds(4);
    harness.submitJob(spec);
    harness.tick();
    harness.tick();
    ASSERT_EQ(harness.heartbeat("m1").size() + harness.heartbeat("m2").size(), 2u);
    std::map<std::string, protocol::Attempt> attemptOn;
    for (const auto& [id, m] : harness.leader->fleet().machines())
        for (const auto& [key, placement] : m->placements) attemptOn[id] = {"wk-1", key.task, key.attempt};
    for (const auto& [id, attempt] : attemptOn)
        harness.heartbeat(id, {{attempt, TaskState::running, {}, false}});
    auto interruptionNotice =
        harness.makeHeartbeat("m1", {{attemptOn.at("m1"), TaskState::running, {}, false}}, 5);
    interruptionNotice.interruptionNotice = Seconds(15);
    std::set<std::string> stopped;
    for (const auto& action : harness.deliver(HeartbeatReceived{1, interruptionNotice})) {
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

// Guards against a preemption loop: tasks of low priority within a guaranteed quota took the capacity that
// was freed by preemption for another job, and were then preempted in turn, over and over.
TEST(Leader, CapacityFreedByPreemptionThenNotTakenByOtherWorkOfNoHigherPriority) {
    LeaderHarness harness;
    harness.settings.teams.push_back({"guaranteed", 100, 0, 0, 0});
    harness.registerMachine("m1", "gpu");
    harness.registerMachine("m2", "gpu");
    harness.startLeader();
    std::map<std::string, std::vector<TaskStatus>> running;
    const auto fill = [&](const std::string& id) {
        for (const auto& name : harness.heartbeat(id, running[id]))
            running[id].push_back(harness.taskStatus(name, TaskState::running));
    };
    harness.submitJob(makeJob("wk-1", 40, 1));
    fill("m1");
    fill("m2");
    ASSERT_EQ(running["m1"].size() + running["m2"].size(), 32u);
    auto gang = makeJob("wk-2", 2, 14, JobKind::gang);
    gang.gpus = 2;
    gang.priority = protocol::Priority::high;
    harness.submitJob(gang);
    auto other = makeJob("wk-3", 40, 1);
    other.team = "guaranteed";
    harness.submitJob(other);
    for (int i = 0; i < 5; ++i) harness.tick();
    for (const char* id : {"m1", "m2"}) {
        running[id].resize(2);  // the other tasks have stopped
        for (const auto& name : harness.heartbeat(id, running[id]))
            EXPECT_FALSE(name.starts_with("wk-3")) << name;
    }
    harness.tick();
    harness.tick();
    EXPECT_EQ(harness.heartbeat("m1", running["m1"]).size() + harness.heartbeat("m2", running["m2"]).size(),
              2u);  // the tasks of the gang
}
