#pragma once

// When a leader's state writer may send its next transaction, and with how many writes. Owns the pauses
// between transactions and the leader's share of the writes that the key-value store takes.

#include <cstddef>

#include "base/clock.h"
#include "protocol/settings.h"
#include "storage/token_bucket.h"

namespace burlpoint::coordination {

class WritePacing {
  public:
    WritePacing(const protocol::Settings& settings, Time now);

    /// Is the pause after the last transaction over?
    bool ready(Time now) const { return now >= nextWrite_; }
    /// How many writes the rate allows now.
    std::size_t allowedWrites(Time now);

    /// A transaction with so many writes is being sent.
    void noteSent(std::size_t writes, Time now);
    /// A transaction was answered, in whatever way.
    void noteAnswered(Time now);
    /// The store refused a transaction for now.
    void noteRefused(Time now);
    /// The store refused a transaction as more writes than it takes at present.
    void noteTooMany(Time now);

  private:
    storage::TokenBucket budget_;
    Time nextWrite_{};
};

}  // namespace burlpoint::coordination
