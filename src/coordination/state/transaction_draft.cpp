#include "coordination/state/transaction_draft.h"

#include <utility>

#include "coordination/state/transaction_limits.h"
#include "protocol/msgpack_codec.h"

namespace burlpoint::coordination {

namespace {
// Estimated size of a write and its condition without value and keys: field names, versions, punctuation.
constexpr std::size_t kWriteOverheadBytes = 120;
}  // namespace

TransactionDraft::TransactionDraft(const TransactionLimits& limits, std::size_t maxWrites,
                                   std::uint64_t tokenVersion)
    : limits_(limits), maxWrites_(maxWrites) {
    request_.conditions.push_back({storage::keys::kToken, tokenVersion});
}

bool TransactionDraft::put(const std::string& key, std::optional<std::string> value, std::uint64_t version) {
    if (limits_.isDeferred(key)) return false;
    // The key counts twice, since each write has a condition on its key. With the condition on the fencing
    // token, a transaction of n writes has n + 1 conditions. The store's limit on conditions is four times
    // its limit on writes, so the number of conditions need not be checked.
    const auto valueBytes = value ? protocol::jsonBytes(*value) : 0;
    const auto bytes = valueBytes + 2 * key.size() + kWriteOverheadBytes;
    full_ = !empty() && contents.bytes + bytes > limits_.maxBytes();
    if (full_) return false;
    contents.bytes += bytes;
    contents.keys.push_back(key);
    request_.conditions.push_back({key, version});
    request_.writes.push_back({key, std::move(value), 0});
    return true;
}

}  // namespace burlpoint::coordination
