#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

#include "base/clock.h"
#include "bookkeeping/state_replica.h"
#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"

using namespace burlpoint;
using namespace burlpoint::bookkeeping;
using protocol::MapReader;
using protocol::MessagePacker;
using protocol::Priority;
using storage::TerminalState;

namespace {

std::string idOf(std::size_t n) { return "wk-" + std::to_string(100 + n); }

/// A stored change of one key.
struct StoredChange {
    std::string key, value;
    std::uint64_t version = 0;

    void applyTo(StateReplica& replica) const {
        const auto handle = protocol::unpackBody(value);
        std::vector<Change> changes;
        ASSERT_TRUE(replica.apply({key, &handle.get(), version}, changes));
    }
};

protocol::JobSpec spec(std::size_t n, std::vector<std::string> dependencies = {}) {
    protocol::JobSpec s;
    s.id = idOf(n);
    s.jobClass = s.team = s.image = "x";
    s.tasks = 2;
    s.dependencies = std::move(dependencies);
    return s;
}

StoredChange record(const protocol::JobSpec& s, TerminalState terminalState, std::uint64_t version,
                    std::uint64_t endedMs = 0) {
    return {storage::keys::job(s.id), storage::encodeJob({s, terminalState, 1000 * version, 0, 4, endedMs}),
            version};
}

/// A record as the previous version wrote it, with its fields and no others.
std::string recordOfPreviousVersion(const std::string& id, unsigned terminalState) {
    MessagePacker p;
    p.map(24).field("uid", id).field("berth", "c").field("crew", "t").field("rig", "sweep");
    p.field("tide", "low").field("hands", 3u).field("cores", 1.5).field("accelerators", 0.0);
    p.field("ramGb", 2.0).field("cargo", "i").field("pullGb", 1.0).nil("hulls").nil("quay");
    p.field("together", false).field("apart", false).field("driftwood", true).field("voyageS", 15.0);
    p.field("logbookS", 0.0).field("stowS", 0.0).nil("sailingS").field("final", terminalState);
    return p.field("accepted_ms", 7000u).field("tasks_done", 0u).field("chunk_tasks", 16384u).take();
}

/// Jobs with dependencies, and the definition of what follows from them: each result is computed from all
/// jobs anew.
struct Graph {
    std::vector<protocol::JobSpec> specs;       // each depends only on some before it
    std::vector<TerminalState> terminalStates;  // as recorded
    std::vector<std::uint64_t> ended;           // ms, of those done
    std::vector<Priority> effectivePriority;    // of the open ones, by prioritize()
    std::vector<std::optional<std::uint64_t>> due;

    explicit Graph(std::size_t count)
        : terminalStates(count, TerminalState::none), ended(count, 0), effectivePriority(count), due(count) {}

    std::size_t count() const { return terminalStates.size(); }
    bool dependsOn(std::size_t n, std::size_t other) const {
        const auto& ids = specs[n].dependencies;
        return std::find(ids.begin(), ids.end(), idOf(other)) != ids.end();
    }
    /// Cancelled by itself or with a dependency.
    bool cancelled(std::size_t n) const {
        std::vector<bool> out(count());
        for (std::size_t k = 0; k <= n; ++k) {
            out[k] = terminalStates[k] == TerminalState::cancelled;
            for (std::size_t m = 0; m < k; ++m) out[k] = out[k] || (out[m] && dependsOn(k, m));
        }
        return out[n];
    }
    bool ready(std::size_t n) const {
        for (std::size_t m = 0; m < n; ++m)
            if (dependsOn(n, m) && terminalStates[m] != TerminalState::done) return false;
        return true;
    }
    std::uint64_t readyMs(std::size_t n, std::uint64_t acceptedMs) const {
        auto latest = acceptedMs;
        for (std::size_t m = 0; m < n; ++m)
            if (dependsOn(n, m)) latest = std::max(latest, ended[m]);
        return latest;
    }
    /// Sets the effective priority and due time of an open job, after those of its dependents.
    void prioritize(std::size_t n, std::uint64_t acceptedMs) {
        effectivePriority[n] = specs[n].priority;
        if (specs[n].deadline) due[n] = acceptedMs + milliseconds(*specs[n].deadline);
        for (std::size_t k = n + 1; k < count(); ++k) {
            if (!dependsOn(k, n) || cancelled(k) || terminalStates[k] == TerminalState::done) continue;
            effectivePriority[n] = std::max(effectivePriority[n], effectivePriority[k]);
            if (!due[k]) continue;
            const auto work = std::min(milliseconds(specs[k].estimatedRunTime), *due[k]);
            due[n] = std::min(due[n].value_or(*due[k]), *due[k] - work);
        }
    }

  private:
    static std::uint64_t milliseconds(Seconds time) {
        return static_cast<std::uint64_t>(time.count() * 1000);
    }
};

Graph anyGraph() {
    Graph graph(*rc::gen::inRange<std::size_t>(1, 14));
    for (std::size_t n = 0; n < graph.count(); ++n) {
        std::vector<std::string> dependencies;
        for (std::size_t m = 0; m < n; ++m)
            if (*rc::gen::inRange(0, 3) == 0) dependencies.push_back(idOf(m));
        auto s = spec(n, dependencies);
        s.priority = *rc::gen::element(Priority::low, Priority::normal, Priority::high);
        s.estimatedRunTime = Seconds(*rc::gen::inRange(0, 50));
        if (*rc::gen::inRange(0, 3) == 0) s.deadline = Seconds(*rc::gen::inRange(1, 500));
        graph.specs.push_back(s);
    }
    return graph;
}

/// The replica agrees with the definition.
void checkAgrees(Graph graph, StateReplica& replica) {
    replica.updateEffectivePriorities();
    for (std::size_t n = graph.count(); n-- > 0;) {
        auto* job = replica.find(idOf(n));
        RC_ASSERT((job->terminalState == TerminalState::cancelled) == graph.cancelled(n));
        RC_ASSERT((job->terminalState == TerminalState::done) ==
                  (graph.terminalStates[n] == TerminalState::done));
        if (job->terminalState != TerminalState::none) continue;
        RC_ASSERT(job->ready() == graph.ready(n));
        if (job->ready()) RC_ASSERT(job->readyMs == graph.readyMs(n, job->acceptedMs));
        graph.prioritize(n, job->acceptedMs);
        RC_ASSERT(job->effectivePriority == graph.effectivePriority[n]);
        RC_ASSERT(job->dueAtMs == graph.due[n]);
    }
}

/// A controller that starts now and reads all keys, in any order, agrees with the definition.
void checkLateReader(const Graph& graph) {
    StateReplica late;
    std::vector<std::size_t> order(graph.count());
    for (std::size_t k = 0; k < order.size(); ++k) order[k] = k;
    for (std::size_t k = order.size(); k > 1; --k)
        std::swap(order[k - 1], order[*rc::gen::inRange<std::size_t>(0, k)]);
    for (const auto k : order) {
        const auto version = graph.terminalStates[k] == TerminalState::none ? k + 1 : 101 + k;
        record(graph.specs[k], graph.terminalStates[k], version, graph.ended[k]).applyTo(late);
    }
    checkAgrees(graph, late);
}

}  // namespace

// A graph of jobs whose records are read in any order and whose ends come in between, compared with the
// definition: a job is ready when all its dependencies are done, cancelled when one of them is, and has at
// least the priority of its dependents.
RC_GTEST_PROP(JobDependencies, RecordsReadInAnyOrderThenTheReplicaMatchesTheDefinition, ()) {
    auto graph = anyGraph();
    std::uint64_t version = 100;
    StateReplica live;  // reads each change as it comes
    for (std::size_t n = 0; n < graph.count(); ++n) {
        record(graph.specs[n], TerminalState::none, n + 1).applyTo(live);
        if (*rc::gen::inRange(0, 2) == 0) live.updateEffectivePriorities();
    }
    for (std::size_t step = 0; step < 2 * graph.count(); ++step) {
        const auto n = *rc::gen::inRange<std::size_t>(0, graph.count());
        if (graph.terminalStates[n] != TerminalState::none || graph.cancelled(n)) continue;
        const bool ends = graph.ready(n) && *rc::gen::inRange(0, 4) != 0;
        graph.terminalStates[n] = ends ? TerminalState::done : TerminalState::cancelled;
        graph.ended[n] = ends ? 500'000 + step : 0;
        record(graph.specs[n], graph.terminalStates[n], ++version, graph.ended[n]).applyTo(live);
        checkAgrees(graph, live);
        checkLateReader(graph);
    }
}

// A chain that would overflow the stack if it were followed by recursion, and a job with many dependents.
TEST(JobDependencies, LongChainsAndWideFansThenPrioritiesAndCancellationsPropagate) {
    constexpr std::size_t kLong = 200'000;
    StateReplica replica;
    for (std::size_t n = 0; n < kLong; ++n)
        record(spec(n, n ? std::vector{idOf(n - 1)} : std::vector<std::string>{}), TerminalState::none, n + 1)
            .applyTo(replica);
    auto last = spec(kLong, {idOf(kLong - 1)});
    last.priority = Priority::high;
    record(last, TerminalState::none, kLong + 1).applyTo(replica);
    replica.updateEffectivePriorities();
    EXPECT_EQ(replica.find(idOf(0))->effectivePriority, Priority::high);
    record(spec(0), TerminalState::cancelled, kLong + 2).applyTo(replica);
    EXPECT_EQ(replica.find(idOf(kLong))->terminalState, TerminalState::cancelled);
    EXPECT_EQ(replica.cancelled().size(), 1u);  // one record stands for them all

    StateReplica fan;
    record(spec(0), TerminalState::none, 1).applyTo(fan);
    for (std::size_t n = 1; n < 20'000; ++n)
        record(spec(n, {idOf(0)}), TerminalState::none, n + 1).applyTo(fan);
    auto urgent = spec(20'000, {idOf(0)});
    urgent.priority = Priority::high;
    record(urgent, TerminalState::none, 20'001).applyTo(fan);
    fan.updateEffectivePriorities();
    EXPECT_EQ(fan.find(idOf(0))->effectivePriority, Priority::high);
    record(urgent, TerminalState::cancelled, 20'002).applyTo(fan);
    fan.updateEffectivePriorities();
    EXPECT_EQ(fan.find(idOf(0))->effectivePriority, Priority::normal);
    record(spec(0), TerminalState::done, 20'003, 5).applyTo(fan);
    EXPECT_TRUE(fan.find(idOf(19'999))->ready());
}

// The forms of the dependencies field: none in three ways, a list of ids, and anything else.
TEST(JobDependencies, DependenciesFieldThenOnlyListsOfIdsAreAccepted) {
    const auto decoded = [](const std::function<void(MessagePacker&)>& field) {
        MessagePacker p;
        const auto plain = recordOfPreviousVersion("wk-1", 0);
        const auto handle = protocol::unpackBody(plain);
        p.map(handle.get().via.map.size + 1);
        for (const auto& pair : handle.get().via.map) p.value(pair.key).value(pair.val);
        p.key("towlines");
        field(p);
        const auto body = p.take();
        return protocol::decodeSpec(protocol::unpackBody(body).get()).dependencies;
    };
    using Ids = std::vector<std::string>;
    EXPECT_EQ(decoded([](MessagePacker& p) { p.nilValue(); }), Ids{});
    EXPECT_EQ(decoded([](MessagePacker& p) { p.list(0); }), Ids{});
    EXPECT_EQ(decoded([](MessagePacker& p) { p.value(Ids{"wk-2", "wk-3", "wk-2"}); }), (Ids{"wk-2", "wk-3"}));
    EXPECT_THROW(decoded([](MessagePacker& p) { p.value("wk-2"); }), protocol::MalformedMessage);
    EXPECT_THROW(decoded([](MessagePacker& p) { p.value(Ids{"wk-2", "m-3"}); }), protocol::MalformedMessage);
    EXPECT_THROW(decoded([](MessagePacker& p) { p.list(1).value(7); }), protocol::MalformedMessage);
    EXPECT_THROW(decoded([](MessagePacker& p) { p.map(0); }), protocol::MalformedMessage);
}

// Each version reads what the other wrote.
TEST(JobDependencies, RecordsOfEitherVersionThenTheOtherReadsThem) {
    const auto old = recordOfPreviousVersion("wk-1", 1);
    const auto read = storage::decodeJob(protocol::unpackBody(old).get());
    EXPECT_EQ(read.terminalState, TerminalState::done);
    EXPECT_TRUE(read.spec.dependencies.empty());
    EXPECT_EQ(read.endedMs, 0u);
    StateReplica replica;
    StoredChange{storage::keys::job("wk-1"), old, 5}.applyTo(replica);
    auto next = spec(0, {"wk-1"});
    record(next, TerminalState::none, 6).applyTo(replica);
    EXPECT_TRUE(replica.find(next.id)->ready());  // since it was accepted, as the end of the other is unknown
    EXPECT_EQ(replica.find(next.id)->readyMs, 6000u);

    // The previous version reads each of its fields by name and ignores others.
    next.cpus = 1.5;
    next.memoryGb = 2;
    next.imageGb = 1;
    next.estimatedRunTime = Seconds(15);
    const auto value = storage::encodeJob({next, TerminalState::done, 9, 2, 4, 77});
    const auto handle = protocol::unpackBody(value);
    const MapReader f(handle.get());
    const auto formerValue = recordOfPreviousVersion("wk-1", 0);
    const auto former = protocol::unpackBody(formerValue);
    for (const auto& pair : former.get().via.map) {
        const std::string_view name(pair.key.via.str.ptr, pair.key.via.str.size);
        const auto* field = f.find(name);
        if (name == "hulls" || name == "quay" || name == "sailingS") {
            EXPECT_EQ(field, nullptr) << name;
            continue;
        }
        ASSERT_NE(field, nullptr) << name;
        EXPECT_EQ(field->type, pair.val.type) << name;
    }
    EXPECT_EQ(f.integer("final"), 1u);
    EXPECT_EQ(f.integer("accepted_ms"), 9u);
    EXPECT_EQ(f.integer("chunk_tasks"), 4u);
}
