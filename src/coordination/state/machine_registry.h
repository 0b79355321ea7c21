#pragma once

// The machine registry: the stored list of machines, from which the next leader knows where tasks of this
// leader may run. Decides which entries must be written or deleted and when an entry counts as stored. Owns
// what is still to be written and deleted. The entries as stored are in the replica, and what counts for
// starting tasks is each machine's `registration` in the fleet. It sends nothing itself: StateWriter does.

#include <cstdint>
#include <set>
#include <string>

#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "storage/records.h"

namespace burlpoint::coordination {

class MachineRegistry {
  public:
    /// Both must outlive the machine registry. Nothing is due to be written or deleted at first.
    MachineRegistry(bookkeeping::StateReplica& replica, bookkeeping::Fleet& fleet);

    /// The entry that the machine should have. That of a machine without a heartbeat so far has no address.
    /// It only tells the next leader that the machine exists, and no task may be started under it: otherwise
    /// each new leader would have to wait for all machines that are booting.
    static storage::MachineRecord recordOf(const bookkeeping::Machine& machine);
    /// May an earlier leader have started a task on the machine? True if its stored entry has an address.
    bool mayHoldTasks(const std::string& id) const;

    /// The machine was requested from the cloud and is in the fleet. Without an entry, the next leader would
    /// not know of it and request another one.
    void noteRequested(const std::string& id);
    /// Has the machine's entry written unless it is stored as it should be, and sets the machine's
    /// `registration`. Changes nothing while the entry is being written.
    void ensureEntry(bookkeeping::Machine& machine);
    /// After the replica was read anew: the same for all machines that send heartbeats and whose entry is not
    /// known to be stored.
    void ensureEntriesOfMachinesWithHeartbeat();
    /// The machine is about to leave the fleet. Its entry is to be deleted if it may have one.
    void forget(const bookkeeping::Machine& machine);
    /// Has entries deleted whose machines are not in the fleet, such as one that was written late.
    void removeEntriesWithoutMachine();

    /// Machines, all in the fleet, whose entries are to be written.
    const std::set<std::string>& additions() const { return additions_; }
    /// Machines whose entries are to be deleted if they are stored.
    const std::set<std::string>& removals() const { return removals_; }
    /// Drops the removals whose entries are not stored any more.
    void forgetCompletedRemovals();
    /// Version of the stored entry; 0 if there is none.
    std::uint64_t versionOf(const std::string& id) const;

    /// The entry of a machine in the fleet is part of a transaction that is being sent.
    void additionSent(const std::string& id);
    /// The transaction with this entry was applied at `revision`. The machine may have left by now.
    void additionStored(const std::string& id, const storage::MachineRecord& record, std::uint64_t revision);
    /// The transaction was not applied as far as is known. The entry remains to be written.
    void additionNotStored(const std::string& id);
    /// The deletion of the entry is part of a transaction that is being sent.
    void removalSent(const std::string& id);
    /// The transaction with the deletion was applied.
    void removalStored(const std::string& id);

  private:
    /// Is the entry stored just as it should be?
    bool isStoredAsIs(const bookkeeping::Machine& machine) const;

    bookkeeping::StateReplica& replica_;
    bookkeeping::Fleet& fleet_;
    std::set<std::string> additions_;
    std::set<std::string> removals_;
    std::set<std::string> removalsSent_;  // entries whose deletion was sent and that were not written since
};

}  // namespace burlpoint::coordination
