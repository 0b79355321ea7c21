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

/// A change of one key in the key-value store.
struct StoredChange {
    std::string key, value;
    std::uint64_t version = 0;

    void applyTo(StateReplica& replica) const {
        const auto handle = protocol::unpackBody(value);
        std::vector<ReplicaChange> changes;
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

/// A job's record as the previous version of this program wrote it, with exactly its fields.
std::string recordOfPreviousVersion(const std::string& id, unsigned terminalState) {
    MessagePacker p;
    p.map(24).field("uid", id).field("berth", "c").field("crew", "t").field("rig", "sweep");
    p.field("tide", "low").field("hands", 3u).field("cores", 1.5).field("accelerators", 0.0);
    p.field("ramGb", 2.0).field("cargo", "i").field("pullGb", 1.0).nil("hulls").nil("quay");
    p.field("together", false).field("apart", false).field("driftwood", true).field("voyageS", 15.0);
    p.field("logbookS", 0.0).field("stowS", 0.0).nil("sailingS").field("final", terminalState);
    return p.field("accepted_ms", 7000u).field("tasks_done", 0u).field("chunk_tasks", 16384u).str();
}

/// A reference model of jobs with dependencies. Computes each result from all jobs, without any incremental
/// state.
struct DependencyModel {
    std::vector<protocol::JobSpec> specs;       // jobs depend only on jobs before them
    std::vector<TerminalState> terminalStates;  // as in the jobs' records
    std::vector<std::uint64_t> ended;           // ms since 1970, for jobs that are done
    std::vector<Priority> effectivePriority;    // of open jobs, set by prioritize()
    std::vector<std::optional<std::uint64_t>> due;

    explicit DependencyModel(std::size_t count)
        : terminalStates(count, TerminalState::none), ended(count, 0), effectivePriority(count), due(count) {}

    std::size_t count() const { return terminalStates.size(); }
    bool dependsOn(std::size_t n, std::size_t other) const {
        const auto& ids = specs[n].dependencies;
        return std::find(ids.begin(), ids.end(), idOf(other)) != ids.end();
    }
    /// True if the job is cancelled by itself or with a dependency.
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
    /// Sets the effective priority and due time of an open job. Those of its dependents must have been set.
    void prioritize(std::size_t n, std::uint64_t acceptedMs) {
        effectivePriority[n] = specs[n].priority;
        if (specs[n].deadline) due[n] = acceptedMs + milliseconds(*specs[n].deadline);
        for (std::size_t k = n + 1; k < count(); ++k) {
            if (!dependsOn(k, n) || cancelled(k) || terminalStates[k] == TerminalState::done) continue;
            effectivePriority[n] = std::max(effectivePriority[n], effectivePriority[k]);
            if (!due[k]) continue;
            const auto runTime = std::min(milliseconds(specs[k].estimatedRunTime), *due[k]);
            due[n] = std::min(due[n].value_or(*due[k]), *due[k] - runTime);
        }
    }

  private:
    static std::uint64_t milliseconds(Seconds time) {
        return static_cast<std::uint64_t>(time.count() * 1000);
    }
};

DependencyModel randomModel() {
    DependencyModel model(*rc::gen::inRange<std::size_t>(1, 14));
    for (std::size_t n = 0; n < model.count(); ++n) {
        std::vector<std::string> dependencies;
        for (std::size_t m = 0; m < n; ++m)
            if (*rc::gen::inRange(0, 3) == 0) dependencies.push_back(idOf(m));
        auto s = spec(n, dependencies);
        s.priority = *rc::gen::element(Priority::low, Priority::normal, Priority::high);
        s.estimatedRunTime = Seconds(*rc::gen::inRange(0, 50));
        if (*rc::gen::inRange(0, 3) == 0) s.deadline = Seconds(*rc::gen::inRange(1, 500));
        model.specs.push_back(s);
    }
    return model;
}

/// Checks that the replica matches the reference model.
void checkMatchesModel(DependencyModel model, StateReplica& replica) {
    replica.updateEffectivePriorities();
    for (std::size_t n = model.count(); n-- > 0;) {
        auto* job = replica.find(idOf(n));
        RC_ASSERT((job->terminalState == TerminalState::cancelled) == model.cancelled(n));
        RC_ASSERT((job->terminalState == TerminalState::done) ==
                  (model.terminalStates[n] == TerminalState::done));
        if (job->terminalState != TerminalState::none) continue;
        RC_ASSERT(job->ready() == model.ready(n));
        if (job->ready()) RC_ASSERT(job->readyMs == model.readyMs(n, job->acceptedMs));
        model.prioritize(n, job->acceptedMs);
        RC_ASSERT(job->effectivePriority == model.effectivePriority[n]);
        RC_ASSERT(job->dueAtMs == model.due[n]);
    }
}

/// Checks that the replica of a controller that starts now and reads all keys, in any order, matches the
/// reference model.
void checkReadInAnyOrder(const DependencyModel& model) {
    StateReplica reader;
    std::vector<std::size_t> order(model.count());
    for (std::size_t k = 0; k < order.size(); ++k) order[k] = k;
    for (std::size_t k = order.size(); k > 1; --k)
        std::swap(order[k - 1], order[*rc::gen::inRange<std::size_t>(0, k)]);
    for (const auto k : order) {
        const auto version = model.terminalStates[k] == TerminalState::none ? k + 1 : 101 + k;
        record(model.specs[k], model.terminalStates[k], version, model.ended[k]).applyTo(reader);
    }
    checkMatchesModel(model, reader);
}

}  // namespace

// Compares the replica with a reference model while jobs with random dependencies end one after the other,
// for a replica that reads each change and for one that reads all records in random order. A job is ready
// when all its dependencies are done, cancelled when one of them is cancelled, and has at least the priority
// of its dependents.
RC_GTEST_PROP(JobDependencies, RecordsReadInAnyOrderThenTheReplicaMatchesTheModel, ()) {
    auto model = randomModel();
    std::uint64_t version = 100;
    StateReplica live;  // reads each change when it is made
    for (std::size_t n = 0; n < model.count(); ++n) {
        record(model.specs[n], TerminalState::none, n + 1).applyTo(live);
        if (*rc::gen::inRange(0, 2) == 0) live.updateEffectivePriorities();
    }
    for (std::size_t step = 0; step < 2 * model.count(); ++step) {
        const auto n = *rc::gen::inRange<std::size_t>(0, model.count());
        if (model.terminalStates[n] != TerminalState::none || model.cancelled(n)) continue;
        const bool ends = model.ready(n) && *rc::gen::inRange(0, 4) != 0;
        model.terminalStates[n] = ends ? TerminalState::done : TerminalState::cancelled;
        model.ended[n] = ends ? 500'000 + step : 0;
        record(model.specs[n], model.terminalStates[n], ++version, model.ended[n]).applyTo(live);
        checkMatchesModel(model, live);
        checkReadInAnyOrder(model);
    }
}

// Covers a chain so long that recursion along it would overflow the stack, and a job with many dependents.
TEST(JobDependencies, LongChainAndManyDependentsThenPrioritiesAndCancellationsPropagate) {
    constexpr std::size_t kChainLength = 200'000;
    StateReplica replica;
    for (std::size_t n = 0; n < kChainLength; ++n)
        record(spec(n, n ? std::vector{idOf(n - 1)} : std::vector<std::string>{}), TerminalState::none, n + 1)
            .applyTo(replica);
    auto last = spec(kChainLength, {idOf(kChainLength - 1)});
    last.priority = Priority::high;
    record(last, TerminalState::none, kChainLength + 1).applyTo(replica);
    replica.updateEffectivePriorities();
    EXPECT_EQ(replica.find(idOf(0))->effectivePriority, Priority::high);
    record(spec(0), TerminalState::cancelled, kChainLength + 2).applyTo(replica);
    EXPECT_EQ(replica.find(idOf(kChainLength))->terminalState, TerminalState::cancelled);
    EXPECT_EQ(replica.cancelled().size(), 1u);  // only the job that a user cancelled

    StateReplica wideReplica;
    record(spec(0), TerminalState::none, 1).applyTo(wideReplica);
    for (std::size_t n = 1; n < 20'000; ++n)
        record(spec(n, {idOf(0)}), TerminalState::none, n + 1).applyTo(wideReplica);
    auto urgent = spec(20'000, {idOf(0)});
    urgent.priority = Priority::high;
    record(urgent, TerminalState::none, 20'001).applyTo(wideReplica);
    wideReplica.updateEffectivePriorities();
    EXPECT_EQ(wideReplica.find(idOf(0))->effectivePriority, Priority::high);
    record(urgent, TerminalState::cancelled, 20'002).applyTo(wideReplica);
    wideReplica.updateEffectivePriorities();
    EXPECT_EQ(wideReplica.find(idOf(0))->effectivePriority, Priority::normal);
    record(spec(0), TerminalState::done, 20'003, 5).applyTo(wideReplica);
    EXPECT_TRUE(wideReplica.find(idOf(19'999))->ready());
}

// The dependencies field may be nil, an empty list or a list of job ids. Anything else is malformed.
TEST(JobDependencies, DependenciesFieldThenOnlyListsOfIdsAreAccepted) {
    const auto decoded = [](const std::function<void(MessagePacker&)>& field) {
        MessagePacker p;
        const auto plain = recordOfPreviousVersion("wk-1", 0);
        const auto handle = protocol::unpackBody(plain);
        p.map(handle.get().via.map.size + 1);
        for (const auto& pair : handle.get().via.map) p.value(pair.key).value(pair.val);
        p.key("towlines");
        field(p);
        const auto body = p.str();
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

// During an upgrade, the previous version and this one must each read the records that the other wrote.
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
    EXPECT_TRUE(replica.find(next.id)->ready());  // since its acceptance: the record has no time of the end
    EXPECT_EQ(replica.find(next.id)->readyMs, 6000u);

    // The previous version reads each of its fields by name and ignores others.
    next.cpus = 1.5;
    next.memoryGb = 2;
    next.imageGb = 1;
    next.estimatedRunTime = Seconds(15);
    const auto value = storage::encodeJob({next, TerminalState::done, 9, 2, 4, 77});
    const auto handle = protocol::unpackBody(value);
    const MapReader f(handle.get());
    const auto previousValue = recordOfPreviousVersion("wk-1", 0);
    const auto previousRecord = protocol::unpackBody(previousValue);
    for (const auto& pair : previousRecord.get().via.map) {
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
