// Where a leader places tasks, and what it stops for others.
#include <gtest/gtest.h>

#include <set>

#include "leader_harness.h"

using namespace burlpoint;
using namespace burlpoint::tests;

// Seen on a simulated day: replicas took the processors of all machines with accelerators for good.
TEST(Leader, ReplicasLeaveAcceleratorsToTheJobsThatNeedThem) {
    LeaderHarness harness;
    harness.roster("m1", "gpu");
    harness.lead();
    harness.job(make("wk-1", 2, 4, Kind::service));
    EXPECT_EQ(harness.report("m1"), Names{});
    auto gang = make("wk-2", 1, 14, Kind::gang);
    gang.gpus = 2;
    gang.priority = protocol::Priority::high;
    harness.job(gang);
    EXPECT_EQ(harness.report("m1"), Names{"wk-2/0"});
    harness.now += 15s;
    EXPECT_EQ(harness.report("m1", {harness.task("wk-2/0", TaskState::running)}),
              Names{});  // 2 processors are left
}

// Seen on a simulated day: replicas started at once, and late, on machines without their image.
TEST(Leader, ShortWaitAimsGoWhereTheImageIs) {
    LeaderHarness harness;
    harness.settings.objectives = {{"wait", "service", protocol::Seconds(3), 0.9}};
    harness.roster("m1");
    harness.roster("m2");
    harness.lead();
    auto array = make("wk-1", 8, 1);
    harness.job(array);
    const auto filled = harness.report("m1");
    ASSERT_EQ(filled.size(), 8u);
    std::vector<TaskReport> running;
    running.reserve(filled.size());
    for (const auto& name : filled) running.push_back(harness.task(name, TaskState::running));
    harness.report("m1", running);
    harness.report("m2");
    auto service = make("wk-2", 1, 2, Kind::service);
    service.jobClass = "service";
    harness.job(service);
    EXPECT_EQ(harness.report("m2"), Names{});  // free, but it would have to fetch
    std::size_t stops = 0;
    for (int i = 0; i < 3; ++i)
        for (const auto& action : harness.tick())
            if (const auto* direct = std::get_if<SendOrders>(&action)) {
                EXPECT_EQ(direct->machine, "m1");
                stops = std::max(stops, direct->orders.size());
            }
    EXPECT_EQ(stops, 2u);
    running.erase(running.begin(), running.begin() + 2);
    EXPECT_EQ(harness.report("m1", running), Names{"wk-2/0"});
}

// Seen on a simulated day: a quarter of all starts were stopped again for jobs that could have waited a
// little.
TEST(Leader, FreedRoomIsKeptForAHighJobBeforeAnythingIsStopped) {
    LeaderHarness harness;
    harness.settings.objectives = {{"wait", "high", protocol::Seconds(20), 0.9}};
    harness.roster("m1");
    harness.lead();
    harness.job(make("wk-1", 20, 1));
    auto names = harness.report("m1");
    ASSERT_EQ(names.size(), 8u);
    std::vector<TaskReport> running;
    running.reserve(names.size());
    for (const auto& name : names) running.push_back(harness.task(name, TaskState::running));
    auto high = make("wk-2", 1, 2);
    high.jobClass = "high";
    high.priority = protocol::Priority::high;
    harness.job(high);
    EXPECT_EQ(harness.report("m1", running), Names{});
    for (const auto& action : harness.tick()) EXPECT_FALSE(std::holds_alternative<SendOrders>(action));
    running.pop_back();
    EXPECT_EQ(harness.report("m1", running), Names{});  // one processor free, and not refilled
    running.pop_back();
    EXPECT_EQ(harness.report("m1", running), Names{"wk-2/0"});
}

TEST(Leader, WhereDeadlinesCountTheShortestGoesFirstAndTheLateLast) {
    LeaderHarness harness;
    harness.roster("m1");
    harness.lead();
    auto late = make("wk-1", 1, 8), big = make("wk-2", 9, 8), small = make("wk-3", 1, 8);
    late.deadline = protocol::Seconds(5);
    big.deadline = small.deadline = protocol::Seconds(900);
    for (const auto& spec : {late, big, small}) harness.job(spec);
    EXPECT_EQ(harness.report("m1"), Names{"wk-3/0"});
    EXPECT_EQ(harness.report(
                  "m1", {{harness.last.at("wk-3/0"), TaskState::exited, protocol::ExitReason::done, false}}),
              Names{"wk-2/0"});
}

TEST(Leader, TeamLimitsCountStartsNobodyHasConfirmed) {
    LeaderHarness harness;
    harness.roster("m1");
    harness.roster("m2");
    harness.lead();
    auto spec = make("wk-1", 4, 4);
    spec.team = "limited";
    harness.job(spec);
    EXPECT_EQ(harness.report("m1").size(), 0u);  // m2, not heard yet, may be full of the team's tasks
    harness.report("m2", {}, 4);
    harness.tell(WorkerAnswered{"m2", harness.message("m2", {}, 5), {}});
    EXPECT_EQ(harness.report("m1").size(), 2u);
    EXPECT_EQ(harness.report("m2").size(), 0u);
}

// A machine that fails the tasks of different jobs is kept out of use; a job that fails everywhere is not
// taken for a fault of the machines.
TEST(Leader, FaultyMachinesAndFaultyJobsAreToldApart) {
    LeaderHarness harness;
    for (const char* id : {"m1", "m2", "m3", "m4", "m5"}) harness.roster(id);
    harness.lead();
    for (const char* id : {"m1", "m2", "m3", "m4", "m5"}) harness.report(id);
    harness.job(make("wk-1", 1, 8));
    int machines = 0;
    for (const char* id : {"m1", "m2", "m3", "m4", "m5"}) {
        if (harness.report(id) != Names{"wk-1/0"}) continue;
        ++machines;
        harness.report(id,
                       {{harness.last.at("wk-1/0"), TaskState::exited, protocol::ExitReason::error, false}});
    }
    EXPECT_EQ(machines, 3);  // then it waits
    harness.job(make("wk-2", 1, 8));
    EXPECT_EQ(harness.report("m1"), Names{"wk-2/0"});
    harness.report("m1",
                   {{harness.last.at("wk-2/0"), TaskState::exited, protocol::ExitReason::error, false}});
    EXPECT_EQ(harness.report("m1"), Names{});  // two jobs have failed on it
}

// What a report costs must not grow with the fleet: the machines looked at per report are counted.
TEST(Leader, AReportCostsNoMoreInALargerFleet) {
    const auto visitsPerReport = [](int fleet) {
        LeaderHarness harness;
        std::vector<std::string> machines;
        for (int i = 0; i < fleet; ++i) {
            machines.push_back("m" + std::to_string(i));
            harness.roster(machines.back());
        }
        harness.lead();
        for (int i = 0; i < 20; ++i) {
            // The first ten fill the machines and leave their images there, the others wait.
            const auto tasks = static_cast<std::uint32_t>(i < 10 ? fleet / 5 : 2000);
            auto spec = make("wk-" + std::to_string(i), tasks, 1, i % 2 ? Kind::array : Kind::service);
            spec.image = "image-" + std::to_string(i % 5);
            spec.memoryGb = 16;  // machines are full with processors to spare
            harness.job(spec);
        }
        std::uint64_t before = 0, reports = 0;
        for (int round = 0; round < 4; ++round) {  // every machine reports once in two seconds
            if (round == 1) before = harness.leader->machineLookups();
            for (const auto& id : machines) {
                std::vector<TaskReport> tasks;
                for (const auto& [key, place] : harness.leader->fleet().machines().at(id)->placements)
                    tasks.push_back({{key.job->spec.id, key.task, key.attempt},
                                     TaskState::running,
                                     protocol::ExitReason::none,
                                     false});
                harness.now += std::chrono::duration_cast<Clock::duration>(protocol::Seconds(2.0 / fleet));
                harness.tell(ReportArrived{1, harness.message(id, tasks, 5)});
                reports += round > 0;
            }
        }
        return static_cast<double>(harness.leader->machineLookups() - before) / static_cast<double>(reports);
    };
    const auto few = visitsPerReport(40), many = visitsPerReport(400);
    EXPECT_LT(many, few * 1.5 + 20);
}

// A spot notice for one machine: a gang's save needs all its tasks told together.
TEST(Leader, ANoticeStopsAGangAsAWhole) {
    LeaderHarness harness;
    harness.roster("m1", "gpu");
    harness.roster("m2", "gpu");
    harness.lead();
    harness.report("m1");
    harness.report("m2");
    auto spec = make("wk-1", 2, 14, Kind::gang);
    spec.gpus = 2;
    spec.checkpoint = protocol::Seconds(20);
    spec.save = protocol::Seconds(4);
    harness.job(spec);
    harness.tick();
    harness.tick();
    ASSERT_EQ(harness.report("m1").size() + harness.report("m2").size(), 2u);
    std::map<std::string, protocol::Attempt> on;
    for (const auto& [id, m] : harness.leader->fleet().machines())
        for (const auto& [key, place] : m->placements) on[id] = {"wk-1", key.task, key.attempt};
    for (const auto& [id, attempt] : on) harness.report(id, {{attempt, TaskState::running, {}, false}});
    auto notice = harness.message("m1", {{on.at("m1"), TaskState::running, {}, false}}, 5);
    notice.notice = protocol::Seconds(15);
    std::set<std::string> stopped;
    for (const auto& action : harness.tell(ReportArrived{1, notice})) {
        if (const auto* answer = std::get_if<AnswerReport>(&action))
            for (const auto& order : answer->orders)
                if (order.op == Op::stop) stopped.insert("m1");
        if (const auto* direct = std::get_if<SendOrders>(&action))
            for (const auto& order : direct->orders) {
                EXPECT_EQ(order.grace, spec.save);
                stopped.insert(direct->machine);
            }
    }
    EXPECT_EQ(stopped, (std::set<std::string>{"m1", "m2"}));
}

// Seen on a simulated day: guaranteed tasks of low priority took the room that others had been stopped for,
// and were stopped in turn, over and over.
TEST(Leader, RoomThatWorkWasStoppedForIsNotTakenByOtherWorkOfNoHigherPriority) {
    LeaderHarness harness;
    harness.settings.teams.push_back({"guaranteed", 100, 0, 0, 0});
    harness.roster("m1", "gpu");
    harness.roster("m2", "gpu");
    harness.lead();
    std::map<std::string, std::vector<TaskReport>> running;
    const auto fill = [&](const std::string& id) {
        for (const auto& name : harness.report(id, running[id]))
            running[id].push_back(harness.task(name, TaskState::running));
    };
    harness.job(make("wk-1", 40, 1));
    fill("m1");
    fill("m2");
    ASSERT_EQ(running["m1"].size() + running["m2"].size(), 32u);
    auto gang = make("wk-2", 2, 14, Kind::gang);
    gang.gpus = 2;
    gang.priority = protocol::Priority::high;
    harness.job(gang);
    auto other = make("wk-3", 40, 1);
    other.team = "guaranteed";
    harness.job(other);
    for (int i = 0; i < 5; ++i) harness.tick();
    for (const char* id : {"m1", "m2"}) {
        running[id].resize(2);  // the others have stopped
        for (const auto& name : harness.report(id, running[id]))
            EXPECT_FALSE(name.starts_with("wk-3")) << name;
    }
    harness.tick();
    harness.tick();
    EXPECT_EQ(harness.report("m1", running["m1"]).size() + harness.report("m2", running["m2"]).size(),
              2u);  // the gang
}
