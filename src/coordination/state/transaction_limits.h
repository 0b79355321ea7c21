#pragma once

// How large the transactions of a leader's state writer may be. The key-value store's limits may be lower
// than the settings say, so these are lowered when it refuses a transaction as too large, and slowly raised
// again. Owns the sizes found to be accepted and the keys whose value is too large even alone.

#include <cstddef>
#include <map>
#include <string>

#include "base/clock.h"
#include "coordination/state/transaction_draft.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

class TransactionLimits {
  public:
    /// Starts with the limits of the settings, which must outlive this.
    explicit TransactionLimits(const protocol::Settings& settings);

    /// Writes in a transaction.
    std::size_t maxWrites() const { return maxWrites_; }
    /// Bytes of a transaction, estimated as in `TransactionContents::bytes`.
    std::size_t maxBytes() const { return maxBytes_; }
    /// Bytes of a bitmap's value.
    std::size_t maxBitmapBytes() const { return maxBitmapBytes_; }
    /// Bytes of the record of a job that ended.
    std::size_t maxTerminalRecordBytes() const { return maxTerminalRecordBytes_; }

    /// Is the key left out for now, as its value alone was too large?
    bool isDeferred(const std::string& key) const { return deferredUntil_.contains(key); }
    /// Keys that were left out for long enough may be tried again.
    void dropExpiredDeferrals(Time now);

    /// The transaction was refused as too large. What it holds must be written in smaller pieces.
    void shrink(const TransactionContents& refused, Time now);
    /// A transaction was applied. The limits are raised if the last refusal is long enough ago.
    void grow(Time now);

  private:
    /// A single bitmap was refused: cuts bitmaps to less than its value.
    void shrinkBitmaps(const TransactionContents::Bitmap& refused);

    const protocol::Settings& settings_;
    std::size_t maxWrites_;
    std::size_t maxBytes_;
    std::size_t maxBitmapBytes_;
    std::size_t maxTerminalRecordBytes_;
    Clock::duration growthPause_{};  // doubles with each refusal
    Time nextGrowth_{};
    std::map<std::string, Time> deferredUntil_;  // by key
};

}  // namespace burlpoint::coordination
