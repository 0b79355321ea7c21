#pragma once

// The messages exchanged with the key-value store: transactions, pages of keys, watches and leases. Holds no
// state.

#include <chrono>
#include <cstdint>
#include <msgpack/object_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burlpoint::protocol {

/// A write or deletion of one key in a transaction.
struct KeyWrite {
    std::string key;
    std::optional<std::string> value;  ///< packed; absent: the key is deleted
    std::uint64_t lease = 0;           ///< the key is deleted when this lease expires; 0: no lease
};
/// The version that a key must have for a transaction to be committed; 0: the key must not exist.
struct KeyCondition {
    std::string key;
    std::uint64_t version = 0;
};
/// A key with its value, or a key that was deleted.
struct KeyChange {
    std::string key;
    const msgpack::object* value = nullptr;  ///< null: deleted; lives as long as the unpacked body
    std::uint64_t version = 0;               ///< the revision that wrote or deleted the key
};
/// A page of keys in their order, or the changes after a revision in the order in which they were made.
struct KeyPage {
    std::vector<KeyChange> entries;
    bool hasMore = false;        ///< another page follows
    std::uint64_t revision = 0;  ///< revision of the store when it answered
};
/// The reply to a transaction that was committed, or that was rejected because a condition did not hold.
struct TransactionReply {
    std::uint64_t revision = 0;       ///< revision that the transaction created, if it was committed
    std::vector<std::string> failed;  ///< the keys whose condition did not hold
};

// Each decode function throws `MalformedMessage`.

std::string encodeTransaction(const std::vector<KeyCondition>& conditions,
                              const std::vector<KeyWrite>& writes);
TransactionReply decodeTransactionReply(std::string_view body);
KeyPage decodeKeyPage(const msgpack::object& body);
KeyPage decodeWatch(const msgpack::object& body);
/// A request for a lease that expires after `ttl` unless it is extended.
std::string encodeLease(std::chrono::milliseconds ttl);
/// The id of the new lease.
std::uint64_t decodeLease(std::string_view body);
/// True if the reason of an error response (see `decodeErrorReply`) is a lease that does not exist or has
/// expired.
bool isNoSuchLease(std::string_view reason);

namespace paths {
inline constexpr char kTransaction[] = "/multi";
inline constexpr char kLeases[] = "/holds";
std::string extendLease(std::uint64_t lease);
std::string lease(std::uint64_t lease);
/// The request target for the page of at most `limit` keys with the prefix that sort after `after`.
std::string keyPage(const std::string& prefix, const std::string& after, unsigned limit);
/// The request target for the changes of keys with the prefix after that revision. The store answers as soon
/// as there are any, or after `wait` without any.
std::string watch(const std::string& prefix, std::uint64_t after, std::chrono::milliseconds wait);
}  // namespace paths

}  // namespace burlpoint::protocol
