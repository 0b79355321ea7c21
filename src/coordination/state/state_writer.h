#pragma once

// Writes the leader's state to the key-value store: machine registry entries, terminal records of jobs,
// machine types and the bitmaps of finished tasks. Owns the transaction in flight and combines the due writes
// (PendingWrites), the size limits (TransactionLimits) and the write rate (WritePacing). At most one
// transaction is in flight, and each is conditional on the leader's fencing token and on the version of every
// key that it writes. Transactions are sent by the leader's actions, not by this class.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/wall_clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "coordination/state/machine_registry.h"
#include "coordination/state/pending_writes.h"
#include "coordination/state/transaction_draft.h"
#include "coordination/state/transaction_limits.h"
#include "coordination/state/write_pacing.h"
#include "protocol/settings.h"
#include "storage/key_value_client.h"

namespace burlpoint::coordination {

/// The outcome of a WriteState action.
struct StateWritten {
    storage::TransactionResult result;
};

class StateWriter {
  public:
    /// What the leader must do after a transaction.
    enum class FollowUp {
        none,
        resign,         // another controller has raised the fencing token
        refreshReplica  // the replica may be stale: refresh it, then call resumeAfterRefresh()
    };
    struct WriteOutcome {
        FollowUp followUp = FollowUp::none;
        std::vector<bookkeeping::Job*> ended;             // jobs now stored as done
        std::vector<bookkeeping::ReplicaChange> changes;  // resulting changes of other jobs
    };

    /// All references must outlive this object. `types` holds the known machine types by name and is read
    /// each time they are written. `wallClock` provides the end times of jobs.
    StateWriter(const protocol::Settings& settings, bookkeeping::StateReplica& replica,
                bookkeeping::Fleet& fleet, MachineRegistry& registry,
                const std::map<std::string, protocol::MachineType>& types, const WallClock& wallClock,
                Time now);

    /// Records that finished tasks or the end of the job must be stored. The job must have a `run` and must
    /// not be in a terminal state.
    void markUnstored(bookkeeping::Job& job) { pending_.markUnstored(job); }
    /// Discards pending writes of a job whose end is already in the key-value store.
    void discardWrites(bookkeeping::Job& job) { pending_.discardWrites(job); }
    /// Records that the machine types have changed and must be stored.
    void markTypesUnstored() { pending_.markTypesUnstored(); }

    /// Returns the next transaction, which then counts as sent. Returns none if nothing is due, a transaction
    /// is in flight, the replica must be refreshed first, or the write rate allows no write now.
    std::optional<WriteState> nextWrite(Time now);
    /// Handles the outcome of the transaction in flight. Writes that were not applied stay due.
    WriteOutcome handle(const StateWritten& written, Time now);
    /// Resumes writing after the replica was refreshed as requested by FollowUp::refreshReplica.
    void resumeAfterRefresh() { refreshing_ = false; }

    /// Returns the pending and in-flight writes as key=value pairs for logs.
    std::string summary() const;

  private:
    WriteOutcome handleApplied(const TransactionContents& transaction, std::uint64_t revision, Time now);
    /// True if the transaction was not applied because the stored fencing token has another version.
    static bool tokenRaised(const storage::TransactionResult& result);

    const bookkeeping::StateReplica& replica_;
    const MachineRegistry& registry_;
    PendingWrites pending_;
    TransactionLimits limits_;
    WritePacing pacing_;
    std::optional<TransactionContents> inFlight_;
    bool refreshing_ = false;  // the replica must be refreshed before the next write
};

}  // namespace burlpoint::coordination
