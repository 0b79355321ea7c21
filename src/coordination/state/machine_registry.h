#pragma once

// The machine registry: the stored list of machines by which the next leader knows where tasks of this one
// may be. This module decides which entries must be written or deleted and when an entry counts as stored. It
// owns what is still to be written and deleted; the entries as stored are in the replica, and what counts for
// giving tasks is each machine's `roster` in the fleet. It sends nothing itself: StateWriter does.

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

    /// The entry that the machine should have. That of a machine that has not reported yet has no address. It
    /// is a note for the next leader and no task is given under it: were it otherwise, each take-over would
    /// wait for all machines that are booting.
    static storage::MachineRecord recordOf(const bookkeeping::Machine& machine);
    /// May an earlier leader have given the machine a task? True if its stored entry has an address.
    bool mayHoldTasks(const std::string& id) const;

    /// The machine was rented and is in the fleet: it is noted for the next leader, which would rent it
    /// again.
    void noteRequested(const std::string& id);
    /// Has the machine's entry written unless it is stored as it should be, and sets the machine's `roster`
    /// accordingly. Nothing changes while its entry is being written.
    void ensureEntry(bookkeeping::Machine& machine);
    /// After the replica was read anew: the same for all machines that heartbeat and whose entry is not known
    /// to be stored.
    void ensureEntriesOfReporting();
    /// The machine is about to leave the fleet: its entry goes if it may have one.
    void forget(const bookkeeping::Machine& machine);
    /// Has entries of machines that are no more deleted, such as one whose writing was carried out late.
    void dropOrphans();

    /// Machines, all in the fleet, whose entries are to be written.
    const std::set<std::string>& additions() const { return additions_; }
    /// Machines whose entries are to be deleted if they are stored.
    const std::set<std::string>& removals() const { return removals_; }
    /// Forgets the removals whose entries are not stored any more.
    void dropSettledRemovals();
    /// Version of the stored entry; 0 if there is none.
    std::uint64_t versionOf(const std::string& id) const;

    /// The entry of a machine in the fleet is part of a transaction that is being sent.
    void additionSent(const std::string& id);
    /// The transaction with this entry was carried out at `revision`. The machine may be gone by now.
    void additionStored(const std::string& id, const storage::MachineRecord& record, std::uint64_t revision);
    /// The transaction was not carried out as far as is known; the entry remains to be written.
    void additionNotStored(const std::string& id);
    /// The deletion of the entry is part of a transaction that is being sent.
    void removalSent(const std::string& id);
    /// The transaction with the deletion was carried out.
    void removalStored(const std::string& id);

  private:
    bookkeeping::StateReplica& replica_;
    bookkeeping::Fleet& fleet_;
    std::set<std::string> additions_;
    std::set<std::string> removals_;
    std::set<std::string> removalsSent_;  // entries whose deletion was sent and that were not written since
};

}  // namespace burlpoint::coordination
