#pragma once

// A transaction that a leader's state writer puts together, and the record of what it holds, from which its
// outcome is taken in. Owns nothing beyond that one transaction.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bookkeeping/job.h"
#include "protocol/cloud_messages.h"
#include "protocol/store_messages.h"
#include "storage/records.h"

namespace burlpoint::coordination {

class TransactionLimits;

/// A transaction to be sent to the key-value store; `StateWritten` answers it, once.
struct WriteState {
    std::vector<protocol::KeyCondition> conditions;
    std::vector<protocol::KeyWrite> writes;
};

/// What a transaction writes, in terms of jobs and machines.
struct TransactionContents {
    struct RegistryAddition {
        std::string machine;
        storage::MachineRecord record;
    };
    struct TerminalRecord {
        bookkeeping::Job* job;
        std::uint64_t endedMs;  // time of day
    };
    struct Bitmap {
        bookkeeping::Job* job;
        bookkeeping::BitRange range;
        std::vector<std::uint32_t> tasks;  // whose bits are new
    };

    std::vector<std::string> keys;  // of all writes
    std::size_t bytes = 0;          // of the whole transaction, estimated
    std::vector<RegistryAddition> registryAdditions;
    std::vector<std::string> registryRemovals;  // machines
    std::vector<TerminalRecord> terminalRecords;
    std::vector<protocol::MachineType> types;  // empty: not written
    std::vector<Bitmap> bitmaps;
};

/// A transaction in the making. Every write is conditional on the version of its key, and the whole on the
/// leader's fencing token.
class TransactionDraft {
  public:
    /// For at most `maxWrites` writes and within `limits`, which must outlive this. `tokenVersion`: of the
    /// stored fencing token.
    TransactionDraft(const TransactionLimits& limits, std::size_t maxWrites, std::uint64_t tokenVersion);

    /// Adds a write of `key`, whose stored version is `version`; no value deletes the key. False: not added,
    /// as the key is deferred or there is no room, which `hasRoom` tells apart. The caller records an added
    /// write in `contents`.
    bool put(const std::string& key, std::optional<std::string> value, std::uint64_t version);
    /// May there be another write? False once a write did not fit.
    bool hasRoom() const { return state_.writes.size() < maxWrites_ && !full_; }
    bool empty() const { return state_.writes.empty(); }

    const TransactionLimits& limits() const { return limits_; }
    /// Ends the draft: moves out what is to be sent.
    WriteState takeState() { return std::move(state_); }

    TransactionContents contents;

  private:
    const TransactionLimits& limits_;
    const std::size_t maxWrites_;
    bool full_ = false;  // a write would have been too many bytes
    WriteState state_;
};

}  // namespace burlpoint::coordination
