// No job waits without end: neither behind other jobs nor beside capacity that it fits in.
#include <gtest/gtest.h>

#include <set>

#include "base/clock.h"
#include "controller/leader_harness.h"

using namespace burlpoint;
using namespace burlpoint::tests;

namespace {

/// Plays workers that run every task for a while; returns when the job's first task started, in seconds.
double beginsAfter(LeaderHarness& harness, const std::vector<std::string>& machines, const std::string& job,
                   const std::function<void(int second)>& arrive, int most = 300) {
    std::map<std::string, std::map<protocol::Attempt, int>> running;
    for (int second = 0; second < most; ++second) {
        arrive(second);
        harness.tell(Tick{});
        for (const auto& id : machines) {
            std::vector<TaskStatus> tasks;
            for (auto& [attempt, left] : running[id])
                tasks.push_back({attempt, left-- > 0 ? TaskState::running : TaskState::exited,
                                 left >= 0 ? protocol::ExitReason::none : protocol::ExitReason::done, false});
            std::erase_if(running[id], [](const auto& entry) { return entry.second < 0; });
            std::vector<Action> actions = harness.tell(HeartbeatReceived{1, harness.message(id, tasks, 5)});
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
    return most;
}

}  // namespace

// Under a lasting overload of small jobs with deadlines a large job never started, nor did a gang whose
// machines went to smaller gangs as they came free.
TEST(Leader, LastingOverloadThenEveryJobStartsInTheEnd) {
    LeaderHarness harness;
    const std::vector<std::string> machines{"m1", "m2", "m3"};
    for (const auto& id : machines) harness.registerMachine(id);
    harness.lead();
    int number = 10;
    const auto small = [&](int) {
        for (int i = 0; i < 2; ++i) {
            auto spec = make("wk-" + std::to_string(number++), 2, 4);
            spec.deadline = Seconds(200);
            harness.job(spec);
        }
    };
    small(0);
    auto large = make("wk-1", 900, 4);
    large.deadline = Seconds(60);
    harness.job(large);
    EXPECT_LT(beginsAfter(harness, machines, "wk-1", small), 180);
}

namespace {

/// A worker whose tasks of wk-1 never end by themselves, and those of any other job after 20 heartbeats.
struct BusyWorker {
    std::map<protocol::Attempt, int> running;  // heartbeats so far
    std::set<protocol::Attempt> stopped;       // and not in a heartbeat yet
    int longest = 0, stops = 0;                // of wk-1

    std::vector<TaskStatus> heartbeat() {
        std::vector<TaskStatus> tasks;
        for (const auto& attempt : stopped)
            tasks.push_back({attempt, TaskState::exited, protocol::ExitReason::stopped, false});
        stopped.clear();
        for (auto& [attempt, ran] : running) {
            const bool done = attempt.job != "wk-1" && ran >= 20;
            if (attempt.job == "wk-1") longest = std::max(longest, ran);
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

// Seen on a day of long tasks: a job that started after a long wait was the cheapest to preempt, and being
// preempted at once it lost its place among the overdue jobs. It then waited for 440 s.
TEST(Leader, StartPreemptedAtOnceThenJobStaysOverdue) {
    LeaderHarness harness;
    harness.registerMachine("m1");
    harness.lead();
    harness.job(make("wk-1", 2, 4));
    BusyWorker worker;
    int number = 10;
    for (int second = 0; second < 240; ++second) {
        if (second >= 5) {  // from then on there is more urgent work than capacity
            auto high = make("wk-" + std::to_string(number++), 1, 4);
            high.priority = protocol::Priority::high;
            harness.job(high);
        }
        for (int i = 0; i < 5; ++i) harness.tick();
        for (const auto& action :
             harness.tell(HeartbeatReceived{1, harness.message("m1", worker.heartbeat(), 5)}))
            if (const auto* answer = std::get_if<AnswerHeartbeat>(&action))
                for (const auto& command : answer->commands) worker.execute(command);
    }
    EXPECT_GE(worker.stops, 2);  // it was preempted while it was not overdue
    EXPECT_GE(worker.longest, 30);
    EXPECT_LT(worker.stops, 8);  // and was not preempted again and again after that
}

TEST(Leader, SmallerGangsCompeteThenLargeGangStartsInTheEnd) {
    LeaderHarness harness;
    const std::vector<std::string> machines{"m1", "m2", "m3", "m4"};
    for (const auto& id : machines) harness.registerMachine(id, "gpu");
    harness.lead();
    int number = 10;
    const auto gang = [&](const std::string& id, std::uint32_t tasks) {
        auto spec = make(id, tasks, 14, JobKind::gang);
        spec.gpus = 2;
        spec.singleZone = true;
        spec.priority = protocol::Priority::high;
        harness.job(spec);
    };
    const auto small = [&](int second) {
        if (second % 4 == 0) gang("wk-" + std::to_string(number++), 1);
    };
    for (int i = 0; i < 6; ++i) small(0);
    gang("wk-1", 4);
    EXPECT_LT(beginsAfter(harness, machines, "wk-1", small), 180);
}

// Seen on simulated days of a large fleet: the budget of machines scanned in a round was spent on two or
// three jobs, so each waiting job had its turn only every few seconds, replicas among them.
TEST(Leader, LargeFleetThenProductionIsServedInEveryRound) {
    LeaderHarness harness;
    std::vector<std::string> machines;
    for (int i = 0; i < 1500; ++i) {
        machines.push_back(std::string("m").append(std::to_string(i)));
        harness.registerMachine(machines.back());
    }
    harness.lead();
    harness.job(make("wk-1", 20'000, 1));
    for (const auto& id : machines) {
        harness.now -= 199ms;  // all heartbeats come within two seconds
        ASSERT_EQ(harness.heartbeat(id).size(), 8u);
    }
    for (int i = 2; i < 60; ++i) {
        auto high = make("wk-" + std::to_string(i), 4, 8);
        high.priority = protocol::Priority::high;
        harness.job(high);
    }
    for (int i = 0; i < 18; ++i) harness.tick();
    harness.job(make("wk-100", 2, 4, JobKind::service));
    int rounds = 0;
    const auto kept = [&] {
        return std::any_of(machines.begin(), machines.end(), [&](const auto& id) {
            const auto* holder = harness.leader->fleet().machines().at(id)->reservation.job;
            return holder && holder->spec.id == "wk-100";
        });
    };
    while (!kept() && rounds < 20) {
        harness.tick(250ms);
        ++rounds;
    }
    EXPECT_LE(rounds, 2);
}

// Seen on a simulated day: all demand went again and again to spot types with a recent capacity error.
TEST(Leader, CapacityErrorThenFewMachinesOfThatTypeAreRequested) {
    LeaderHarness harness;
    harness.settings.cloudRequestsPerSecond = 50;
    harness.lead();
    auto spec = make("wk-1", 400, 8);
    spec.spot = true;
    harness.job(spec);
    const auto asked = [&] {
        std::map<bool, std::uint32_t> count;
        for (int i = 0; i < 8; ++i)
            for (const auto& action : harness.tick())
                if (const auto* rent = std::get_if<ScaleOut>(&action)) {
                    count[rent->request.spot] += rent->request.count;
                    ScaleOutCompleted answer;
                    answer.name = rent->request.name;
                    answer.outcome = InstanceRequestOutcome::rejected;
                    harness.tell(answer);
                }
        return count;
    };
    EXPECT_GT(asked()[true], 100u);
    for (int i = 0; i < 10; ++i) {
        harness.now += 20s;  // the back-off after the capacity errors is over
        const auto some = asked()[true];
        if (i >= 5) {  // by then each type and zone was refused
            EXPECT_LE(some, 24u);
        }
    }
}

namespace {

/// Seconds until the job's first task starts on one of the machines, with everything else as it is.
double waits(LeaderHarness& harness, const std::string& job,
             const std::map<std::string, std::vector<TaskStatus>>& machines) {
    for (int second = 0; second < 150; ++second) {
        harness.now += 700ms;
        harness.tell(Tick{});
        for (const auto& [id, running] : machines)
            for (const auto& name : harness.heartbeat(id, running))
                if (name.starts_with(job + "/")) return second;
        harness.now += 300ms - 200ms * static_cast<int>(machines.size());
    }
    return 150;
}

}  // namespace

// Whatever the reason to keep capacity free, no job waits for 90 s beside capacity that it fits in.
TEST(Leader, JobConstrainedToAcceleratorMachinesThenStartsInTheEnd) {
    for (const bool needed : {false, true}) {
        LeaderHarness harness;
        harness.registerMachine("m1", "gpu");
        harness.lead();
        std::vector<TaskStatus> running;
        if (needed) {
            auto gang = make("wk-1", 1, 8, JobKind::gang);
            gang.gpus = 1;
            gang.priority = protocol::Priority::high;
            harness.job(gang);
            ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
            running.push_back(harness.task("wk-1/0", TaskState::running));
            gang.id = "wk-3";
            gang.cpus = 14;
            harness.job(gang);
        }
        auto plain = make("wk-2", 1, 4);
        plain.types = Names{"gpu"};
        plain.priority = protocol::Priority::high;
        harness.job(plain);
        EXPECT_LT(waits(harness, "wk-2", {{"m1", running}}), 80);
    }
}

// No machine was requested for an array whose owner constrained it to machines with accelerators although it
// needs none, so it never started, while an idle machine of that type was deleted.
TEST(Leader, ArrayConstrainedToMachineTypeThenScalesOut) {
    for (const bool small : {true, false}) {
        LeaderHarness harness;
        harness.lead();
        auto spec = make("wk-1", 1, small ? 4 : 12);  // the latter fits no machine without accelerators
        if (small) spec.types = Names{"gpu"};
        harness.job(spec);
        std::string type;
        for (int i = 0; i < 30; ++i)
            for (const auto& action : harness.tick())
                if (const auto* rent = std::get_if<ScaleOut>(&action)) type = rent->request.type;
        EXPECT_EQ(type, "gpu");
    }
}

// Such a job is kept off the machine for a while in favour of jobs that need accelerators, and still needs
// it: a machine deleted in the meantime would be requested and deleted again and again.
TEST(Leader, WaitingJobMayRunNowhereElseThenIdleMachineIsNotScaledIn) {
    LeaderHarness harness;
    harness.registerMachine("m1", "gpu");
    harness.lead();
    auto gang = make("wk-1", 1, 14, JobKind::gang);
    gang.gpus = 1;
    gang.priority = protocol::Priority::normal;
    harness.job(gang);
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    harness.heartbeat("m1",
                      {{harness.last.at("wk-1/0"), TaskState::exited, protocol::ExitReason::done, false}});
    auto plain = make("wk-2", 1, 4);
    plain.types = Names{"gpu"};
    plain.priority = protocol::Priority::high;
    harness.job(plain);
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
    harness.lead();
    harness.job(make("wk-1", 1, 4));
    ASSERT_EQ(harness.heartbeat("m1"), Names{"wk-1/0"});
    harness.heartbeat("m1",
                      {{harness.last.at("wk-1/0"), TaskState::exited, protocol::ExitReason::error, false}});
    EXPECT_LT(waits(harness, "wk-1", {{"m1", {}}}), 80);
}

TEST(Leader, ZoneReservedForGangThenOtherJobsStartThereInTheEnd) {
    LeaderHarness harness;
    harness.settings.zones = {"z"};
    std::map<std::string, std::vector<TaskStatus>> machines;
    for (const char* id : {"m1", "m2", "m3"}) harness.registerMachine(id, "gpu");
    harness.lead();
    const auto gang = [&](const std::string& id, std::uint32_t tasks) {
        auto spec = make(id, tasks, 14, JobKind::gang);
        spec.gpus = 2;
        spec.singleZone = true;
        spec.priority = protocol::Priority::high;
        harness.job(spec);
    };
    gang("wk-1", 1);
    gang("wk-2", 1);
    for (const char* id : {"m1", "m2", "m3"}) {
        machines[id];
        for (const auto& name : harness.heartbeat(id))
            machines[id].push_back(harness.task(name, TaskState::running));
    }
    ASSERT_TRUE(machines["m3"].empty());
    gang("wk-3", 3);  // the other two are busy for good
    EXPECT_EQ(waits(harness, "wk-3", machines), 150);
    gang("wk-4", 1);
    EXPECT_LT(waits(harness, "wk-4", machines), 80);
}
