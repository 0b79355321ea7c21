#include "coordination/state/machine_registry.h"

#include <gtest/gtest.h>

#include "base/clock.h"

using namespace burlpoint;
using bookkeeping::RegistrationState;
using coordination::MachineRegistry;

namespace {

struct RegistryTest : testing::Test {
    bookkeeping::StateReplica replica;
    bookkeeping::Fleet fleet;
    MachineRegistry registry{replica, fleet};

    /// Adds a machine that was requested from the cloud and has not sent a heartbeat.
    bookkeeping::Machine& withoutHeartbeat(const std::string& id) {
        auto& machine = fleet.add(id, Time{});
        machine.type = std::string("cpu");
        machine.zone = std::string("a");
        return machine;
    }
    bookkeeping::Machine& withHeartbeat(const std::string& id) {
        auto& machine = withoutHeartbeat(id);
        machine.address = id;
        machine.agent.incarnation = 1;
        machine.lease.active = true;
        return machine;
    }
    void store(const bookkeeping::Machine& machine, std::uint64_t revision) {
        registry.recordAdditionSent(machine.id);
        registry.recordAdditionStored(machine.id, MachineRegistry::expectedEntry(machine), revision);
    }
};

}  // namespace

TEST_F(RegistryTest, EntryAllowsTasksOnlyOnceStored) {
    auto& machine = withHeartbeat("m1");
    registry.ensureEntry(machine);
    EXPECT_TRUE(registry.additions().contains("m1"));
    EXPECT_EQ(machine.registry.state, RegistrationState::absent);
    registry.recordAdditionSent("m1");
    EXPECT_EQ(machine.registry.state, RegistrationState::writing);
    registry.recordAdditionNotStored("m1");
    EXPECT_EQ(machine.registry.state, RegistrationState::absent);
    EXPECT_TRUE(registry.additions().contains("m1"));
    store(machine, 7);
    EXPECT_EQ(machine.registry.state, RegistrationState::stored);
    EXPECT_TRUE(registry.additions().empty());
    EXPECT_EQ(registry.versionOf("m1"), 7u);
    EXPECT_TRUE(registry.mayHoldTasks("m1"));
}

TEST_F(RegistryTest, EntryWithoutHeartbeatThenNoTasksAreAllowed) {
    auto& machine = withoutHeartbeat("m1");
    machine.address = std::string("m1");
    registry.scheduleAddition("m1");
    store(machine, 7);
    EXPECT_EQ(machine.registry.state, RegistrationState::absent);
    EXPECT_FALSE(registry.mayHoldTasks("m1"));
    EXPECT_TRUE(registry.additions().empty());
    machine.agent.incarnation = 1;
    registry.ensureEntry(machine);
    EXPECT_TRUE(registry.additions().contains("m1"));
    store(machine, 8);
    EXPECT_EQ(machine.registry.state, RegistrationState::stored);
}

TEST_F(RegistryTest, AddressChangedDuringWriteThenEntryIsWrittenAgain) {
    auto& machine = withHeartbeat("m1");
    registry.ensureEntry(machine);
    registry.recordAdditionSent("m1");
    const auto sent = MachineRegistry::expectedEntry(machine);
    machine.address = std::string("m2");
    registry.recordAdditionStored("m1", sent, 7);
    EXPECT_TRUE(registry.additions().contains("m1"));
}

// A deletion in flight may be executed after the machine has returned, so the stored entry can't be relied
// on.
TEST_F(RegistryTest, MachineReturnsAfterRemovalWasSentThenItNeedsANewEntry) {
    registry.ensureEntry(withHeartbeat("m1"));
    store(*fleet.find("m1"), 7);
    registry.scheduleRemoval(*fleet.find("m1"));
    fleet.erase("m1");
    EXPECT_TRUE(registry.removals().contains("m1"));
    registry.recordRemovalSent("m1");
    auto& back = withHeartbeat("m1");
    registry.ensureEntry(back);
    EXPECT_EQ(back.registry.state, RegistrationState::absent);
    EXPECT_TRUE(registry.removals().empty());
    EXPECT_TRUE(registry.additions().contains("m1"));
    store(back, 9);
    EXPECT_EQ(back.registry.state, RegistrationState::stored);
}

TEST_F(RegistryTest, EntryStoredAfterItsMachineLeftThenDeleted) {
    registry.ensureEntry(withHeartbeat("m1"));
    registry.recordAdditionSent("m1");
    const auto sent = MachineRegistry::expectedEntry(*fleet.find("m1"));
    registry.scheduleRemoval(*fleet.find("m1"));
    fleet.erase("m1");
    EXPECT_TRUE(registry.additions().empty());
    registry.recordAdditionStored("m1", sent, 7);
    EXPECT_TRUE(registry.removals().contains("m1"));
    registry.recordRemovalSent("m1");
    registry.recordRemovalStored("m1");
    EXPECT_TRUE(registry.removals().empty());
    EXPECT_EQ(registry.versionOf("m1"), 0u);
}

TEST_F(RegistryTest, EntryWithoutMachineThenDeleted) {
    replica.registeredMachines["gone"] = {{"gone", "cpu", "a", false}, 3};
    registry.removeEntriesWithoutMachine();
    EXPECT_TRUE(registry.removals().contains("gone"));
    replica.registeredMachines.clear();
    registry.dropCompletedRemovals();
    EXPECT_TRUE(registry.removals().empty());
}
