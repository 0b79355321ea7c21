#include "coordination/autoscaling/autoscaler.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <set>

#include "base/clock.h"
#include "bookkeeping/machine_types.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;
using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::MachineTypes;
using coordination::Autoscaler;
using coordination::InstanceRequestOutcome;
using coordination::ScaleInOutcome;
using coordination::ScalingRequests;

namespace {

using Names = std::vector<std::string>;

}  // namespace

/// An autoscaler with a fleet that the tests build. There are no waiting jobs unless a test adds some.
struct AutoscalerTest : testing::Test {
    protocol::Settings settings;
    protocol::Policy policy;
    bookkeeping::StateReplica replica;
    Fleet fleet;
    MachineTypes types;
    Time now{1000s};
    std::vector<Job*> order;
    std::unique_ptr<Autoscaler> autoscaler;

    AutoscalerTest() {
        settings.zones = {"z"};
        settings.cloudRequestsPerSecond = 50;
        settings.cloudListLag = Seconds(10);
        policy.idleRetention = Seconds(10);
        policy.bootRetention = 0.8;
        policy.minRetention = Seconds(55);
        types["plain"] = {"plain", 8, 0, 32, 50, 1, 1, 0.3, Seconds(10), {"z"}};
        types["slow"] = {"slow", 8, 0, 32, 50, 1, 9, 3, Seconds(100), {"z"}};
        createAutoscaler();
    }
    void createAutoscaler() { autoscaler = std::make_unique<Autoscaler>(settings, policy, replica, 7, now); }
    Machine& machine(const std::string& id, const std::string& type = "plain") {
        auto& added = fleet.add(id, now);
        added.type = type;
        added.zone = types.at(type).zones.front();
        added.typeInfo = &types.at(type);
        added.agent.incarnation = 1;
        added.lease.active = true;
        added.lease.lastHeartbeat = now;
        added.lease.until = now + 30s;
        fleet.setReconciled(added, true);
        return added;
    }
    /// Makes the job a service whose replicas each fill a whole machine.
    void makeService(Job& job, std::string id, std::uint32_t tasks) const {
        job.spec.id = std::move(id);
        job.spec.kind = protocol::JobKind::service;
        job.spec.cpus = 8;
        job.spec.tasks = tasks;
        job.beginRun(bookkeeping::JobOrigin::accepted, now);
    }
    ScalingRequests decide(Clock::duration step = 1s) {
        now += step;
        const auto due = [](const Job&) { return Time{}; };
        return autoscaler->decide(fleet, types, {order, due}, now);
    }
    /// The machines in the scale-in request made after `step`, which is reported as carried out.
    Names scaleIn(Clock::duration step = 1s) {
        auto requests = decide(step);
        if (!requests.scaleIn.empty()) autoscaler->recordScaleInOutcome(ScaleInOutcome::deleted, now);
        return requests.scaleIn;
    }
};

TEST_F(AutoscalerTest, IdleMachineIsDeletedAfterMinimumKeepAndBootTimes) {
    machine("m1");
    machine("m2", "slow");
    EXPECT_EQ(scaleIn(55s), Names{});
    EXPECT_EQ(scaleIn(1ms), Names{"m1"});
    EXPECT_TRUE(fleet.find("m1")->cloud.deletionRequested);
    fleet.erase("m1");
    EXPECT_EQ(scaleIn(24s), Names{});  // m2 is kept for 80 s, 0.8 boot times, after its last task
    EXPECT_EQ(scaleIn(1s), Names{"m2"});
}

TEST_F(AutoscalerTest, RecentlyBusyMachineIsKept) {
    machine("m1").history.lastBusyAt = now + 100s;
    EXPECT_EQ(scaleIn(110s), Names{});
    EXPECT_EQ(scaleIn(1ms), Names{"m1"});
}

TEST_F(AutoscalerTest, NeededOrReservedMachineIsKept) {
    Job job;
    makeService(job, "wk-1", 1);
    order = {&job};
    machine("m1");
    auto& reserved = machine("m2");
    Job other;
    fleet.reserve(reserved, other, now + 90s);
    EXPECT_EQ(scaleIn(80s), Names{});
    EXPECT_EQ(scaleIn(10s), Names{"m2"});
    order.clear();
    EXPECT_EQ(scaleIn(), (Names{"m1", "m2"}));  // m2 is requested again, as it is still in the fleet
}

TEST_F(AutoscalerTest, FaultyDrainingAndFailedMachinesAreDeletedAtOnce) {
    machine("m1").cloud.draining = true;
    auto& faulty = machine("m2");
    for (const char* id : {"wk-1", "wk-2"}) faulty.history.failures.record(id, now);
    machine("m3").cloud.failed = true;
    machine("m4").history.failures.record("wk-1", now);
    EXPECT_EQ(scaleIn(), (Names{"m1", "m2", "m3"}));
}

TEST_F(AutoscalerTest, MachineThatMayHaveTasksIsKept) {
    machine("m1").cloud.draining = true;
    fleet.setReconciled(*fleet.find("m1"), false);
    EXPECT_EQ(scaleIn(200s), Names{});
    Job job;
    makeService(job, "wk-1", 1);
    auto& busy = machine("m2");
    busy.cloud.draining = true;
    fleet.place(busy, job, 0, 1, bookkeeping::PlacementState::running, now);
    EXPECT_EQ(scaleIn(), Names{});
}

TEST_F(AutoscalerTest, LostMachineIsDeletedTenSecondsAfterLeaseExpiry) {
    auto& lost = machine("m1");
    lost.lease.active = false;
    lost.lease.until = now + 20s;
    lost.history.lastBusyAt = now + 100s;
    EXPECT_EQ(scaleIn(30s), Names{});
    EXPECT_EQ(scaleIn(1ms), Names{"m1"});
}

TEST_F(AutoscalerTest, MachineThatNeverBootedIsDeletedAfterItsBootTimes) {
    for (const auto* id : {"m1", "m2"}) {
        auto& booting = machine(id);
        booting.agent.incarnation = 0;
        booting.lease.active = false;
        booting.lease.until = now + 100s;
    }
    replica.registeredMachines["m2"] = {{"address", "plain", "z", false}, 1};  // up under an earlier leader
    fleet.find("m2")->history.lastBusyAt = now + 200s;
    EXPECT_EQ(scaleIn(50s), Names{});  // 3.5 boot times of 10 s plus 15 s
    EXPECT_EQ(scaleIn(1ms), Names{"m1"});
}

TEST_F(AutoscalerTest, OneScaleInIsInFlightAndUnknownOutcomeIsRetried) {
    machine("m1").cloud.draining = true;
    EXPECT_EQ(decide().scaleIn, Names{"m1"});
    machine("m2").cloud.draining = true;
    EXPECT_EQ(decide(10s).scaleIn, Names{});
    autoscaler->recordScaleInOutcome(ScaleInOutcome::unknown, now);
    EXPECT_EQ(decide(1999ms).scaleIn, Names{});
    EXPECT_EQ(decide(1ms).scaleIn, (Names{"m1", "m2"}));
    autoscaler->recordScaleInOutcome(ScaleInOutcome::deleted, now);
    EXPECT_EQ(decide(499ms).scaleIn, Names{});
    EXPECT_EQ(decide(1ms).scaleIn, (Names{"m1", "m2"}));
}

TEST_F(AutoscalerTest, ScaleInHasAtMostAHundredMachines) {
    for (int i = 0; i < 130; ++i) machine(std::string("m").append(std::to_string(i))).cloud.draining = true;
    EXPECT_EQ(decide().scaleIn.size(), 100u);
}

TEST_F(AutoscalerTest, MachinesAreListedTwicePerLagWithOneListingInFlight) {
    EXPECT_TRUE(decide().listMachines);
    EXPECT_FALSE(decide(100s).listMachines);
    autoscaler->recordMachineListingCompletion();
    EXPECT_TRUE(decide().listMachines);
    autoscaler->recordMachineListingCompletion();
    EXPECT_FALSE(decide(4999ms).listMachines);
    EXPECT_TRUE(decide(1ms).listMachines);
}

TEST_F(AutoscalerTest, TypesAreListedMoreOftenWhileNoneIsKnown) {
    const auto known = types;
    types.clear();
    EXPECT_TRUE(decide().listTypes);
    EXPECT_FALSE(decide(1999ms).listTypes);
    types = known;
    EXPECT_TRUE(decide(1ms).listTypes);
    EXPECT_FALSE(decide(29999ms).listTypes);
    EXPECT_TRUE(decide(1ms).listTypes);
}

TEST_F(AutoscalerTest, RequestBudgetIsKeptAndScaleOutGoesFirst) {
    settings.cloudRequestsPerSecond = 2.5;  // 80 % of the limit is used
    createAutoscaler();
    Job job;
    makeService(job, "wk-1", 120);
    order = {&job};
    machine("m1").cloud.draining = true;
    const auto first = decide(0s);
    EXPECT_EQ(first.scaleOuts.size(), 2u);
    EXPECT_EQ(first.scaleIn, Names{});
    EXPECT_FALSE(first.listMachines || first.listTypes);
    const auto second = decide(1s);
    EXPECT_EQ(second.scaleOuts.size(), 1u);
    EXPECT_EQ(second.scaleIn, Names{"m1"});
    EXPECT_FALSE(second.listMachines || second.listTypes);
}

/// Waiting work of more machines than the budget of two requests a second can ask for at once. The cloud
/// fulfils each request with machines that stay in the fleet.
struct LargeBacklogTest : AutoscalerTest {
    static constexpr std::uint32_t kMachines = 1000;
    Job backlog;
    std::uint32_t created = 0;

    LargeBacklogTest() {
        settings.cloudRequestsPerSecond = 2.5;  // 80 % of the limit is used
        createAutoscaler();
        makeService(backlog, "wk-1", kMachines);
        order = {&backlog};
    }
    /// Fulfils the requests of the next second, and returns how many machines they asked for, by type.
    std::map<std::string, std::uint32_t> requestedInNextSecond(Clock::duration step = 1s) {
        std::map<std::string, std::uint32_t> requested;
        for (const auto& request : decide(step).scaleOuts) {
            requested[request.type] += request.count;
            for (std::uint32_t i = 0; i < request.count; ++i)
                machine(std::string("m").append(std::to_string(created++)), request.type);
            autoscaler->recordScaleOutOutcome(request.name, InstanceRequestOutcome::fulfilled, request.count,
                                              now);
        }
        return requested;
    }
};

// Guards against a bound on planned machines that makes anybody wait longer: the cloud must be asked as fast
// as its limit on requests allows, until nothing is missing.
TEST_F(LargeBacklogTest, MachinesAreRequestedAsFastAsTheBudgetAllows) {
    std::uint32_t requested = requestedInNextSecond(0s)["plain"];
    EXPECT_EQ(requested, 100u);
    for (int second = 1; second < 10; ++second) requested += requestedInNextSecond()["plain"];
    EXPECT_EQ(requested, kMachines);
    EXPECT_TRUE(requestedInNextSecond().empty());
}

// Guards against machines for urgent work that are requested only after those for all tasks of a large array.
TEST_F(LargeBacklogTest, JobWithOtherMachineTypeArrivesThenItsMachineIsRequestedWithinTwoSeconds) {
    for (int second = 0; second < 3; ++second) requestedInNextSecond();
    Job urgent;
    makeService(urgent, "wk-2", 1);
    urgent.spec.types = {"slow"};
    order = {&urgent, &backlog};
    const auto first = requestedInNextSecond();
    const auto second = requestedInNextSecond();
    EXPECT_EQ(first.contains("slow") + second.contains("slow"), 1);
}

// Guards against machines that are requested, and paid for, for jobs that were cancelled long before.
TEST_F(LargeBacklogTest, JobIsCancelledThenRequestsForItEndWithinASecond) {
    for (int second = 0; second < 3; ++second) requestedInNextSecond();
    order.clear();
    requestedInNextSecond();
    for (int second = 0; second < 20; ++second) EXPECT_TRUE(requestedInNextSecond().empty());
}

// Guards against requests that pile up while the cloud does not answer. A request is repeated until it gets
// an answer, so the ones that wait for theirs bound those that are sent.
TEST_F(LargeBacklogTest, CloudGivesNoAnswerThenNoMoreRequestsArePendingThanCanBeRepeated) {
    constexpr auto kTimeout = 6s;  // after which an outcome is unknown
    constexpr auto kRetryInterval = 2s;
    constexpr auto kPlanInterval = 1s;
    constexpr std::size_t kRequestsPerSecond = 2;
    makeService(backlog, "wk-1", protocol::kMaxTasks);
    std::set<std::string> names;
    std::deque<std::pair<Time, std::string>> unanswered;
    for (int second = 0; second < 600; ++second) {
        for (const auto& request : decide().scaleOuts) {
            names.insert(request.name);
            unanswered.emplace_back(now + kTimeout, request.name);
        }
        for (; !unanswered.empty() && unanswered.front().first <= now; unanswered.pop_front())
            autoscaler->recordScaleOutOutcome(unanswered.front().second, InstanceRequestOutcome::unknown, 0,
                                              now);
    }
    EXPECT_LE(names.size(), kRequestsPerSecond * (kTimeout + kRetryInterval + kPlanInterval).count());
}

struct ScaleOutOutcomeTest : AutoscalerTest {
    Job job;

    ScaleOutOutcomeTest() {
        makeService(job, "wk-1", 3);
        order = {&job};
    }
    /// The machine count of the only instance request that is due now.
    std::uint32_t requestedMachines() {
        const auto scaleOuts = decide(0s).scaleOuts;
        EXPECT_EQ(scaleOuts.size(), 1u);
        return scaleOuts.empty() ? 0 : scaleOuts[0].count;
    }
};

TEST_F(ScaleOutOutcomeTest, FulfilledInFullRecordsNoCapacityError) {
    ASSERT_EQ(requestedMachines(), 3u);
    const auto request =
        autoscaler->recordScaleOutOutcome("r-7-1", InstanceRequestOutcome::fulfilled, 3, now);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->type, "plain");
    EXPECT_FALSE(autoscaler->capacityErrors().hasRecentError({"plain", "z", false}));
    EXPECT_FALSE(autoscaler->recordScaleOutOutcome("r-7-1", InstanceRequestOutcome::fulfilled, 3, now));
}

TEST_F(ScaleOutOutcomeTest, PartialFulfilmentOrRejectionStartsBackOff) {
    ASSERT_EQ(requestedMachines(), 3u);
    EXPECT_TRUE(autoscaler->recordScaleOutOutcome("r-7-1", InstanceRequestOutcome::fulfilled, 2, now));
    EXPECT_TRUE(autoscaler->capacityErrors().isUnavailable({"plain", "z", false}, now));
    const auto elsewhere = decide(0s).scaleOuts;
    ASSERT_EQ(elsewhere.size(), 1u);
    EXPECT_EQ(elsewhere[0].type, "slow");
    EXPECT_TRUE(
        autoscaler->recordScaleOutOutcome(elsewhere[0].name, InstanceRequestOutcome::rejected, 0, now));
    EXPECT_TRUE(decide(1s).scaleOuts.empty());
    EXPECT_FALSE(decide(3s).scaleOuts.empty());
}

TEST_F(ScaleOutOutcomeTest, UnknownOutcomeIsRetriedUnderTheSameNameAndNothingElseIsRequested) {
    ASSERT_EQ(requestedMachines(), 3u);
    EXPECT_FALSE(autoscaler->recordScaleOutOutcome("r-7-1", InstanceRequestOutcome::unknown, 0, now));
    EXPECT_FALSE(autoscaler->capacityErrors().hasRecentError({"plain", "z", false}));
    EXPECT_TRUE(decide(1999ms).scaleOuts.empty());
    const auto again = decide(1ms).scaleOuts;
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again[0].name, "r-7-1");
}

TEST_F(AutoscalerTest, MachineHasVanishedOnceEveryListingWouldShowIt) {
    machine("m1").lease.active = false;
    machine("m2").lease.active = false;
    machine("m3");  // it still sends heartbeats
    auto& leaving = machine("m4");
    leaving.lease.active = false;
    leaving.cloud.deletionRequested = true;
    auto& unreconciled = machine("m5");
    unreconciled.lease.active = false;
    fleet.setReconciled(unreconciled, false);
    const auto gone = [&](Clock::duration after) {
        Names names;
        for (const auto* machine : autoscaler->vanishedMachines(fleet, {"m2"}, now + after))
            names.push_back(machine->id);
        return names;
    };
    EXPECT_EQ(gone(25s), Names{});  // 2.5 times the list lag of 10 s
    EXPECT_EQ(gone(25001ms), Names{"m1"});
}

}  // namespace burlpoint::tests
