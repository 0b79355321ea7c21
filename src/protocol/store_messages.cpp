#include "protocol/store_messages.h"

#include "protocol/map_reader.h"
#include "protocol/message_packer.h"
#include "protocol/wire_names.h"

namespace burlpoint::protocol {

namespace {

void packWrite(MessagePacker& packer, const KeyWrite& write) {
    if (!write.value) {
        packer.map(1).field(wire::store::kDeletedKey, write.key);
        return;
    }
    packer.map(write.lease ? 3 : 2).field(wire::store::kWrittenKey, write.key);
    packer.key(wire::store::kValue).raw(*write.value);
    if (write.lease) packer.field(wire::store::kLease, write.lease);
}

KeyChange decodeChange(const MapReader& fields) {
    if (const auto key = fields.maybeText(wire::store::kWrittenKey))
        return {*key, &fields.need(wire::store::kValue), fields.integer(wire::store::kVersion)};
    return {fields.text(wire::store::kDeletedKey), nullptr, fields.integer(wire::store::kVersion)};
}

/// The path with the key prefix as its first parameter, which every query of keys has.
std::string targetWithPrefix(const char* path, const std::string& prefix) {
    return std::string(path).append("?").append(wire::query::kPrefix).append(prefix);
}

void addParameter(std::string& target, std::string_view name, const std::string& value) {
    target.append("&").append(name).append(value);
}

}  // namespace

std::string encodeTransaction(const std::vector<KeyCondition>& conditions,
                              const std::vector<KeyWrite>& writes) {
    MessagePacker packer;
    packer.map(2).key(wire::store::kConditions).list(conditions.size());
    for (const auto& condition : conditions) {
        packer.map(2).field(wire::store::kKey, condition.key);
        packer.field(wire::store::kVersion, condition.version);
    }
    packer.key(wire::store::kWrites).list(writes.size());
    for (const auto& write : writes) packWrite(packer, write);
    return packer.str();
}

TransactionReply decodeTransactionReply(std::string_view body) {
    const auto handle = unpackBody(body);
    const MapReader fields(handle.get());
    return {fields.integer(wire::store::kRevision), fields.texts(wire::store::kFailedKeys)};
}

KeyPage decodeKeyPage(const msgpack::object& body) {
    const MapReader fields(body);
    KeyPage page;
    fields.each(wire::store::kEntries, [&](const msgpack::object& element) {
        const MapReader entry(element);
        page.entries.push_back({entry.text(wire::store::kKey), &entry.need(wire::store::kValue),
                                entry.integer(wire::store::kVersion)});
    });
    page.hasMore = fields.flagOr(wire::kHasMore, false);
    page.revision = fields.integer(wire::store::kRevision);
    return page;
}

KeyPage decodeWatch(const msgpack::object& body) {
    const MapReader fields(body);
    KeyPage page;
    fields.each(wire::store::kChanges, [&](const msgpack::object& element) {
        page.entries.push_back(decodeChange(MapReader(element)));
    });
    page.revision = fields.integer(wire::store::kRevision);
    return page;
}

std::string encodeLease(std::chrono::milliseconds ttl) {
    return MessagePacker().map(1).field(wire::store::kLeaseTtlMs, ttl.count()).str();
}

std::uint64_t decodeLease(std::string_view body) {
    const auto handle = unpackBody(body);
    return MapReader(handle.get()).integer(wire::store::kLease);
}

bool isNoSuchLease(std::string_view reason) { return reason == wire::store::kNoSuchLease; }

namespace paths {

std::string extendLease(std::uint64_t id) { return lease(id) + "/extend"; }

std::string lease(std::uint64_t id) { return std::string(kLeases) + "/" + std::to_string(id); }

std::string keyPage(const std::string& prefix, const std::string& after, unsigned limit) {
    auto target = targetWithPrefix("/kv", prefix);
    addParameter(target, wire::query::kLimit, std::to_string(limit));
    if (!after.empty()) addParameter(target, wire::query::kAfter, after);
    return target;
}

std::string watch(const std::string& prefix, std::uint64_t after, std::chrono::milliseconds wait) {
    auto target = targetWithPrefix("/watch", prefix);
    addParameter(target, wire::query::kAfter, std::to_string(after));
    addParameter(target, wire::query::kWaitMs, std::to_string(wait.count()));
    return target;
}

}  // namespace paths

}  // namespace burlpoint::protocol
