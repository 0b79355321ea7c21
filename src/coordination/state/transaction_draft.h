#pragma once

// Builds one transaction of a leader's state writer, and records what it writes so that its outcome can be
// applied to jobs and machines. Owns only that transaction.

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

/// A transaction to be sent to the key-value store. It is answered by exactly one `StateWritten`.
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
        std::uint64_t endedMs;  // wall-clock time, in milliseconds since 1970
    };
    struct Bitmap {
        bookkeeping::Job* job;
        bookkeeping::BitRange range;
        std::vector<std::uint32_t> tasks;  // tasks whose bits are new
    };

    std::vector<std::string> keys;  // keys of all writes
    std::size_t bytes = 0;          // estimated size of the whole transaction
    std::vector<RegistryAddition> registryAdditions;
    std::vector<std::string> registryRemovals;  // ids of machines
    std::vector<TerminalRecord> terminalRecords;
    std::vector<protocol::MachineType> types;  // empty: types are not written
    std::vector<Bitmap> bitmaps;
};

/// A transaction under construction. Every write is conditional on the version of its key, and the whole
/// transaction on the leader's fencing token.
class TransactionDraft {
  public:
    /// Holds at most `maxWrites` writes and stays within `limits`, which must outlive this object.
    /// `tokenVersion`: version of the stored fencing token.
    TransactionDraft(const TransactionLimits& limits, std::size_t maxWrites, std::uint64_t tokenVersion);

    /// Adds a write of `key`, whose stored version is `version`; without a value, the key is deleted. Returns
    /// false if the write was not added, because the key is deferred (hasRoom() is still true) or the draft
    /// is full. The caller records an added write in `contents`.
    bool put(const std::string& key, std::optional<std::string> value, std::uint64_t version);
    /// True if another write may be added. False at the maximum number of writes, and after a write that did
    /// not fit.
    bool hasRoom() const { return request_.writes.size() < maxWrites_ && !full_; }
    bool empty() const { return request_.writes.empty(); }

    const TransactionLimits& limits() const { return limits_; }
    /// Moves out the transaction to be sent, which ends the draft.
    WriteState takeRequest() { return std::move(request_); }

    TransactionContents contents;

  private:
    const TransactionLimits& limits_;
    const std::size_t maxWrites_;
    bool full_ = false;  // a write did not fit into the maximum size
    WriteState request_;
};

}  // namespace burlpoint::coordination
