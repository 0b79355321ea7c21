#pragma once

// What is asked of the key-value store and answered by it.

#include <chrono>
#include <cstdint>
#include <msgpack/object_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/errors.h"

namespace burlpoint::protocol {

/// A key that a transaction writes or deletes.
struct KeyWrite {
    std::string key;
    std::optional<std::string> value;  // packed; none: the key is deleted
    std::uint64_t lease = 0;
};
/// The version that a key must have for a transaction to be carried out; 0: it must not exist.
struct KeyCondition {
    std::string key;
    std::uint64_t version = 0;
};
/// A key's value or its deletion. The object lives as long as the body it was unpacked from.
struct KeyChange {
    std::string key;
    const msgpack::object* value = nullptr;
    std::uint64_t version = 0;
};
/// A part of the keys, or the changes after a revision.
struct KeyPage {
    std::vector<KeyChange> entries;
    bool more = false;
    std::uint64_t revision = 0;
};
/// The revision that the transaction made; or the keys whose condition failed.
struct TransactionReply {
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
};

// Each decode function throws Malformed.
std::string encodeTransaction(const std::vector<KeyCondition>& conditions,
                              const std::vector<KeyWrite>& writes);
TransactionReply decodeTransactionReply(std::string_view body);
KeyPage decodeKeyPage(const msgpack::object& body);
KeyPage decodeWatch(const msgpack::object& body);
/// A lease that ends after `life` unless it is extended.
std::string encodeLease(std::chrono::milliseconds life);
/// The new lease's id.
std::uint64_t decodeLease(std::string_view body);

namespace paths {
inline constexpr char kTransaction[] = "/multi";
inline constexpr char kLeases[] = "/holds";
std::string extendLease(std::uint64_t lease);
std::string lease(std::uint64_t lease);
/// At most `most` keys with the prefix, after that one.
std::string keyPage(const std::string& prefix, const std::string& after, unsigned most);
/// Changes of keys with the prefix after that revision, as soon as there are any within `wait`.
std::string watch(const std::string& prefix, std::uint64_t after, std::chrono::milliseconds wait);
}  // namespace paths

}  // namespace burlpoint::protocol
