#pragma once

// What a leader stores in the key-value store: machine registry entries, the ends of jobs, machine types and
// the bits of finished tasks. This module gathers what is due, cuts it into transactions that the service
// takes, paces them, and takes their outcomes into the replica. It owns what is not stored yet, the
// transaction under way, and the sizes and rates found to be accepted. One transaction is under way at a
// time, and each is conditional on the leader's fencing token and on the version of every key that it writes.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/wall_clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "coordination/state/machine_registry.h"
#include "protocol/settings.h"
#include "storage/key_value_client.h"

namespace burlpoint::coordination {

/// A transaction to be sent to the key-value store; `StateWritten` answers it, once.
struct WriteState {
    std::vector<protocol::KeyCondition> conditions;
    std::vector<protocol::KeyWrite> writes;
};

/// What came of a WriteState.
struct StateWritten {
    storage::TransactionResult result;
};

class StateWriter {
  public:
    /// What the leader has to do after a transaction.
    enum class FollowUp {
        none,
        resign,         // another node has raised the fencing token
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
    void noteUnstored(bookkeeping::Job& job) { unstored_.insert(&job); }
    /// The job is over by what the key-value store tells: nothing of it is to be stored any more.
    void forget(bookkeeping::Job& job) { unstored_.erase(&job); }
    /// The machine types have changed and are to be stored.
    void noteTypesChanged() { typesUnstored_ = true; }

    /// The next transaction; none if nothing is due, one is under way, the replica has to be read first, or
    /// the rate does not allow any for now. What is returned counts as sent.
    std::optional<WriteState> nextWrite(Time now);
    /// Takes in the outcome of the transaction under way. What was not stored stays due.
    WriteOutcome handle(const StateWritten& written, Time now);
    /// The replica was read anew after FollowUp::refreshReplica: writing may go on.
    void replicaRefreshed() { refreshing_ = false; }

    /// What is due and under way, in words, for logs.
    std::string summary() const;

  private:
    struct BitmapWrite {
        bookkeeping::Job* job;
        bookkeeping::BitRange range;
        std::vector<std::uint32_t> tasks;  // whose bits are new
    };
    struct TerminalWrite {
        bookkeeping::Job* job;
        std::uint64_t endedMs;  // time of day
    };
    struct RegistryWrite {
        std::string machine;
        storage::MachineRecord record;
    };
    /// What a transaction holds, so that its outcome can be taken in.
    struct Transaction {
        std::vector<std::string> keys;
        std::size_t bytes = 0;  // estimated
        std::vector<RegistryWrite> registryAdditions;
        std::vector<std::string> registryRemovals;
        std::vector<TerminalWrite> terminalWrites;
        std::vector<protocol::MachineType> types;
        std::vector<BitmapWrite> bitmaps;
    };
    /// A transaction that is being put together.
    struct Draft {
        std::size_t maxWrites = 0;
        bool full = false;  // the next write would have been too much
        WriteState state;
        Transaction contents;

        bool hasRoom() const { return state.writes.size() < maxWrites && !full; }
    };

    bool put(Draft& draft, const std::string& key, std::optional<std::string> value,
             std::uint64_t version) const;
    void putRegistryAdditions(Draft& draft, bool reported);
    void putRegistryRemovals(Draft& draft);
    void putTerminalRecords(Draft& draft, Time now) const;
    void putTypes(Draft& draft) const;
    void putBitmaps(Draft& draft, Time now) const;
    void putBitmapsOf(Draft& draft, bookkeeping::Job& job) const;

    void takeRegistryWrites(const Transaction& transaction, const storage::TransactionResult& result);
    void takeStored(const Transaction& transaction, std::uint64_t revision, WriteOutcome& outcome);
    void takeBitmap(const BitmapWrite& write, std::uint64_t revision);
    void shrink(const Transaction& refused, Time now);
    void grow(Time now);

    const protocol::Settings& settings_;
    bookkeeping::StateReplica& replica_;
    bookkeeping::Fleet& fleet_;
    MachineRegistry& registry_;
    const std::map<std::string, protocol::MachineType>& types_;
    const WallClock& wallClock_;

    std::set<bookkeeping::Job*, bookkeeping::JobIdLess>
        unstored_;  // with done tasks whose bits are to be stored
    bool typesUnstored_ = false;

    std::optional<Transaction> underWay_;
    bool refreshing_ = false;  // the replica has to be read before the next write
    Time nextWrite_{};
    storage::TokenBucket budget_;

    // What a transaction may have. Lowered when the service says that one was too large, and raised again.
    std::size_t maxOperations_;
    std::size_t maxBytes_;                // of all its keys and values
    std::size_t maxBitmapBytes_;          // of a bitmap's value
    std::size_t maxTerminalRecordBytes_;  // of an ended job's record
    Clock::duration growthPause_{};
    Time nextGrowth_{};
    std::map<std::string, Time> deferredKeys_;  // keys whose value is too large alone, until when
};

}  // namespace burlpoint::coordination
