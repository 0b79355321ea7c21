#include "protocol/peer_messages.h"

#include <algorithm>

#include "protocol/msgpack_codec.h"

namespace burlpoint::protocol {

PeerStatus decodePeerStatus(std::string_view body) {
    const auto handle = unpackBody(body);
    const MapReader f(handle.get());
    PeerStatus s;
    s.node = f.text("node");
    s.fencingToken = f.integer("token");
    s.resignedToken = f.integerOr("given_up", 0);
    s.stateAgeMs = f.integer("state_age_ms");
    s.leaderToken = f.integerOr("hears", 0);
    s.grantMs = f.integerOr("promise_ms", 0);
    s.revision = f.integerOr("revision", 0);
    s.log = f.integerOr("log", 0);
    s.logAt = f.integerOr("log_at", 0);
    s.complete = f.flagOr("told", false);
    f.each("cancelled", [&](const msgpack::object& element) {
        const MapReader c(element);
        s.cancelled.push_back({c.text("job"), c.integer("version")});
    });
    f.each("running", [&](const msgpack::object& element) {
        const MapReader r(element);
        s.running.emplace_back(r.text("job"), static_cast<std::uint32_t>(
                                                  std::min<std::uint64_t>(r.integer("count"), kMaxTasks)));
    });
    return s;
}

std::string encodePeerStatus(const PeerStatus& s) {
    MessagePacker p;
    p.map(12)
        .field("node", s.node)
        .field("token", s.fencingToken)
        .field("given_up", s.resignedToken)
        .field("state_age_ms", s.stateAgeMs)
        .field("hears", s.leaderToken)
        .field("promise_ms", s.grantMs);
    p.field("revision", s.revision).field("log", s.log).field("log_at", s.logAt).field("told", s.complete);
    p.key("cancelled").list(s.cancelled.size());
    for (const auto& c : s.cancelled) p.map(2).field("job", c.job).field("version", c.version);
    p.key("running").list(s.running.size());
    for (const auto& [job, count] : s.running) p.map(2).field("job", job).field("count", count);
    return p.take();
}

}  // namespace burlpoint::protocol
