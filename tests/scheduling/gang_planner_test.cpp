#include "coordination/scheduling/gang_planner.h"

#include <gtest/gtest.h>

#include <functional>

#include "scheduling/placement_fixture.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using namespace std::chrono_literals;
using bookkeeping::PlacementState;
using bookkeeping::RegistrationState;

namespace {

class GangPlannerTest : public PlacementFixture {
  protected:
    /// A gang of four tasks of four processors each. A plain machine has capacity for two of them.
    protocol::JobSpec gang(const std::string& id = "wk-103") const {
        auto jobSpec = spec(id, JobKind::gang);
        jobSpec.cpus = 4;
        return jobSpec;
    }
    void plan() {
        now += 200ms;
        refresh();
        gangPlanner.plan(now);
    }
    /// The machines with placements of the gang, as "machine:tasks".
    std::vector<std::string> placed(const Job& job) const {
        std::vector<std::string> found;
        for (const auto& [id, tasks] : job.run->machines) found.push_back(id + ":" + std::to_string(tasks));
        return found;
    }
};

using Names = std::vector<std::string>;

}  // namespace

TEST_F(GangPlannerTest, GangIsPlannedWholeOrNotAtAll) {
    auto& job = accept(gang());
    machine("m1");
    plan();
    EXPECT_EQ(placed(job), Names{});
    machine("m2");
    plan();
    EXPECT_EQ(placed(job), (Names{"m1:2", "m2:2"}));
    for (const auto& [at, placement] : fleet.placementsOf(job)) {
        EXPECT_EQ(placement->state, PlacementState::planned);
        EXPECT_EQ(placement->attempt, job.run->gangAttempt);
    }
}

TEST_F(GangPlannerTest, SingleZoneGangIsNotSplitOverZones) {
    auto restricted = gang();
    restricted.singleZone = true;
    auto& job = accept(restricted);
    machine("m1", "a");
    machine("m2", "b");
    plan();
    EXPECT_EQ(placed(job), Names{});
    machine("m3", "b");
    plan();
    EXPECT_EQ(placed(job), (Names{"m2:2", "m3:2"}));
}

TEST_F(GangPlannerTest, SpreadGangHasHalfOfItsTasksInEachZone) {
    auto spread = gang();
    spread.spreadZones = true;
    auto& job = accept(spread);
    machine("m1", "a");
    machine("m2", "a");
    plan();
    EXPECT_EQ(placed(job), Names{});
    machine("m3", "b");
    plan();
    EXPECT_EQ(job.run->zones, (std::map<std::string, std::uint32_t>{{"a", 2}, {"b", 2}}));
}

TEST_F(GangPlannerTest, MachinesWithTheImageArePreferredIfTheyTakeTheWholeGang) {
    auto& job = accept(gang());
    for (const char* id : {"m1", "m2", "m3", "m4"}) machine(id);
    for (const char* id : {"m2", "m4"}) addCachedImage(*fleet.find(id), job);
    plan();
    EXPECT_EQ(placed(job), (Names{"m2:2", "m4:2"}));
}

TEST_F(GangPlannerTest, SpotMachineIsTheLastChoice) {
    auto onSpot = gang();
    onSpot.spot = true;
    auto& job = accept(onSpot);
    machine("m1").spot = true;
    machine("m2");
    machine("m3");
    plan();
    EXPECT_EQ(placed(job), (Names{"m2:2", "m3:2"}));
}

TEST_F(GangPlannerTest, SpotMachinesAreChosenIfOnlyTheyTakeTheWholeGangWithoutAFetch) {
    auto onSpot = gang();
    onSpot.spot = true;
    auto& job = accept(onSpot);
    for (const char* id : {"m1", "m2", "m3", "m4"}) machine(id);
    for (const char* id : {"m3", "m4"}) {
        fleet.find(id)->spot = true;
        addCachedImage(*fleet.find(id), job);
    }
    plan();
    EXPECT_EQ(placed(job), (Names{"m3:2", "m4:2"}));
}

TEST_F(GangPlannerTest, MachineReservedForTheGangIsTheFirstChoice) {
    auto& job = accept(gang());
    for (const char* id : {"m1", "m2", "m3"}) machine(id);
    fleet.reserve(*fleet.find("m3"), job, now + 10s);
    plan();
    EXPECT_EQ(placed(job), (Names{"m1:2", "m3:2"}));
    EXPECT_EQ(fleet.find("m3")->reservation.job, nullptr);
}

TEST_F(GangPlannerTest, LostTaskIsReplacedUnderTheSameAttemptBeforeTheGangBegins) {
    auto& job = accept(gang());
    for (const char* id : {"m1", "m2"}) machine(id);
    plan();
    const auto attempt = job.run->gangAttempt;
    auto& lost = *fleet.find("m1");
    fleet.remove(lost, lost.placements.begin());
    job.run->machinesWithEndedTasks.insert("m1");
    machine("m3");
    plan();
    EXPECT_EQ(job.run->waiting, 0u);
    EXPECT_EQ(job.run->gangAttempt, attempt);
    EXPECT_EQ(placed(job), (Names{"m1:1", "m2:2", "m3:1"}));
}

TEST_F(GangPlannerTest, GangThatBeganOrWaitedTooLongTakesNoReplacement) {
    auto& job = accept(gang());
    auto& host = machine("m1");
    job.run->gangAttempt = 1;
    fleet.place(host, job, 0, 1, PlacementState::waiting, now);
    fleet.place(host, job, 1, 1, PlacementState::waiting, now);
    EXPECT_TRUE(gangPlanner.mayComplete(job, now));
    EXPECT_FALSE(gangPlanner.mayComplete(job, now + 13s));  // the other tasks have waited too long
    fleet.place(host, job, 2, 1, PlacementState::running, now);
    EXPECT_FALSE(gangPlanner.mayComplete(job, now));
}

// Guards against a gang that waits without end beside room for it: its tasks were planned on a machine that
// was sent no start any more, for whichever reason, and the plan was kept.
TEST_F(GangPlannerTest, MachineThatIsSentNoStartsThenItsPlannedTasksMoveToAnother) {
    const std::vector<std::pair<std::string, std::function<void(Machine&)>>> reasons{
        {"faulty",
         [&](Machine& m) {
             for (const char* id : {"wk-1", "wk-2"}) m.history.failures.record(id, now);
         }},
        {"draining", [](Machine& m) { m.cloud.draining = true; }},
        {"interruption notice", [&](Machine& m) { m.cloud.interruptionAt = now + 10s; }},
        {"deletion requested", [](Machine& m) { m.cloud.deletionRequested = true; }},
        {"failed", [](Machine& m) { m.cloud.failed = true; }},
        {"unreachable", [&](Machine& m) { m.agent.unreachableSince = now; }},
        {"refuses starts", [&](Machine& m) { m.history.startBackoffUntil = now + 2s; }},
        {"lease expired", [](Machine& m) { m.lease.active = false; }},
        {"not registered", [&](Machine& m) { fleet.setRegistration(m, RegistrationState::absent); }},
        {"silent", [&](Machine&) { now += 5s; }},
    };
    for (std::size_t i = 0; i < reasons.size(); ++i) {
        const auto& [reason, change] = reasons[i];
        const auto number = std::to_string(i);
        auto small = gang("wk-10" + number);
        small.tasks = 2;
        auto& job = accept(small);
        auto& first = machine("first" + number);
        plan();
        ASSERT_EQ(placed(job), Names{first.id + ":2"}) << reason;
        change(first);
        auto& second = machine("second" + number);
        plan();  // withdraws the tasks
        plan();
        EXPECT_EQ(placed(job), Names{second.id + ":2"}) << reason;
        EXPECT_TRUE(first.placements.empty()) << reason;
        for (auto& [key, placement] : second.placements)
            fleet.setState(placement, PlacementState::running, now);
        first.cloud.failed = true;  // it is not used for the next reason
    }
}

TEST_F(GangPlannerTest, PlannedTaskWhoseGangHasStartedInPartMovesUnderTheSameAttempt) {
    auto& job = accept(gang());
    auto& started = machine("m1");
    auto& unusable = machine("m2");
    plan();
    const auto attempt = job.run->gangAttempt;
    for (auto& [key, placement] : started.placements)
        fleet.setState(placement, PlacementState::fetching, now);
    unusable.cloud.draining = true;
    machine("m3");
    plan();  // withdraws the tasks
    plan();
    EXPECT_EQ(placed(job), (Names{"m1:2", "m3:2"}));
    EXPECT_EQ(job.run->gangAttempt, attempt);
    for (const auto& [at, placement] : fleet.placementsOf(job)) EXPECT_EQ(placement->attempt, attempt);
}

TEST_F(GangPlannerTest, GangIsNotPlannedOnSilentMachine) {
    auto& job = accept(gang());
    for (const char* id : {"m1", "m2"}) machine(id);
    now += 5s;
    plan();
    EXPECT_EQ(placed(job), Names{});
    for (const char* id : {"m1", "m2"}) fleet.find(id)->lease.lastHeartbeat = now;
    plan();
    EXPECT_EQ(placed(job), (Names{"m1:2", "m2:2"}));
}
