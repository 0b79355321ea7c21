#pragma once

// Stores what a leader decides and learns in the key-value store: machine registry entries, the ends of jobs,
// machine types and the bits of finished tasks. Owns the transaction under way and ties together what is due
// (PendingWrites), the sizes that the store takes (TransactionLimits) and the pace (WritePacing). One
// transaction is under way at a time, and each is conditional on the leader's fencing token and on the
// version of every key that it writes. It sends nothing itself: the leader's actions do.

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

/// What came of a WriteState.
struct StateWritten {
    storage::TransactionResult result;
};

class StateWriter {
  public:
    /// What the leader has to do after a transaction.
    enum class FollowUp {
        none,
        resign,         // another controller has raised the fencing token
        refreshReplica  // stored values differ from the replica, or may: read them, then replicaRefreshed()
    };
    struct WriteOutcome {
        FollowUp followUp = FollowUp::none;
        std::vector<bookkeeping::Job*> ended;      // jobs whose end is now stored as done
        std::vector<bookkeeping::Change> changes;  // what follows for other jobs
    };

    /// All references must outlive the writer. `types` are the machine types known so far, by name; they are
    /// read whenever they are written. `wallClock` gives the times at which jobs ended.
    StateWriter(const protocol::Settings& settings, bookkeeping::StateReplica& replica,
                bookkeeping::Fleet& fleet, MachineRegistry& registry,
                const std::map<std::string, protocol::MachineType>& types, const WallClock& wallClock,
                Time now);

    /// The job, which is open and has a run, has finished tasks whose bits or end are to be stored.
    void noteUnstored(bookkeeping::Job& job) { pending_.noteUnstored(job); }
    /// The job has ended in the key-value store, so nothing of it is to be stored any more.
    void forget(bookkeeping::Job& job) { pending_.forget(job); }
    /// The machine types have changed and are to be stored.
    void noteTypesChanged() { pending_.noteTypesChanged(); }

    /// The next transaction; none if nothing is due, one is under way, the replica must be read first, or the
    /// rate does not allow any now. What is returned counts as sent.
    std::optional<WriteState> nextWrite(Time now);
    /// Takes in the outcome of the transaction under way. What was not stored stays due.
    WriteOutcome handle(const StateWritten& written, Time now);
    /// The replica was read anew after FollowUp::refreshReplica, so writing may go on.
    void replicaRefreshed() { refreshing_ = false; }

    /// What is due and under way, as key=value pairs for logs.
    std::string summary() const;

  private:
    WriteOutcome applied(const TransactionContents& transaction, std::uint64_t revision, Time now);
    /// Was the transaction not executed because the fencing token has another version?
    static bool tokenRaised(const storage::TransactionResult& result);

    const bookkeeping::StateReplica& replica_;
    const MachineRegistry& registry_;
    PendingWrites pending_;
    TransactionLimits limits_;
    WritePacing pacing_;
    std::optional<TransactionContents> underWay_;
    bool refreshing_ = false;  // the replica must be read before the next write
};

}  // namespace burlpoint::coordination
