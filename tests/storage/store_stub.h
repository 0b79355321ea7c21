#pragma once

// A fake of the key-value store, written from the protocol's description: `Store` holds keys, versions and
// leases, and `StoreStub` serves a `Store` by HTTP with optional fault injection. It spells out the names on
// the wire instead of using the protocol layer's constants, so that errors in the client's encoding are
// detected.

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "protocol/msgpack_codec.h"
#include "protocol/store_messages.h"
#include "storage/key_value_client.h"
#include "transport/endpoint.h"
#include "transport/executor.h"
#include "transport/http_message.h"
#include "transport/http_server.h"

namespace burlpoint::tests {

/// The store's limits. The defaults are high; tests lower them.
struct StubLimits {
    std::size_t ops = 1'000'000;                         // writes in one transaction
    std::size_t maxValueBytes = std::size_t{64} * 1024;  // of a value as JSON
    double changes = 1e9;  // remaining writes; the test refills this, as the store has no clock
};

/// Keys with versions, conditional transactions and a log of changes. Leases don't expire by themselves.
class Store {
  public:
    struct Value {
        std::string data;  // packed
        std::uint64_t version = 0, lease = 0;
    };
    /// A write of a key, or its deletion if there is no data.
    struct Event {
        std::string key;
        std::optional<std::string> data;
        std::uint64_t version = 0;
    };

    /// Returns the new revision, or 0 if a condition does not hold; `failed` then has the keys concerned.
    std::uint64_t transact(const std::vector<protocol::KeyCondition>& conditions,
                           const std::vector<protocol::KeyWrite>& writes, std::vector<std::string>& failed) {
        for (const auto& c : conditions) {
            const auto found = values.find(c.key);
            if ((found == values.end() ? 0 : found->second.version) != c.version) failed.push_back(c.key);
        }
        if (!failed.empty()) return 0;
        if (writes.empty()) return revision;
        ++revision;
        for (const auto& w : writes) change(w.key, w.value, w.lease);
        return revision;
    }
    /// Returns why a transaction is rejected before its conditions are checked (size or rate limit), or none
    /// if it is not.
    std::optional<storage::TransactionStatus> refusal(const std::vector<protocol::KeyCondition>& conditions,
                                                      const std::vector<protocol::KeyWrite>& writes) {
        bool large =
            writes.size() > limits.ops || conditions.size() > 4 * limits.ops ||
            protocol::jsonBytes(protocol::encodeTransaction(conditions, writes)) > std::size_t{64} * 1024;
        for (const auto& w : writes) large |= w.value && protocol::jsonBytes(*w.value) > limits.maxValueBytes;
        if (large) return ++tooLarge, storage::TransactionStatus::tooLarge;
        const auto count = static_cast<double>(writes.size());
        if (count > limits.changes) return ++rateLimited, storage::TransactionStatus::rateLimited;
        limits.changes -= count;
        return std::nullopt;
    }
    /// Ends the lease and deletes the keys attached to it.
    void revokeLease(std::uint64_t lease) {
        leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto& [key, value] : values)
            if (value.lease == lease) keys.push_back(key);
        if (keys.empty()) return;
        ++revision;
        for (const auto& key : keys) change(key, std::nullopt, 0);
    }

    std::map<std::string, Value> values;
    std::vector<Event> log;
    std::map<std::uint64_t, bool> leases;
    std::uint64_t revision = 0, nextLease = 0;
    StubLimits limits;
    std::size_t tooLarge = 0, rateLimited = 0;  // number of rejections so far

  private:
    void change(const std::string& key, const std::optional<std::string>& data, std::uint64_t lease) {
        log.push_back({key, data, revision});
        if (data)
            values[key] = {*data, revision, lease};
        else
            values.erase(key);
    }
};

/// Serves a `Store` by HTTP on loopback.
class StoreStub {
  public:
    /// With `first`, this is another endpoint of the store of `first`, with independent faults.
    explicit StoreStub(asio::io_context& io, StoreStub* first = nullptr)
        : store(first ? first->store : ownStore_),
          server_(io, transport::parseEndpoint("127.0.0.1:0"), {},
                  [this](transport::Request&& r, const transport::Reply& reply) { serve(r, reply); }),
          primary_(first ? *first : *this) {
        primary_.endpoints_.push_back(this);
    }
    ~StoreStub() { std::erase(primary_.endpoints_, this); }
    StoreStub(const StoreStub&) = delete;
    StoreStub& operator=(const StoreStub&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(server_.localEndpoint().port()); }

  private:
    Store ownStore_;

  public:
    Store& store;
    bool outage = false;              // answers all requests with 503
    bool failReads = false;           // answers reads with 503
    bool holdWatches = false;         // does not answer open watches when keys change
    bool dropWriteResponses = false;  // applies transactions without answering them
    bool holdLeaseResponses = false;  // creates leases, but answers only at release()
    unsigned pageEntries = 1000;

    void release() {
        holdLeaseResponses = false;
        for (auto& sendResponse : std::exchange(heldLeaseResponses_, {})) sendResponse();
    }

    /// Answers the open watches of all endpoints for which there are changes. Endpoints in an outage keep
    /// their watches open.
    void answerWatches() {
        for (auto* endpoint : primary_.endpoints_) endpoint->answerOwnWatches();
    }
    /// Ends expired leases and, at all endpoints, answers the watches whose wait is over. Only for tests with
    /// a clock; without calls, leases last until the test ends them, and watches until there is a change.
    void expireLeasesAndWatches(Time now) {
        auto& deadlines = primary_.leaseDeadlines_;
        std::vector<std::uint64_t> expired;
        for (const auto& [lease, deadline] : deadlines)
            if (now > deadline.at) expired.push_back(lease);
        for (const auto lease : expired) {
            deadlines.erase(lease);
            store.revokeLease(lease);
        }
        if (!expired.empty()) answerWatches();
        for (auto* endpoint : primary_.endpoints_) endpoint->endWatches(now);
    }
    /// Extends all leases to their full duration, as the store does at the end of an outage.
    void renewAllLeases(Time now) {
        for (auto& [lease, deadline] : primary_.leaseDeadlines_) deadline.at = now + deadline.life;
    }

  private:
    using MessagePacker = protocol::MessagePacker;
    using Answer = std::function<void(int, std::string)>;
    static constexpr std::string_view kLeasePrefix = "/holds/";

    struct Watch {
        std::string query;
        Answer answer;
        Time until;
    };
    struct Deadline {
        Time at;
        Duration life;
    };

    void answerOwnWatches() {
        if (outage || holdWatches) return;
        for (auto& open : std::exchange(watches_, {})) watch(open);
    }
    void endWatches(Time now) {
        if (outage) return;
        for (auto& open : std::exchange(watches_, {})) {
            if (now < open.until)
                watches_.push_back(std::move(open));
            else
                answerWatch(open);
        }
    }
    static std::string parameter(const std::string& query, const std::string& name) {
        std::size_t at = 0;
        while (at < query.size()) {
            const auto end = std::min(query.find('&', at), query.size());
            const auto part = query.substr(at, end - at);
            if (part.starts_with(name + "=")) return part.substr(name.size() + 1);
            at = end + 1;
        }
        return "";
    }
    static std::uint64_t number(const std::string& text) { return text.empty() ? 0 : std::stoull(text); }

    void serve(const transport::Request& r, const transport::Reply& reply) {
        const Answer answer = [reply](int status, std::string body) {
            transport::Response response;
            response.status = status;
            response.body = std::move(body);
            reply(response);
        };
        if (outage || (failReads && (r.path == "/kv" || r.path == "/watch"))) return answer(503, "");
        if (r.path == "/multi") return transaction(r, answer);
        if (r.path == "/kv") return page(r, answer);
        if (r.path == "/watch") {
            const Duration wait(number(parameter(r.query, "blockMs")));
            return watch({r.query, answer, Clock::now() + wait});
        }
        if (r.path == "/holds") return createLease(r, answer);
        if (r.path.starts_with(kLeasePrefix)) return changeLease(r, answer);
        answer(400, "");
    }

    void createLease(const transport::Request& r, const Answer& answer) {
        store.leases[++store.nextLease] = true;
        const Duration life(protocol::MapReader(protocol::unpackBody(r.body).get()).integer("lifeMs"));
        primary_.leaseDeadlines_[store.nextLease] = {Clock::now() + life, life};
        const auto sendResponse = [answer, lease = store.nextLease] {
            answer(200, MessagePacker().map(1).field("mooring", lease).str());
        };
        if (!holdLeaseResponses) return sendResponse();
        heldLeaseResponses_.push_back(sendResponse);
    }

    /// Revokes or extends a lease.
    void changeLease(const transport::Request& r, const Answer& answer) {
        const auto idAt = kLeasePrefix.size();
        const auto lease = number(r.path.substr(idAt, r.path.find('/', idAt) - idAt));
        if (!store.leases.contains(lease)) return answer(404, MessagePacker().map(0).str());
        auto& deadlines = primary_.leaseDeadlines_;
        if (r.method == "DELETE") {
            deadlines.erase(lease);
            store.revokeLease(lease);
            answerWatches();
        } else if (const auto found = deadlines.find(lease); found != deadlines.end()) {
            found->second.at = Clock::now() + found->second.life;
        }
        answer(200, MessagePacker().map(0).str());
    }

    void transaction(const transport::Request& r, const Answer& answer) {
        const auto handle = protocol::unpackBody(r.body);
        const protocol::MapReader f(handle.get());
        std::vector<protocol::KeyCondition> conditions;
        std::vector<protocol::KeyWrite> writes;
        f.each("when", [&](const msgpack::object& o) {
            const protocol::MapReader c(o);
            conditions.push_back({c.text("path"), c.integer("mark")});
        });
        f.each("apply", [&](const msgpack::object& o) {
            const protocol::MapReader w(o);
            if (const auto key = w.maybeText("remove")) {
                writes.push_back({*key, std::nullopt, 0});
            } else {
                MessagePacker p;
                p.value(w.need("data"));
                writes.push_back({w.text("write"), p.str(), w.integerOr("mooring", 0)});
            }
        });
        const auto refuse = [&](int status, const char* why) {
            answer(status, MessagePacker().map(1).field("error", why).str());
        };
        for (const auto& w : writes)
            if (w.lease && !store.leases.contains(w.lease)) return refuse(400, "no such lease");
        if (const auto refusal = store.refusal(conditions, writes))
            return *refusal == storage::TransactionStatus::tooLarge ? refuse(400, "too large")
                                                                    : refuse(429, "too many changes");
        std::vector<std::string> failed;
        const auto revision = store.transact(conditions, writes, failed);
        answerWatches();
        if (dropWriteResponses) return;
        if (revision == 0)
            return answer(
                409, MessagePacker().map(2).field("failed", failed).field("chart", store.revision).str());
        answer(200, MessagePacker().map(1).field("chart", revision).str());
    }

    void page(const transport::Request& r, const Answer& answer) {
        const auto prefix = parameter(r.query, "under"), after = parameter(r.query, "since");
        std::vector<const std::pair<const std::string, Store::Value>*> entries;
        bool more = false;
        for (const auto& entry : store.values) {
            if (!entry.first.starts_with(prefix) || entry.first <= after) continue;
            if (entries.size() >= pageEntries) {
                more = true;
                break;
            }
            entries.push_back(&entry);
        }
        MessagePacker p;
        p.map(3).key("entries").list(entries.size());
        for (const auto* e : entries)
            p.map(3).field("path", e->first).key("data").raw(e->second.data).field("mark", e->second.version);
        answer(200, p.field("hasNext", more).field("chart", store.revision).str());
    }

    std::span<const Store::Event> eventsAfter(std::uint64_t revision) const {
        const auto first =
            std::partition_point(store.log.begin(), store.log.end(),
                                 [&](const Store::Event& event) { return event.version <= revision; });
        return {first, store.log.end()};
    }
    void watch(const Watch& pendingWatch) {
        const auto since = number(parameter(pendingWatch.query, "since"));
        const bool waits = number(parameter(pendingWatch.query, "blockMs")) > 0;
        if (waits && eventsAfter(since).empty())
            watches_.push_back(pendingWatch);
        else
            answerWatch(pendingWatch);
    }
    void answerWatch(const Watch& pendingWatch) {
        const auto events = eventsAfter(number(parameter(pendingWatch.query, "since")));
        MessagePacker p;
        p.map(2).field("chart", store.revision).key("log").list(events.size());
        for (const auto& e : events) {
            p.map(e.data ? 3 : 2).field(e.data ? "write" : "remove", e.key);
            if (e.data) p.key("data").raw(*e.data);
            p.field("mark", e.version);
        }
        pendingWatch.answer(200, p.str());
    }

    transport::HttpServer server_;
    std::vector<Watch> watches_;
    std::vector<std::function<void()>> heldLeaseResponses_;
    StoreStub& primary_;                 // the store's first endpoint; only its members below are used
    std::vector<StoreStub*> endpoints_;  // all endpoints of the store, including this one
    std::map<std::uint64_t, Deadline> leaseDeadlines_;
};

}  // namespace burlpoint::tests
