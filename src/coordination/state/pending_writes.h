#pragma once

// What a leader knows and the key-value store doesn't have yet: finished tasks, the ends of jobs, machine
// types, and entries of the machine registry. Owns which jobs and types are to be written; what is due of the
// registry is in MachineRegistry. Puts due writes into a transaction, and takes those that were applied into
// the replica.

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
    /// What followed from writes that were applied.
    struct Effects {
        std::vector<bookkeeping::Job*> ended;      // jobs whose end is now stored as done
        std::vector<bookkeeping::Change> changes;  // what follows for other jobs
    };

    /// All references must outlive this. `types` are the machine types known so far, by name; they are read
    /// whenever they are written. `wallClock` gives the times at which jobs ended.
    PendingWrites(bookkeeping::StateReplica& replica, bookkeeping::Fleet& fleet, MachineRegistry& registry,
                  const std::map<std::string, protocol::MachineType>& types, const WallClock& wallClock);

    /// The job, which is open and has a run, has finished tasks whose bits or end are to be stored.
    void noteUnstored(bookkeeping::Job& job) { unstoredJobs_.insert(&job); }
    /// Nothing of the job is to be stored any more.
    void forget(bookkeeping::Job& job) { unstoredJobs_.erase(&job); }
    /// The machine types have changed and are to be stored.
    void noteTypesChanged() { typesUnstored_ = true; }
    std::size_t unstoredJobs() const { return unstoredJobs_.size(); }

    /// Puts what is due into the draft, most urgent first, as far as there is room.
    void fill(TransactionDraft& draft, Time now);

    /// The transaction was applied at `revision`.
    Effects noteApplied(const TransactionContents& transaction, std::uint64_t revision);
    /// The transaction was not applied as far as is known. All that it holds stays due.
    void noteNotApplied(const TransactionContents& transaction);
    /// The bitmaps of the transaction are due again at once.
    static void retryBitmaps(const TransactionContents& transaction, Time now);

  private:
    /// Whose entries are put into a transaction.
    enum class Machines { withHeartbeat, withoutHeartbeat };

    void putRegistryAdditions(TransactionDraft& draft, Machines which);
    void putRegistryRemovals(TransactionDraft& draft);
    void putTerminalRecords(TransactionDraft& draft, Time now) const;
    void putTypes(TransactionDraft& draft) const;
    void putBitmaps(TransactionDraft& draft, Time now) const;
    static void putBitmapsOf(TransactionDraft& draft, bookkeeping::Job& job);

    void takeBitmap(const TransactionContents::Bitmap& write, std::uint64_t revision);
    void takeTerminalRecord(const TransactionContents::TerminalRecord& write, std::uint64_t revision,
                            Effects& effects);
    void takeTypes(const std::vector<protocol::MachineType>& types, std::uint64_t revision);

    bookkeeping::StateReplica& replica_;
    bookkeeping::Fleet& fleet_;
    MachineRegistry& registry_;
    const std::map<std::string, protocol::MachineType>& types_;
    const WallClock& wallClock_;

    std::set<bookkeeping::Job*, bookkeeping::JobIdLess> unstoredJobs_;
    bool typesUnstored_ = false;
};

}  // namespace burlpoint::coordination
