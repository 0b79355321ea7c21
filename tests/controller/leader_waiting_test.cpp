// Starvation tests: no job waits indefinitely, neither behind other jobs nor while there is free capacity
// that fits it.
#include <gtest/gtest.h>

#include <set>

#include "base/clock.h"
#include "controller/leader_harness.h"

using namespace burlpoint;
using namespace burlpoint::tests;

namespace {

/// Simulates workers that run every task for 20 heartbeats. Returns the time in seconds until the first task
/// of `job` starts. `submitJobs` is called once a second to submit other jobs.
double secondsUntilStart(LeaderHarness& harness, const std::vector<std::string>& machines,
                         const std::string& job, const std::function<void(int second)>& submitJobs,
                         int maxSeconds = 300) {
    std::map<std::string, std::map<protocol::Attempt, int>> running;
    for (int second = 0; second < maxSeconds; ++second) {
        submitJobs(second);
        harness.deliver(Tick{});
        for (const auto& id : machines) {
            std::vector<TaskStatus> tasks;
            for (auto& [attempt, heartbeatsLeft] : running[id])
                tasks.push_back(
                    {attempt, heartbeatsLeft-- > 0 ? TaskState::running : TaskState::exited,
                     heartbeatsLeft >= 0 ? protocol::ExitReason::none : protocol::ExitReason::done, false});
            std::erase_if(running[id], [](const auto& entry) { return entry.second < 0; });
            std::vector<Action> actions =
                harness.deliver(HeartbeatReceived{1, harness.makeHeartbeat(id, tasks, 5)});
            for (const auto& action : actions) {
                const auto* answer = std::get_if<AnswerHeartbeat>(&action);
                if (!answer) continue;
                for (const auto& command : answer->commands) {
                    if (command.kind != CommandKind::start) continue;
                    if (command.attempt.job == job) return second;
                    running[id][command.attempt] = 20;
                }
            }
        }
        harness.now += 1s;
    }
    return maxSeconds;
}

}  // namespace

// Guards against starvation under sustained overload: small jobs with deadlines must not keep a large job
// from starting.
TEST(Leader, SustainedOverloadThenLargeJobEventuallyStarts) {
    LeaderHarness harness;
    const std::vector<std::string> machines{"m1", "m2", "m3"};
    for (const auto& id : machines) harness.registerMachine(id);
    harness.startLeader();
    int nextJobNumber = 10;
    const auto small = [&](int) {
        for (int i = 0; i < 2; ++i) {
            auto spec = makeJob("wk-" + std::to_string(nextJobNumber++), 2, 4);
            spec.deadline = Seconds(200);
            harness.submitJob(spec);
        }
    };
    small(0);
    auto large = makeJob("wk-1", 900, 4);
    large.deadline = Seconds(60);
    harness.submitJob(large);
    EXPECT_LT(secondsUntilStart(harness, machines, "wk-1", small), 180);
}

namespace {

/// A simulated worker whose tasks of wk-1 run until they are stopped; tasks of other jobs end after 20
/// heartbeats.
struct BusyWorker {
    std::map<protocol::Attempt, int> running;  // with the number of heartbeats so far
    std::set<protocol::Attempt> stopped;       // not reported in a heartbeat yet
    int longestRun = 0, stops = 0;             // longest run, in heartbeats, and number of stops of wk-1

    std::vector<TaskStatus> heartbeat() {
        std::vector<TaskStatus> tasks;
        for (const auto& attempt : stopped)
            tasks.push_back({attempt, TaskState::exited, protocol::ExitReason::stopped, false});
        stopped.clear();
        for (auto& [attempt, ran] : running) {
            const bool done = attempt.job != "wk-1" && ran >= 20;
            if (attempt.job == "wk-1") longestRun = std::max(longestRun, ran);
            tasks.push_back({attempt, done ? TaskState::exited : TaskState::running,
                             done ? protocol::ExitReason::done : protocol::ExitReason::none, false});
            ran = done ? -1 : ran + 1;
        }
        std::erase_if(running, [](const auto& entry) { return entry.second < 0; });
        return tasks;
    }
    void execute(const protocol::WorkerCommand& command) {
        if (command.kind == CommandKind::start) running[command.attempt] = 0;
        if (command.kind != CommandKind::stop || !running.erase(command.attempt)) return;
        stopped.insert(command.attempt);
        stops += command.attempt.job == "wk-1";
    }
};

}  // namespace

// Guards against starvation by preemption: a job that has just started after a long wait is the cheapest to
// preempt. If a preemption right after the start cost it its rank as overdue, it would wait again; with long
// tasks, this was seen to take 440 s.
TEST(Leader, StartPreemptedAtOnceThenJobStaysOverdue) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 2, 4));
    BusyWorker worker;
    int nextJobNumber = 10;
    for (int second = 0; second < 240; ++second) {
        if (second >= 5) {  // from now on, jobs of higher priority exceed the capacity
            auto high = makeJob("wk-" + std::to_string(nextJobNumber++), 1, 4);
            high.priority = protocol::Priority::high;
            harness.submitJob(high);
        }
        for (int i = 0; i < 5; ++i) harness.tick();
        for (const auto& action :
             harness.deliver(HeartbeatReceived{1, harness.makeHeartbeat("m1", worker.heartbeat(), 5)}))
            if (const auto* answer = std::get_if<AnswerHeartbeat>(&action))
                for (const auto& command : answer->commands) worker.execute(command);
    }
    EXPECT_GE(worker.stops, 2);  // wk-1 was preempted before it was overdue
    EXPECT_GE(worker.longestRun, 30);
    EXPECT_LT(worker.stops, 8);  // and was not preempted repeatedly afterwards
}

// Guards against starvation of a large gang whose machines are given to smaller gangs whenever they become
// free.
TEST(Leader, SmallerGangsCompeteThenLargeGangEventuallyStarts) {
    LeaderHarness harness;
    const std::vector<std::string> machines{"m1", "m2", "m3", "m4"};
    for (const auto& id : machines) harness.registerMachine(id, "gpu");
    harness.startLeader();
    int nextJobNumber = 10;
    const auto gang = [&](const std::string& id, std::uint32_t tasks) {
        auto spec = makeJob(id, tasks, 14, JobKind::gang);
        spec.gpus = 2;
        spec.singleZone = true;
        spec.priority = protocol::Priority::high;
        harness.submitJob(spec);
    };
    const auto small = [&](int second) {
        if (second % 4 == 0) gang("wk-" + std::to_string(nextJobNumber++), 1);
    };
    for (int i = 0; i < 6; ++i) small(0);
    gang("wk-1", 4);
    EXPECT_LT(secondsUntilStart(harness, machines, "wk-1", small), 180);
}

// Guards against spending the budget of machines scanned per round on two or three jobs: in a large fleet,
// each waiting job, service replicas included, was then considered only every few seconds.
TEST(Leader, LargeFleetThenProductionIsServedInEveryRound) {
    LeaderHarness harness;
    std::vector<std::string> machines;
    for (int i = 0; i < 1500; ++i) {
        machines.push_back(std::string("m").append(std::to_string(i)));
        harness.registerMachine(machines.back());
    }
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 20'000, 1));
    for (const auto& id : machines) {
        harness.now -= 199ms;  // all heartbeats arrive within two seconds
        ASSERT_EQ(harness.heartbeat(id).size(), 8u);
    }
    for (int i = 2; i < 60; ++i) {
        auto high = makeJob("wk-" + std::to_string(i), 4, 8);
        high.priority = protocol::Priority::high;
        harness.submitJob(high);
    }
    for (int i = 0; i < 18; ++i) harness.tick();
    harness.submitJob(makeJob("wk-100", 2, 4, JobKind::service));
    int rounds = 0;
    const auto isReserved = [&] {
        return std::any_of(machines.begin(), machines.end(), [&](const auto& id) {
            const auto* holder = harness.leader->fleet().machines().at(id)->reservation.job;
            return holder && holder->spec.id == "wk-100";
        });
    };
    while (!isReserved() && rounds < 20) {
        harness.tick(250ms);
        ++rounds;
    }
    EXPECT_LE(rounds, 2);
}

// Guards against repeated requests of the whole demand from spot types with a recent capacity error.
TEST(Leader, CapacityErrorThenFewMachinesOfThatTypeAreRequested) {
    LeaderHarness harness;
    harness.settings.cloudRequestsPerSecond = 50;
    harness.startLeader();
    auto spec = makeJob("wk-1", 400, 8);
    spec.spot = true;
    harness.submitJob(spec);
    const auto requestMachines = [&] {
        std::map<bool, std::uint32_t> count;
        for (int i = 0; i < 8; ++i)
            for (const auto& action : harness.tick())
                if (const auto* scaleOut = std::get_if<ScaleOut>(&action)) {
                    count[scaleOut->request.spot] += scaleOut->request.count;
                    ScaleOutCompleted answer;
                    answer.name = scaleOut->request.name;
                    answer.outcome = InstanceRequestOutcome::rejected;
                    harness.deliver(answer);
                }
        return count;
    };
    EXPECT_GT(requestMachines()[true], 100u);
    for (int i = 0; i < 10; ++i) {
        harness.now += 20s;  // the backoff after the capacity errors is over
        const auto spotMachines = requestMachines()[true];
        if (i >= 5) {  // by now, each type and zone has had a capacity error
            EXPECT_LE(spotMachines, 24u);
        }
    }
}

namespace {

/// Returns the time in seconds until the first task of `job` starts on one of the machines, while the listed
/// tasks keep running. Returns 150 if none starts within 150 s.
double secondsUntilStartWhileOthersRun(LeaderHarness& harness, const std::string& job,
                                       const std::map<std::string, std::vector<TaskStatus>>& machines) {
    for (int second = 0; second < 150; ++second) {
        harness.now += 700ms;
        harness.deliver(Tick{});
        for (const auto& [id, running] : machines)
            for (const auto& name : harness.heartbeat(id, running))
                if (name.starts_with(job + "/")) return second;
        harness.now += 300ms - 200ms * static_cast<int>(machines.size());
    }
    return 150;
}

}  // namespace

// Whatever the reason to keep capacity free, no job waits for 90 s while there is free capacity that fits it.
TEST(Leader, JobConstrainedToAcceleratorMachinesThenEventuallyStarts) {
    for (const bool needed : {false, true}) {
        LeaderHarness harness;
        harness.registerMachine("m1", "gpu");
        harness.startLeader();
        std::vector<TaskStatus> running;
        if (needed) {
            auto gang = makeJob("wk-1", 1, 8, JobKind::gang);
            gang.gpus = 1;
            gang.priority = protocol::Priority::high;
            harness.submitJob(gang);
            ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
            running.push_back(harness.taskStatus("wk-1/0", TaskState::running));
            gang.id = "wk-3";
            gang.cpus = 14;
            harness.submitJob(gang);
        }
        auto plain = makeJob("wk-2", 1, 4);
        plain.types = Names{"gpu"};
        plain.priority = protocol::Priority::high;
        harness.submitJob(plain);
        EXPECT_LT(secondsUntilStartWhileOthersRun(harness, "wk-2", {{"m1", running}}), 80);
    }
}

// Guards against an array job that needs no accelerators but is constrained to machines with accelerators
// never starting: no machine was requested for it, and an idle machine of that type was deleted.
TEST(Leader, ArrayConstrainedToMachineTypeThenScalesOut) {
    for (const bool small : {true, false}) {
        LeaderHarness harness;
        harness.startLeader();
        auto spec = makeJob("wk-1", 1, small ? 4 : 12);  // 12 processors fit no machine without accelerators
        if (small) spec.types = Names{"gpu"};
        harness.submitJob(spec);
        std::string type;
        for (int i = 0; i < 30; ++i)
            for (const auto& action : harness.tick())
                if (const auto* scaleOut = std::get_if<ScaleOut>(&action)) type = scaleOut->request.type;
        EXPECT_EQ(type, "gpu");
    }
}

// A job that is constrained to machines with accelerators is delayed in favour of jobs that need
// accelerators, but it still needs the machine. If the idle machine were scaled in meanwhile, it would be
// requested and deleted over and over.
TEST(Leader, WaitingJobMayRunNowhereElseThenIdleMachineIsNotScaledIn) {
    LeaderHarness harness;
    harness.registerMachine("m1", "gpu");
    harness.startLeader();
    auto gang = makeJob("wk-1", 1, 14, JobKind::gang);
    gang.gpus = 1;
    gang.priority = protocol::Priority::normal;
    harness.submitJob(gang);
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    harness.heartbeat(
        "m1", {{harness.lastAttempts.at("wk-1/0"), TaskState::exited, protocol::ExitReason::done, false}});
    auto plain = makeJob("wk-2", 1, 4);
    plain.types = Names{"gpu"};
    plain.priority = protocol::Priority::high;
    harness.submitJob(plain);
    bool started = false;
    for (int second = 0; second < 80 && !started; ++second) {
        started = harness.heartbeat("m1") == Names{"wk-2/0"};
        for (const auto& action : harness.tick(800ms)) EXPECT_FALSE(std::holds_alternative<ScaleIn>(action));
    }
    EXPECT_TRUE(started);
}

TEST(Leader, JobFailedOnOnlyMachineWithCapacityThenStartsThereAgain) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.startLeader();
    harness.submitJob(makeJob("wk-1", 1, 4));
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    harness.heartbeat(
        "m1", {{harness.lastAttempts.at("wk-1/0"), TaskState::exited, protocol::ExitReason::error, false}});
    EXPECT_LT(secondsUntilStartWhileOthersRun(harness, "wk-1", {{"m1", {}}}), 80);
}

TEST(Leader, ZoneReservedForGangThenOtherJobsEventuallyStartThere) {
    LeaderHarness harness;
    harness.settings.zones = {"z"};
    std::map<std::string, std::vector<TaskStatus>> machines;
    for (const char* id : {"m1", "m2", "m3"}) harness.registerMachine(id, "gpu");
    harness.startLeader();
    const auto gang = [&](const std::string& id, std::uint32_t tasks) {
        auto spec = makeJob(id, tasks, 14, JobKind::gang);
        spec.gpus = 2;
        spec.singleZone = true;
        spec.priority = protocol::Priority::high;
        harness.submitJob(spec);
    };
    gang("wk-1", 1);
    gang("wk-2", 1);
    for (const char* id : {"m1", "m2", "m3"}) {
        machines[id];
        for (const auto& name : harness.heartbeat(id))
            machines[id].push_back(harness.taskStatus(name, TaskState::running));
    }
    ASSERT_TRUE(machines["m3"].empty());
    gang("wk-3", 3);  // the tasks on the other two machines never end
    EXPECT_EQ(secondsUntilStartWhileOthersRun(harness, "wk-3", machines), 150);
    gang("wk-4", 1);
    EXPECT_LT(secondsUntilStartWhileOthersRun(harness, "wk-4", machines), 80);
}
