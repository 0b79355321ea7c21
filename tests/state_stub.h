#pragma once

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "protocol/messages.h"
#include "storage/store.h"
#include "transport/http.h"

namespace burlpoint::tests {

/// What the stand-in takes, until a test lowers it. Changes are counted per step of the test, which sets
/// `changes` anew; there is no clock in it.
struct StoreLimits {
    std::size_t ops = 1'000'000, valueBytes = 64 * 1024;
    double changes = 1e9;
};

/// A small stand-in for the state service, from PROTOCOL: keys with versions, conditional transactions, a log
/// of changes. Leases are ended by the test. The history test uses the store alone; others talk to it by
/// HTTP.
class Store {
  public:
    struct Value {
        std::string data;
        std::uint64_t version = 0, lease = 0;
    };
    struct Event {
        std::string key;
        std::optional<std::string> data;
        std::uint64_t version = 0;
    };

    /// 0 if a condition failed (the keys are in `failed`), else the new revision.
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
    /// Why a transaction is not even looked at, if so: its size first, then the rate.
    std::optional<storage::TxnStatus> refusal(const std::vector<protocol::KeyCondition>& conditions,
                                              const std::vector<protocol::KeyWrite>& writes) {
        bool large = writes.size() > limits.ops || conditions.size() > 4 * limits.ops ||
                     protocol::jsonBytes(protocol::encodeTransaction(conditions, writes)) > 64 * 1024;
        for (const auto& w : writes) large |= w.value && protocol::jsonBytes(*w.value) > limits.valueBytes;
        if (large) return ++tooLarge, storage::TxnStatus::tooLarge;
        const auto count = static_cast<double>(writes.size());
        if (count > limits.changes) return ++tooMany, storage::TxnStatus::tooMany;
        limits.changes -= count;
        return std::nullopt;
    }
    void endLease(std::uint64_t lease) {
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
    StoreLimits limits;
    std::size_t tooLarge = 0, tooMany = 0;  // refusals so far

  private:
    void change(const std::string& key, const std::optional<std::string>& data, std::uint64_t lease) {
        log.push_back({key, data, revision});
        if (data)
            values[key] = {*data, revision, lease};
        else
            values.erase(key);
    }
};

class StateStub {
  public:
    /// With `other`, one more way to what that one stores, which may fail for itself.
    explicit StateStub(asio::io_context& io, StateStub* other = nullptr)
        : store(other ? other->store : own_),
          server_(io, transport::parseEndpoint("127.0.0.1:0"), {},
                  [this](transport::Request&& r, transport::Reply reply) { serve(r, reply); }),
          other_(other) {
        if (other) other->other_ = this;
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server_.localEndpoint().port()); }

  private:
    Store own_;

  public:
    Store& store;
    bool outage = false;         // answers 503
    bool readsFail = false;      // and this to reads alone
    bool holdWatches = false;    // open watches see nothing of what changes
    bool swallowWrites = false;  // carries transactions out and answers none of them
    bool holdLeases = false;     // makes leases and does not answer until release()
    unsigned pageEntries = 1000;

    void release() {
        holdLeases = false;
        for (auto& made : std::exchange(held_, {})) made();
    }

    /// Lets open watches see what has changed; during an outage they stay open.
    void wake() {
        wakeOwn();
        if (other_) other_->wakeOwn();
    }

  private:
    using Packer = protocol::Packer;

    void wakeOwn() {
        if (outage || holdWatches) return;
        for (auto& check : std::exchange(watches_, {})) check();
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
        const auto answer = [reply](int status, std::string body) {
            transport::Response response;
            response.status = status;
            response.body = std::move(body);
            reply(response);
        };
        if (outage || (readsFail && (r.path == "/kv" || r.path == "/watch"))) return answer(503, "");
        if (r.path == "/multi") return transaction(r, answer);
        if (r.path == "/kv") return page(r, answer);
        if (r.path == "/watch") return watch(r.query, answer);
        if (r.path == "/holds") {
            store.leases[++store.nextLease] = true;
            const auto made = [answer, lease = store.nextLease] {
                answer(200, Packer().map(1).field("mooring", lease).take());
            };
            if (!holdLeases) return made();
            held_.push_back(made);
            return;
        }
        if (r.path.starts_with("/holds/")) {
            const auto lease = number(r.path.substr(7, r.path.find('/', 7) - 7));
            if (!store.leases.contains(lease)) return answer(404, Packer().map(0).take());
            if (r.method == "DELETE") {
                store.endLease(lease);
                wake();
            }
            return answer(200, Packer().map(0).take());
        }
        answer(400, "");
    }

    template <typename Answer>
    void transaction(const transport::Request& r, Answer answer) {
        const auto handle = protocol::unpackBody(r.body);
        const protocol::Fields f(handle.get());
        std::vector<protocol::KeyCondition> conditions;
        std::vector<protocol::KeyWrite> writes;
        f.each("when", [&](const msgpack::object& o) {
            const protocol::Fields c(o);
            conditions.push_back({c.text("path"), c.integer("mark")});
        });
        f.each("apply", [&](const msgpack::object& o) {
            const protocol::Fields w(o);
            if (const auto key = w.maybeText("remove")) {
                writes.push_back({*key, std::nullopt, 0});
            } else {
                Packer p;
                p.value(w.need("data"));
                writes.push_back({w.text("write"), p.take(), w.integerOr("mooring", 0)});
            }
        });
        const auto noteRefusal = [&](int status, const char* why) {
            answer(status, Packer().map(1).field("error", why).take());
        };
        for (const auto& w : writes)
            if (w.lease && !store.leases.contains(w.lease)) return noteRefusal(400, "no such lease");
        if (const auto refusal = store.refusal(conditions, writes))
            return *refusal == storage::TxnStatus::tooLarge ? noteRefusal(400, "too large")
                                                            : noteRefusal(429, "too many changes");
        std::vector<std::string> failed;
        const auto revision = store.transact(conditions, writes, failed);
        wake();
        if (swallowWrites) return;
        if (revision == 0)
            return answer(409, Packer().map(2).field("failed", failed).field("chart", store.revision).take());
        answer(200, Packer().map(1).field("chart", revision).take());
    }

    template <typename Answer>
    void page(const transport::Request& r, Answer answer) {
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
        Packer p;
        p.map(3).key("entries").list(entries.size());
        for (const auto* e : entries)
            p.map(3).field("path", e->first).key("data").raw(e->second.data).field("mark", e->second.version);
        answer(200, p.field("hasNext", more).field("chart", store.revision).take());
    }

    void watch(const std::string& query, const std::function<void(int, std::string)>& answer) {
        const auto since = number(parameter(query, "since"));
        std::vector<const Store::Event*> events;
        for (const auto& event : store.log)
            if (event.version > since) events.push_back(&event);
        if (events.empty() && number(parameter(query, "blockMs")) > 0) {
            watches_.push_back([this, query, answer] { watch(query, answer); });
            return;
        }
        Packer p;
        p.map(2).field("chart", store.revision).key("log").list(events.size());
        for (const auto* e : events) {
            p.map(e->data ? 3 : 2).field(e->data ? "write" : "remove", e->key);
            if (e->data) p.key("data").raw(*e->data);
            p.field("mark", e->version);
        }
        answer(200, p.take());
    }

    transport::Server server_;
    std::vector<std::function<void()>> watches_, held_;
    StateStub* other_;
};

}  // namespace burlpoint::tests
