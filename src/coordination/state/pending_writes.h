#pragma once

// The leader's changes that are not in the key-value store yet: finished tasks, terminal records of jobs,
// machine types, and entries of the machine registry. Owns the sets of jobs and types to be written; pending
// registry entries are in MachineRegistry. Adds due writes to a transaction, and applies writes that
// succeeded to the replica.

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/wall_clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "coordination/state/machine_registry.h"
#include "coordination/state/transaction_draft.h"

namespace burlpoint::coordination {

class PendingWrites {
  public:
    /// The consequences of writes that were applied.
    struct Effects {
        std::vector<bookkeeping::Job*> ended;             // jobs now stored as done
        std::vector<bookkeeping::ReplicaChange> changes;  // resulting changes of other jobs
    };

    /// All references must outlive this object. `types` holds the known machine types by name and is read
    /// each time they are written. `wallClock` provides the end times of jobs.
    PendingWrites(bookkeeping::StateReplica& replica, bookkeeping::Fleet& fleet, MachineRegistry& registry,
                  const std::map<std::string, protocol::MachineType>& types, const WallClock& wallClock);

    /// Records that finished tasks or the end of the job must be stored. The job must have a `run` and must
    /// not be in a terminal state.
    void markUnstored(bookkeeping::Job& job) { unstoredJobs_.insert(&job); }
    /// Discards pending writes of the job.
    void discardWrites(bookkeeping::Job& job) { unstoredJobs_.erase(&job); }
    /// Records that the machine types have changed and must be stored.
    void markTypesUnstored() { typesUnstored_ = true; }
    std::size_t unstoredJobCount() const { return unstoredJobs_.size(); }

    /// Adds due writes to the draft, most urgent first, until it is full.
    void fill(TransactionDraft& draft, Time now);

    /// Records that the transaction was applied at `revision`.
    Effects handleApplied(const TransactionContents& transaction, std::uint64_t revision);
    /// Records that the transaction is not known to have been applied. All its writes stay due.
    void handleNotApplied(const TransactionContents& transaction);
    /// Makes the bitmaps of the transaction due again immediately.
    static void retryBitmaps(const TransactionContents& transaction, Time now);

  private:
    /// Selects the machines whose entries are added to a transaction.
    enum class Machines { withHeartbeat, withoutHeartbeat };

    void putRegistryAdditions(TransactionDraft& draft, Machines which);
    void putRegistryRemovals(TransactionDraft& draft);
    void putTerminalRecords(TransactionDraft& draft, Time now) const;
    void putTypes(TransactionDraft& draft) const;
    void putBitmaps(TransactionDraft& draft, Time now) const;
    static void putBitmapsOf(TransactionDraft& draft, bookkeeping::Job& job);

    void applyBitmap(const TransactionContents::Bitmap& write, std::uint64_t revision);
    void applyTerminalRecord(const TransactionContents::TerminalRecord& write, std::uint64_t revision,
                             Effects& effects);
    void applyTypes(const std::vector<protocol::MachineType>& types, std::uint64_t revision);

    bookkeeping::StateReplica& replica_;
    bookkeeping::Fleet& fleet_;
    MachineRegistry& registry_;
    const std::map<std::string, protocol::MachineType>& types_;
    const WallClock& wallClock_;

    std::set<bookkeeping::Job*, bookkeeping::JobIdLess> unstoredJobs_;
    bool typesUnstored_ = false;
};

}  // namespace burlpoint::coordination
