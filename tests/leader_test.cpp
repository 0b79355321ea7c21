#include "coordination/leader.h"

#include <gtest/gtest.h>

#include "coordination/node.h"

using namespace burlpoint;
using namespace burlpoint::coordination;
using namespace std::chrono_literals;
using protocol::JobSpec;
using protocol::Kind;
using protocol::Op;
using protocol::TaskReport;
using protocol::TaskState;

namespace {

/// One leader with hand-made reports. Machines are rostered and heard unless a test says otherwise.
struct Bench {
    protocol::Settings settings;
    protocol::Policy policy;
    bookkeeping::Mirror mirror;
    Time now{1000s};
    std::unique_ptr<Leader> leader;
    std::map<std::string, std::uint64_t> sequences;
    std::uint64_t revision = 10;

    Bench() {
        settings.name = "one";
        settings.zones = {"z", "y"};
        settings.teams = {{"t", 0, 0, 0, 0}, {"limited", 0, 8, 0, 0}};
        settings.report = protocol::Seconds(2);
        settings.lease = protocol::Seconds(20);
        mirror.types = {{"plain", 8, 0, 32, 50, 1, 1, 0.3, protocol::Seconds(10), {"z", "y"}},
                        {"gpu", 16, 2, 64, 50, 1, 8, 3, protocol::Seconds(30), {"z", "y"}}};
        mirror.token = 5;
        mirror.tokenVersion = 5;
    }
    void roster(const std::string& id, const std::string& type = "plain", const std::string& zone = "z") {
        mirror.roster[id] = {{id, type, zone, false}, ++revision};
    }
    void lead() { leader = std::make_unique<Leader>(settings, policy, mirror, 5, now, 0); }

    void job(JobSpec spec) {
        const auto value = storage::encodeJob({spec, storage::Final::open, 0, 0, storage::chunkTasks(8)});
        const auto handle = protocol::unpackBody(value);
        std::vector<bookkeeping::Change> changes;
        mirror.apply({storage::keys::job(spec.id), &handle.get(), ++revision}, changes);
        if (leader) tell(JobsChanged{{spec.id}});
    }
    std::vector<Action> tell(Command command) { return leader->handle(std::move(command), now); }
    std::vector<Action> tick(Clock::duration step = 200ms) {
        now += step;
        return tell(Tick{});
    }
    protocol::Report message(const std::string& id, std::vector<TaskReport> tasks, std::uint64_t token) {
        const auto& machine = mirror.roster.at(id).record;
        return {id, id, machine.type, machine.zone, false, 1, ++sequences[id], token, {}, std::move(tasks)};
    }
    /// The starts in the response to a report, as "job/task".
    std::vector<std::string> report(const std::string& id, std::vector<TaskReport> tasks = {},
                                    std::uint64_t token = 5) {
        now += 200ms;
        std::vector<std::string> starts;
        for (const auto& action : tell(ReportArrived{1, message(id, std::move(tasks), token)}))
            if (const auto* answer = std::get_if<AnswerReport>(&action))
                for (const auto& order : answer->orders)
                    if (order.op == Op::start) {
                        starts.push_back(order.attempt.job + "/" + std::to_string(order.attempt.task));
                        last[starts.back()] = order.attempt;
                    }
        return starts;
    }
    TaskReport task(const std::string& name, TaskState state) const {
        return {last.at(name), state, protocol::ExitReason::none, false};
    }
    std::map<std::string, protocol::Attempt> last;
};

JobSpec make(const std::string& id, std::uint32_t tasks, double cpus, Kind kind = Kind::array) {
    JobSpec s;
    s.id = id;
    s.jobClass = s.image = "c";
    s.team = "t";
    s.tasks = tasks;
    s.cpus = cpus;
    s.kind = kind;
    s.estimate = protocol::Seconds(30);
    if (kind == Kind::service) s.priority = protocol::Priority::production;
    return s;
}

using Names = std::vector<std::string>;

}  // namespace

// A direct command's reply may overtake a start that is still on its way in a report's response.
TEST(Leader, OnlyANewerReportSettlesAStart) {
    Bench b;
    b.roster("m1");
    b.roster("m2");
    b.lead();
    b.job(make("wk-1", 1, 4));
    ASSERT_EQ(b.report("m1"), Names{"wk-1/0"});
    b.report("m2");
    b.tell(WorkerAnswered{"m1", b.message("m1", {}, 5), {}});
    EXPECT_EQ(b.report("m2"), Names{});
    EXPECT_EQ(b.report("m1"),
              Names{"wk-1/0"});  // without the task, in a report: the response never got there
}

TEST(Leader, AnUnheardMachineBlocksOnlyWhatItCouldHold) {
    Bench b;
    b.roster("m1");
    b.roster("m2", "gpu");
    auto old = make("wk-1", 1, 2), plain = make("wk-2", 1, 2);
    plain.types = Names{"plain"};
    b.job(old);
    b.job(plain);
    b.lead();
    EXPECT_EQ(b.report("m1"), Names{"wk-2/0"});  // wk-1/0 may be on m2
    b.job(make("wk-3", 1, 2));
    EXPECT_EQ(b.report("m1", {b.task("wk-2/0", TaskState::running)}), Names{"wk-3/0"});  // accepted since
    b.now += 25s;                                                                        // m2's lease is over
    b.tick();
    const auto starts =
        b.report("m1", {b.task("wk-2/0", TaskState::running), b.task("wk-3/0", TaskState::running)});
    EXPECT_EQ(starts, Names{"wk-1/0"});
}

TEST(Leader, AReportWithAnOldTokenGetsNoStarts) {
    Bench b;
    b.roster("m1");
    b.lead();
    b.job(make("wk-1", 1, 2));
    EXPECT_EQ(b.report("m1", {}, 4), Names{});
    EXPECT_EQ(b.report("m1", {}, 5), Names{"wk-1/0"});
}

TEST(Leader, AHigherTokenEndsTheLeadership) {
    Bench b;
    b.roster("m1");
    b.lead();
    bool resigned = false, accepted = true;
    for (const auto& action : b.tell(ReportArrived{1, b.message("m1", {}, 6)})) {
        resigned |= std::holds_alternative<Resign>(action);
        if (const auto* answer = std::get_if<AnswerReport>(&action)) accepted = answer->accepted;
    }
    EXPECT_TRUE(resigned);
    EXPECT_FALSE(accepted);
}

// Seen on a simulated day: replicas took the processors of all machines with accelerators for good.
TEST(Leader, ReplicasLeaveAcceleratorsToTheJobsThatNeedThem) {
    Bench b;
    b.roster("m1", "gpu");
    b.lead();
    b.job(make("wk-1", 2, 4, Kind::service));
    EXPECT_EQ(b.report("m1"), Names{});
    auto gang = make("wk-2", 1, 14, Kind::gang);
    gang.gpus = 2;
    gang.priority = protocol::Priority::high;
    b.job(gang);
    EXPECT_EQ(b.report("m1"), Names{"wk-2/0"});
    b.now += 15s;
    EXPECT_EQ(b.report("m1", {b.task("wk-2/0", TaskState::running)}), Names{});  // 2 processors are left
}

// Seen on a simulated day: replicas started at once, and late, on machines without their image.
TEST(Leader, ShortWaitAimsGoWhereTheImageIs) {
    Bench b;
    b.settings.objectives = {{"wait", "service", protocol::Seconds(3), 0.9}};
    b.roster("m1");
    b.roster("m2");
    b.lead();
    auto array = make("wk-1", 8, 1);
    b.job(array);
    const auto filled = b.report("m1");
    ASSERT_EQ(filled.size(), 8u);
    std::vector<TaskReport> running;
    for (const auto& name : filled) running.push_back(b.task(name, TaskState::running));
    b.report("m1", running);
    b.report("m2");
    auto service = make("wk-2", 1, 2, Kind::service);
    service.jobClass = "service";
    b.job(service);
    EXPECT_EQ(b.report("m2"), Names{});  // free, but it would have to fetch
    std::size_t stops = 0;
    for (int i = 0; i < 3; ++i)
        for (const auto& action : b.tick())
            if (const auto* direct = std::get_if<SendOrders>(&action)) {
                EXPECT_EQ(direct->machine, "m1");
                stops = std::max(stops, direct->orders.size());
            }
    EXPECT_EQ(stops, 2u);
    running.erase(running.begin(), running.begin() + 2);
    EXPECT_EQ(b.report("m1", running), Names{"wk-2/0"});
}

// Seen on a simulated day: a quarter of all starts were stopped again for jobs that could have waited a
// little.
TEST(Leader, FreedRoomIsKeptForAHighJobBeforeAnythingIsStopped) {
    Bench b;
    b.settings.objectives = {{"wait", "high", protocol::Seconds(20), 0.9}};
    b.roster("m1");
    b.lead();
    b.job(make("wk-1", 20, 1));
    auto names = b.report("m1");
    ASSERT_EQ(names.size(), 8u);
    std::vector<TaskReport> running;
    for (const auto& name : names) running.push_back(b.task(name, TaskState::running));
    auto high = make("wk-2", 1, 2);
    high.jobClass = "high";
    high.priority = protocol::Priority::high;
    b.job(high);
    EXPECT_EQ(b.report("m1", running), Names{});
    for (const auto& action : b.tick()) EXPECT_FALSE(std::holds_alternative<SendOrders>(action));
    running.pop_back();
    EXPECT_EQ(b.report("m1", running), Names{});  // one processor free, and not refilled
    running.pop_back();
    EXPECT_EQ(b.report("m1", running), Names{"wk-2/0"});
}

TEST(Leader, WhereDeadlinesCountTheShortestGoesFirstAndTheLateLast) {
    Bench b;
    b.roster("m1");
    b.lead();
    auto late = make("wk-1", 1, 8), big = make("wk-2", 9, 8), small = make("wk-3", 1, 8);
    late.deadline = protocol::Seconds(5);
    big.deadline = small.deadline = protocol::Seconds(900);
    for (const auto& spec : {late, big, small}) b.job(spec);
    EXPECT_EQ(b.report("m1"), Names{"wk-3/0"});
    EXPECT_EQ(b.report("m1", {{b.last.at("wk-3/0"), TaskState::exited, protocol::ExitReason::done, false}}),
              Names{"wk-2/0"});
}

TEST(Leader, TeamLimitsCountStartsNobodyHasConfirmed) {
    Bench b;
    b.roster("m1");
    b.roster("m2");
    b.lead();
    auto spec = make("wk-1", 4, 4);
    spec.team = "limited";
    b.job(spec);
    EXPECT_EQ(b.report("m1").size(), 0u);  // m2, not heard yet, may be full of the team's tasks
    b.report("m2", {}, 4);
    b.tell(WorkerAnswered{"m2", b.message("m2", {}, 5), {}});
    EXPECT_EQ(b.report("m1").size(), 2u);
    EXPECT_EQ(b.report("m2").size(), 0u);
}

TEST(Leader, AMachineWithoutARosterEntryGetsNoTasks) {
    Bench b;
    b.lead();
    b.job(make("wk-1", 1, 2));
    protocol::Report report{"m9", "m9", "plain", "z", false, 1, 1, 5, {}, {}};
    WriteState written;
    for (const auto& action : b.tell(ReportArrived{1, report})) {
        if (const auto* answer = std::get_if<AnswerReport>(&action)) {
            EXPECT_TRUE(answer->orders.empty());
        }
        if (const auto* write = std::get_if<WriteState>(&action)) written = *write;
    }
    ASSERT_EQ(written.writes.size(), 1u);
    EXPECT_EQ(written.writes[0].key, storage::keys::machine("m9"));
    EXPECT_EQ(written.conditions.at(0).key, storage::keys::kToken);
    storage::TxnResult applied;
    applied.status = storage::TxnStatus::applied;
    applied.revision = 77;
    b.tell(StateWritten{applied});
    b.sequences["m9"] = 1;
    EXPECT_EQ(b.report("m9"), Names{"wk-1/0"});
}

// A machine that fails the tasks of different jobs is kept out of use; a job that fails everywhere is not
// taken for a fault of the machines.
TEST(Leader, FaultyMachinesAndFaultyJobsAreToldApart) {
    Bench b;
    for (const char* id : {"m1", "m2", "m3", "m4", "m5"}) b.roster(id);
    b.lead();
    for (const char* id : {"m1", "m2", "m3", "m4", "m5"}) b.report(id);
    b.job(make("wk-1", 1, 8));
    int machines = 0;
    for (const char* id : {"m1", "m2", "m3", "m4", "m5"}) {
        if (b.report(id) != Names{"wk-1/0"}) continue;
        ++machines;
        b.report(id, {{b.last.at("wk-1/0"), TaskState::exited, protocol::ExitReason::error, false}});
    }
    EXPECT_EQ(machines, 3);  // then it waits
    b.job(make("wk-2", 1, 8));
    EXPECT_EQ(b.report("m1"), Names{"wk-2/0"});
    b.report("m1", {{b.last.at("wk-2/0"), TaskState::exited, protocol::ExitReason::error, false}});
    EXPECT_EQ(b.report("m1"), Names{});  // two jobs have failed on it
}
