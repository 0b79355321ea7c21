#include "coordination/state/transaction_draft.h"

#include <utility>

#include "coordination/state/transaction_limits.h"
#include "protocol/msgpack_codec.h"

namespace burlpoint::coordination {

namespace {
// A write's field names, versions and punctuation, and those of its condition, beside value and keys.
constexpr std::size_t kWriteOverheadBytes = 120;
}  // namespace

TransactionDraft::TransactionDraft(const TransactionLimits& limits, std::size_t maxWrites,
                                   std::uint64_t tokenVersion)
    : limits_(limits), maxWrites_(maxWrites) {
    state_.conditions.push_back({storage::keys::kToken, tokenVersion});
}

bool TransactionDraft::put(const std::string& key, std::optional<std::string> value, std::uint64_t version) {
    if (limits_.isDeferred(key)) return false;
    // The key is named twice, as there is a condition for each write. With the fencing token's, these are
    // within the four conditions that the service allows for each write.
    const auto valueBytes = value ? protocol::jsonBytes(*value) : 0;
    const auto bytes = valueBytes + 2 * key.size() + kWriteOverheadBytes;
    full_ = !empty() && contents.bytes + bytes > limits_.maxBytes();
    if (full_) return false;
    contents.bytes += bytes;
    contents.keys.push_back(key);
    state_.conditions.push_back({key, version});
    state_.writes.push_back({key, std::move(value), 0});
    return true;
}

}  // namespace burlpoint::coordination
