#pragma once

// Size limits for the transactions of a leader's state writer. The key-value store's limits may be lower than
// those in the settings, so the limits are lowered when the store rejects a transaction as too large. The
// limits on the number of writes and on the total size are slowly raised again; those on a single value stay
// lowered. Owns the current limits and the keys whose value alone is too large.

#include <cstddef>
#include <map>
#include <string>

#include "base/clock.h"
#include "coordination/state/transaction_draft.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

class TransactionLimits {
  public:
    /// Starts with the limits in the settings, which must outlive this object.
    explicit TransactionLimits(const protocol::Settings& settings);

    /// Maximum number of writes in a transaction.
    std::size_t maxWrites() const { return maxWrites_; }
    /// Maximum size of a transaction, estimated as in `TransactionContents::bytes`.
    std::size_t maxBytes() const { return maxBytes_; }
    /// Maximum size of the value of a bitmap of finished tasks.
    std::size_t maxBitmapBytes() const { return maxBitmapBytes_; }
    /// Maximum size of the record of a job that has ended.
    std::size_t maxTerminalRecordBytes() const { return maxTerminalRecordBytes_; }

    /// True if the key must not be written for now because its value alone was too large.
    bool isDeferred(const std::string& key) const { return deferredUntil_.contains(key); }
    /// Allows keys to be written again whose deferral has expired.
    void dropExpiredDeferrals(Time now);

    /// Lowers the limits after the store rejected this transaction as too large.
    void shrink(const TransactionContents& rejected, Time now);
    /// Raises the limits on the number of writes and the total size after a transaction was applied, if the
    /// growth pause since the last rejection or increase is over.
    void grow(Time now);

  private:
    /// Lowers the bitmap limit below the size of a bitmap that was rejected alone.
    void shrinkBitmaps(const TransactionContents::Bitmap& rejected);

    const protocol::Settings& settings_;
    std::size_t maxWrites_;
    std::size_t maxBytes_;
    std::size_t maxBitmapBytes_;
    std::size_t maxTerminalRecordBytes_;
    Clock::duration growthPause_{};  // doubles with each rejection
    Time nextGrowth_{};
    std::map<std::string, Time> deferredUntil_;  // end of the deferral, by key
};

}  // namespace burlpoint::coordination
