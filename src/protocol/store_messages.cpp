#include "protocol/store_messages.h"

#include "protocol/msgpack_codec.h"

namespace burlpoint::protocol {

std::string encodeTransaction(const std::vector<KeyCondition>& conditions,
                              const std::vector<KeyWrite>& writes) {
    MessagePacker p;
    p.map(2).key("when").list(conditions.size());
    for (const auto& c : conditions) p.map(2).field("path", c.key).field("mark", c.version);
    p.key("apply").list(writes.size());
    for (const auto& w : writes) {
        if (!w.value) {
            p.map(1).field("remove", w.key);
            continue;
        }
        p.map(w.lease ? 3 : 2).field("write", w.key).key("data").raw(*w.value);
        if (w.lease) p.field("mooring", w.lease);
    }
    return p.take();
}

TransactionReply decodeTransactionReply(std::string_view body) {
    const auto handle = unpackBody(body);
    const MapReader f(handle.get());
    return {f.integer("chart"), f.texts("failed")};
}

KeyPage decodeKeyPage(const msgpack::object& body) {
    const MapReader f(body);
    KeyPage page;
    f.each("entries", [&](const msgpack::object& element) {
        const MapReader e(element);
        page.entries.push_back({e.text("path"), &e.need("data"), e.integer("mark")});
    });
    page.more = f.flagOr("hasNext", false);
    page.revision = f.integer("chart");
    return page;
}

KeyPage decodeWatch(const msgpack::object& body) {
    const MapReader f(body);
    KeyPage page;
    f.each("log", [&](const msgpack::object& element) {
        const MapReader e(element);
        if (const auto key = e.maybeText("write"))
            page.entries.push_back({*key, &e.need("data"), e.integer("mark")});
        else
            page.entries.push_back({e.text("remove"), nullptr, e.integer("mark")});
    });
    page.revision = f.integer("chart");
    return page;
}

std::string encodeLease(std::chrono::milliseconds life) {
    return MessagePacker().map(1).field("lifeMs", life.count()).take();
}

std::uint64_t decodeLease(std::string_view body) {
    const auto handle = unpackBody(body);
    return MapReader(handle.get()).integer("mooring");
}

namespace paths {

std::string extendLease(std::uint64_t id) { return lease(id) + "/extend"; }
std::string lease(std::uint64_t id) { return std::string(kLeases) + "/" + std::to_string(id); }
std::string keyPage(const std::string& prefix, const std::string& after, unsigned most) {
    return "/kv?under=" + prefix + "&most=" + std::to_string(most) + (after.empty() ? "" : "&since=" + after);
}
std::string watch(const std::string& prefix, std::uint64_t after, std::chrono::milliseconds wait) {
    return "/watch?under=" + prefix + "&since=" + std::to_string(after) +
           "&blockMs=" + std::to_string(wait.count());
}

}  // namespace paths

}  // namespace burlpoint::protocol
