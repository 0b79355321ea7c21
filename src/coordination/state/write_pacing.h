#pragma once

// Paces the transactions of a leader's state writer: when the next one may be sent, and with how many writes.
// Owns the pauses between transactions and the leader's share of the key-value store's write rate.

#include <cstddef>

#include "base/clock.h"
#include "protocol/settings.h"
#include "storage/token_bucket.h"

namespace burlpoint::coordination {

class WritePacing {
  public:
    WritePacing(const protocol::Settings& settings, Time now);

    /// True if the pause after the last transaction is over.
    bool ready(Time now) const { return now >= nextWrite_; }
    /// Returns how many writes the rate allows now.
    std::size_t allowedWrites(Time now);

    /// Records that a transaction with this number of writes is being sent.
    void recordSend(std::size_t writes, Time now);
    /// Records that a transaction has ended with any outcome. Starts the pause before the next one.
    void recordCompletion(Time now);
    /// Records that the store rejected a transaction temporarily. Starts a longer pause.
    void recordUnavailability(Time now);
    /// Records that the store rejected a transaction because of its rate limit. Lowers the rate and starts a
    /// longer pause.
    void recordRateLimit(Time now);

  private:
    storage::TokenBucket writeBudget_;
    Time nextWrite_{};
};

}  // namespace burlpoint::coordination
