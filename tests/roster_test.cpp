#include "coordination/roster.h"

#include <gtest/gtest.h>

using namespace burlpoint;
using bookkeeping::RosterState;
using coordination::Roster;

namespace {

struct RosterTest : testing::Test {
    bookkeeping::StateReplica replica;
    bookkeeping::Fleet fleet;
    Roster roster{replica, fleet};

    bookkeeping::Machine& rented(const std::string& id) {
        auto& machine = fleet.add(id, transport::Time{});
        machine.type = std::string("cpu");
        machine.zone = std::string("a");
        return machine;
    }
    bookkeeping::Machine& reporting(const std::string& id) {
        auto& machine = rented(id);
        machine.address = id;
        machine.session = 1;
        machine.reports = true;
        return machine;
    }
    void store(const bookkeeping::Machine& machine, std::uint64_t revision) {
        roster.additionSent(machine.id);
        roster.additionStored(machine.id, Roster::recordOf(machine), revision);
    }
};

}  // namespace

TEST_F(RosterTest, AnEntryCountsOnlyOnceItIsStored) {
    auto& machine = reporting("m1");
    roster.ensureEntry(machine);
    EXPECT_TRUE(roster.additions().contains("m1"));
    EXPECT_EQ(machine.roster, RosterState::absent);
    roster.additionSent("m1");
    EXPECT_EQ(machine.roster, RosterState::writing);
    roster.additionNotStored("m1");
    EXPECT_EQ(machine.roster, RosterState::absent);
    EXPECT_TRUE(roster.additions().contains("m1"));
    store(machine, 7);
    EXPECT_EQ(machine.roster, RosterState::stored);
    EXPECT_TRUE(roster.additions().empty());
    EXPECT_EQ(roster.versionOf("m1"), 7u);
    EXPECT_TRUE(roster.mayHoldTasks("m1"));
}

TEST_F(RosterTest, ANoteOfARentedMachineAllowsNoTasks) {
    auto& machine = rented("m1");
    machine.address = std::string("m1");
    roster.noteRented("m1");
    store(machine, 7);
    EXPECT_EQ(machine.roster, RosterState::absent);
    EXPECT_FALSE(roster.mayHoldTasks("m1"));
    EXPECT_TRUE(roster.additions().empty());
    machine.session = 1;
    roster.ensureEntry(machine);
    EXPECT_TRUE(roster.additions().contains("m1"));
    store(machine, 8);
    EXPECT_EQ(machine.roster, RosterState::stored);
}

TEST_F(RosterTest, AnEntryWhoseAddressChangedMeanwhileIsWrittenAgain) {
    auto& machine = reporting("m1");
    roster.ensureEntry(machine);
    roster.additionSent("m1");
    const auto sent = Roster::recordOf(machine);
    machine.address = std::string("m2");
    roster.additionStored("m1", sent, 7);
    EXPECT_TRUE(roster.additions().contains("m1"));
}

// A deletion that was sent may be carried out after the machine is back.
TEST_F(RosterTest, AMachineThatReturnsNeedsANewEntry) {
    roster.ensureEntry(reporting("m1"));
    store(*fleet.find("m1"), 7);
    roster.forget(*fleet.find("m1"));
    fleet.erase("m1");
    EXPECT_TRUE(roster.removals().contains("m1"));
    roster.removalSent("m1");
    auto& back = reporting("m1");
    roster.ensureEntry(back);
    EXPECT_EQ(back.roster, RosterState::absent);
    EXPECT_TRUE(roster.removals().empty());
    EXPECT_TRUE(roster.additions().contains("m1"));
    store(back, 9);
    EXPECT_EQ(back.roster, RosterState::stored);
}

TEST_F(RosterTest, AnEntryThatIsStoredAfterItsMachineLeftIsDeleted) {
    roster.ensureEntry(reporting("m1"));
    roster.additionSent("m1");
    const auto sent = Roster::recordOf(*fleet.find("m1"));
    roster.forget(*fleet.find("m1"));
    fleet.erase("m1");
    EXPECT_TRUE(roster.additions().empty());
    roster.additionStored("m1", sent, 7);
    EXPECT_TRUE(roster.removals().contains("m1"));
    roster.removalSent("m1");
    roster.removalStored("m1");
    EXPECT_TRUE(roster.removals().empty());
    EXPECT_EQ(roster.versionOf("m1"), 0u);
}

TEST_F(RosterTest, EntriesOfMachinesThatAreNoMoreAreDeleted) {
    replica.roster["gone"] = {{"gone", "cpu", "a", false}, 3};
    roster.dropOrphans();
    EXPECT_TRUE(roster.removals().contains("gone"));
    replica.roster.clear();
    roster.dropSettledRemovals();
    EXPECT_TRUE(roster.removals().empty());
}
