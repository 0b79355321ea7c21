#pragma once

// The machine registry: the stored list of machines, from which the next leader learns where tasks of this
// leader may run. Decides which entries must be written or deleted and when an entry counts as stored. Owns
// the pending additions and removals. The replica holds the entries as stored, and a machine's
// `registry.state` in the fleet decides whether tasks may be started on it. StateWriter sends the writes.

#include <cstdint>
#include <set>
#include <string>

#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "storage/records.h"

namespace burlpoint::coordination {

class MachineRegistry {
  public:
    /// Both references must outlive the machine registry, which starts without pending writes.
    MachineRegistry(bookkeeping::StateReplica& replica, bookkeeping::Fleet& fleet);

    /// Returns the entry that the machine should have. The entry has no address until the machine has sent a
    /// heartbeat. An entry without an address only informs the next leader that the machine exists. No task
    /// may be started on the machine while its stored entry has no address, so that a new leader need not
    /// assume tasks, and thus an active lease, on machines that are still booting.
    static storage::MachineRecord expectedEntry(const bookkeeping::Machine& machine);
    /// True if an earlier leader may have started a task on the machine, that is, if its stored entry has an
    /// address.
    bool mayHoldTasks(const std::string& id) const;

    /// Schedules an entry for a machine that was requested from the cloud and added to the fleet. Without an
    /// entry, the next leader would not know of the machine and would request another one.
    void scheduleAddition(const std::string& id);
    /// Schedules a write of the machine's entry unless the stored entry is up to date, and updates the
    /// machine's `registry.state`. Does nothing while the entry is being written.
    void ensureEntry(bookkeeping::Machine& machine);
    /// Calls ensureEntry() for all machines with an active lease whose entry is not known to be stored. To be
    /// called after the replica was refreshed.
    void ensureEntriesOfMachinesWithHeartbeat();
    /// Schedules the deletion of the entry, if there may be one, of a machine that is about to leave the
    /// fleet.
    void scheduleRemoval(const bookkeeping::Machine& machine);
    /// Schedules the deletion of all stored entries whose machines are not in the fleet, for example an entry
    /// that was written after its machine had left.
    void removeEntriesWithoutMachine();

    /// Ids of machines, all in the fleet, whose entries must be written.
    const std::set<std::string>& additions() const { return additions_; }
    /// Ids of machines whose entries must be deleted if they are stored.
    const std::set<std::string>& removals() const { return removals_; }
    /// Drops pending removals whose entries are no longer stored.
    void dropCompletedRemovals();
    /// Returns the version of the stored entry, or 0 if there is none.
    std::uint64_t versionOf(const std::string& id) const;

    /// Records that a transaction with the entry of this machine, which is in the fleet, is being sent.
    void recordAdditionSent(const std::string& id);
    /// Records that the transaction with this entry was applied at `revision`. The machine may have left the
    /// fleet in the meantime.
    void recordAdditionStored(const std::string& id, const storage::MachineRecord& record,
                              std::uint64_t revision);
    /// Records that the transaction is not known to have been applied. The addition stays pending.
    void recordAdditionNotStored(const std::string& id);
    /// Records that a transaction with the deletion of the entry is being sent.
    void recordRemovalSent(const std::string& id);
    /// Records that the transaction with the deletion was applied.
    void recordRemovalStored(const std::string& id);

  private:
    /// True if the stored entry equals the one that the machine should have.
    bool isUpToDate(const bookkeeping::Machine& machine) const;

    bookkeeping::StateReplica& replica_;
    bookkeeping::Fleet& fleet_;
    std::set<std::string> additions_;
    std::set<std::string> removals_;
    std::set<std::string> removalsSent_;  // ids of entries not written again since a deletion was sent
};

}  // namespace burlpoint::coordination
