#include "coordination/provisioner.h"

#include <gtest/gtest.h>

namespace burlpoint::tests {

using namespace std::chrono_literals;
using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using coordination::CloudRequests;
using coordination::MachineTypes;
using coordination::Provisioner;
using coordination::RentalOutcome;
using protocol::Seconds;
using transport::Clock;
using transport::Time;

namespace {

using Names = std::vector<std::string>;

}  // namespace

/// A provisioner over a hand-made fleet that needs nothing unless a test says otherwise.
struct ProvisionerTest : testing::Test {
    protocol::Settings settings;
    protocol::Policy policy;
    bookkeeping::StateReplica replica;
    Fleet fleet;
    MachineTypes types;
    Time now{1000s};
    std::vector<Job*> order;
    std::unique_ptr<Provisioner> provisioner;

    ProvisionerTest() {
        settings.zones = {"z"};
        settings.cloudRps = 50;
        settings.listLag = Seconds(10);
        policy.idleKeep = Seconds(10);
        policy.bootKeep = 0.8;
        policy.minimumKeep = Seconds(55);
        types["plain"] = {"plain", 8, 0, 32, 50, 1, 1, 0.3, Seconds(10), {"z"}};
        types["slow"] = {"slow", 8, 0, 32, 50, 1, 9, 3, Seconds(100), {"z"}};
        begin();
    }
    void begin() { provisioner = std::make_unique<Provisioner>(settings, policy, replica, 7, now); }
    Machine& machine(const std::string& id, const std::string& type = "plain") {
        auto& added = fleet.add(id, now);
        added.type = type;
        added.zone = types.at(type).zones.front();
        added.kind = &types.at(type);
        added.session = 1;
        added.reports = true;
        added.lastReport = now;
        added.leaseUntil = now + 30s;
        fleet.setReconciled(added, true);
        return added;
    }
    /// Makes the job one of replicas that each fill a machine.
    void prepare(Job& job, std::string id, std::uint32_t tasks) const {
        job.spec.id = std::move(id);
        job.spec.kind = protocol::Kind::service;
        job.spec.cpus = 8;
        job.spec.tasks = tasks;
        job.beginRun(false, now);
    }
    CloudRequests decide(Clock::duration step = 1s) {
        now += step;
        const auto due = [](const Job&) { return Time{}; };
        return provisioner->decide(fleet, types, {order, due}, now);
    }
    /// The machines released when the time has come, the release answered.
    Names releases(Clock::duration step = 1s) {
        auto requests = decide(step);
        if (!requests.releases.empty()) provisioner->releaseAnswered(true, now);
        return requests.releases;
    }
};

TEST_F(ProvisionerTest, AnIdleMachineGoesAfterItsFirstMinuteAndBootTimes) {
    machine("m1");
    machine("m2", "slow");
    EXPECT_EQ(releases(55s), Names{});
    EXPECT_EQ(releases(1ms), Names{"m1"});
    EXPECT_TRUE(fleet.find("m1")->releasing);
    fleet.erase("m1");
    EXPECT_EQ(releases(24s), Names{});  // 80 s after its last task
    EXPECT_EQ(releases(1s), Names{"m2"});
}

TEST_F(ProvisionerTest, AMachineThatHadATaskLatelyIsKept) {
    machine("m1").busyUntil = now + 100s;
    EXPECT_EQ(releases(110s), Names{});
    EXPECT_EQ(releases(1ms), Names{"m1"});
}

TEST_F(ProvisionerTest, AMachineThatAWaitingJobNeedsOrIsReservedForIsKept) {
    Job job;
    prepare(job, "wk-1", 1);
    order = {&job};
    machine("m1");
    auto& reserved = machine("m2");
    Job other;
    fleet.reserve(reserved, &other, now + 90s);
    EXPECT_EQ(releases(80s), Names{});
    EXPECT_EQ(releases(10s), Names{"m2"});
    order.clear();
    EXPECT_EQ(releases(), (Names{"m1", "m2"}));  // what was asked for before is asked for again
}

TEST_F(ProvisionerTest, FaultyLeavingAndStoppedMachinesGoAtOnce) {
    machine("m1").draining = true;
    machine("m2").errorJobs = {"wk-1", "wk-2"};
    machine("m3").failed = true;
    machine("m4").errorJobs = {"wk-1"};
    EXPECT_EQ(releases(), (Names{"m1", "m2", "m3"}));
}

TEST_F(ProvisionerTest, AMachineThatMayHaveTasksStays) {
    machine("m1").draining = true;
    fleet.setReconciled(*fleet.find("m1"), false);
    EXPECT_EQ(releases(200s), Names{});
    Job job;
    prepare(job, "wk-1", 1);
    auto& busy = machine("m2");
    busy.draining = true;
    fleet.place(busy, job, 0, 1, bookkeeping::PlacementState::running, now);
    EXPECT_EQ(releases(), Names{});
}

TEST_F(ProvisionerTest, ALostMachineGoesTenSecondsAfterItsLease) {
    auto& lost = machine("m1");
    lost.reports = false;
    lost.leaseUntil = now + 20s;
    lost.busyUntil = now + 100s;
    EXPECT_EQ(releases(30s), Names{});
    EXPECT_EQ(releases(1ms), Names{"m1"});
}

TEST_F(ProvisionerTest, AMachineThatNeverCameUpIsGivenItsBootTimes) {
    for (const auto* id : {"m1", "m2"}) {
        auto& booting = machine(id);
        booting.session = 0;
        booting.reports = false;
        booting.leaseUntil = now + 100s;
    }
    replica.roster["m2"] = {{"address", "plain", "z", false}, 1};  // that one was up under an earlier leader
    fleet.find("m2")->busyUntil = now + 200s;
    EXPECT_EQ(releases(50s), Names{});  // three and a half boot times and 15 s
    EXPECT_EQ(releases(1ms), Names{"m1"});
}

TEST_F(ProvisionerTest, OneReleaseIsUnderWayAtATimeAndAFailedOneIsRepeated) {
    machine("m1").draining = true;
    EXPECT_EQ(decide().releases, Names{"m1"});
    machine("m2").draining = true;
    EXPECT_EQ(decide(10s).releases, Names{});
    provisioner->releaseAnswered(false, now);
    EXPECT_EQ(decide(1999ms).releases, Names{});
    EXPECT_EQ(decide(1ms).releases, (Names{"m1", "m2"}));
    provisioner->releaseAnswered(true, now);
    EXPECT_EQ(decide(499ms).releases, Names{});
    EXPECT_EQ(decide(1ms).releases, (Names{"m1", "m2"}));
}

TEST_F(ProvisionerTest, AReleaseHasAHundredMachinesAtMost) {
    for (int i = 0; i < 130; ++i) machine(std::string("m").append(std::to_string(i))).draining = true;
    EXPECT_EQ(decide().releases.size(), 100u);
}

TEST_F(ProvisionerTest, MachinesAreListedTwicePerLagAndOneListAtATime) {
    EXPECT_TRUE(decide().listMachines);
    EXPECT_FALSE(decide(100s).listMachines);
    provisioner->machinesListed();
    EXPECT_TRUE(decide().listMachines);
    provisioner->machinesListed();
    EXPECT_FALSE(decide(4999ms).listMachines);
    EXPECT_TRUE(decide(1ms).listMachines);
}

TEST_F(ProvisionerTest, TypesAreListedOftenUntilThereAreAny) {
    const auto known = types;
    types.clear();
    EXPECT_TRUE(decide().listTypes);
    EXPECT_FALSE(decide(1999ms).listTypes);
    types = known;
    EXPECT_TRUE(decide(1ms).listTypes);
    EXPECT_FALSE(decide(29999ms).listTypes);
    EXPECT_TRUE(decide(1ms).listTypes);
}

TEST_F(ProvisionerTest, TheBudgetOfRequestsIsKeptToAndRentingGoesFirst) {
    settings.cloudRps = 2.5;  // of which four fifths are used
    begin();
    Job job;
    prepare(job, "wk-1", 120);
    order = {&job};
    machine("m1").draining = true;
    const auto first = decide(0s);
    EXPECT_EQ(first.rentals.size(), 2u);
    EXPECT_EQ(first.releases, Names{});
    EXPECT_FALSE(first.listMachines || first.listTypes);
    const auto second = decide(1s);
    EXPECT_EQ(second.rentals.size(), 1u);
    EXPECT_EQ(second.releases, Names{"m1"});
    EXPECT_FALSE(second.listMachines || second.listTypes);
}

struct RentalAnswersTest : ProvisionerTest {
    Job job;

    RentalAnswersTest() {
        prepare(job, "wk-1", 3);
        order = {&job};
    }
    /// The count of the only rental asked for now.
    std::uint32_t rented() {
        const auto rentals = decide(0s).rentals;
        EXPECT_EQ(rentals.size(), 1u);
        return rentals.empty() ? 0 : rentals[0].count;
    }
};

TEST_F(RentalAnswersTest, AGrantInFullIsNoRefusal) {
    ASSERT_EQ(rented(), 3u);
    const auto request = provisioner->rentalAnswered("r-7-1", RentalOutcome::carriedOut, 3, now);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->type, "plain");
    EXPECT_FALSE(provisioner->refusals().remembered({"plain", "z", false}));
    EXPECT_FALSE(provisioner->rentalAnswered("r-7-1", RentalOutcome::carriedOut, 3, now));
}

TEST_F(RentalAnswersTest, AGrantInPartAndARefusalMakeForAPause) {
    ASSERT_EQ(rented(), 3u);
    EXPECT_TRUE(provisioner->rentalAnswered("r-7-1", RentalOutcome::carriedOut, 2, now));
    EXPECT_TRUE(provisioner->refusals().refused({"plain", "z", false}, now));
    const auto elsewhere = decide(0s).rentals;
    ASSERT_EQ(elsewhere.size(), 1u);
    EXPECT_EQ(elsewhere[0].type, "slow");
    EXPECT_TRUE(provisioner->rentalAnswered(elsewhere[0].name, RentalOutcome::turnedDown, 0, now));
    EXPECT_TRUE(decide(1s).rentals.empty());
    EXPECT_FALSE(decide(3s).rentals.empty());
}

TEST_F(RentalAnswersTest, AnUnknownOutcomeIsRepeatedUnderItsNameAndNothingElseIsRentedMeanwhile) {
    ASSERT_EQ(rented(), 3u);
    EXPECT_FALSE(provisioner->rentalAnswered("r-7-1", RentalOutcome::unknown, 0, now));
    EXPECT_FALSE(provisioner->refusals().remembered({"plain", "z", false}));
    EXPECT_TRUE(decide(1999ms).rentals.empty());
    const auto again = decide(1ms).rentals;
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again[0].name, "r-7-1");
}

TEST_F(ProvisionerTest, AMachineHasVanishedOnceEachListWouldShowIt) {
    machine("m1").reports = false;
    machine("m2").reports = false;
    machine("m3");  // it reports
    auto& leaving = machine("m4");
    leaving.reports = false;
    leaving.releasing = true;
    auto& unheard = machine("m5");
    unheard.reports = false;
    fleet.setReconciled(unheard, false);
    const auto gone = [&](Clock::duration after) {
        Names names;
        for (const auto* machine : provisioner->vanished(fleet, {"m2"}, now + after))
            names.push_back(machine->id);
        return names;
    };
    EXPECT_EQ(gone(25s), Names{});  // two and a half times the lag
    EXPECT_EQ(gone(25001ms), Names{"m1"});
}

}  // namespace burlpoint::tests
