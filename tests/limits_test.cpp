#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/clock.h"
#include "coordination/controller/leader.h"
#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"
#include "store_stub.h"

using namespace burlpoint;
using namespace burlpoint::coordination;
using namespace std::chrono_literals;
using protocol::JobSpec;
using storage::TerminalState;
using tests::Store;

namespace {

constexpr std::uint32_t kOldChunk = 16'384;  // tasks, as chosen for values of 8 KiB

JobSpec arrayOf(const std::string& id, std::uint32_t tasks) {
    JobSpec s;
    s.id = id;
    s.jobClass = s.image = "c";
    s.team = "t";
    s.tasks = tasks;
    s.cpus = 1;
    return s;
}

/// A record of 3 KiB, which one limit allows and the next does not.
JobSpec withLongTexts(const std::string& id) {
    auto s = arrayOf(id, 2);
    s.types.emplace();
    for (int i = 0; i < 16; ++i) s.types->push_back(std::string(180, static_cast<char>('a' + i)));
    return s;
}

/// The bits that the version before this one finds, by its own rules: a key whose whole rest is a number is a
/// chunk, whose text begins at the chunk's first task; any other is passed over.
std::vector<bool> readByTheEarlierVersion(const Store& store, const JobSpec& spec, std::uint32_t chunkTasks) {
    std::vector<bool> bits(spec.tasks);
    const auto prefix = storage::keys::job(spec.id) + "/";
    for (const auto& [key, value] : store.values) {
        if (!key.starts_with(prefix)) continue;
        const auto rest = key.substr(prefix.size());
        std::size_t chunk = 0;
        const auto [stop, error] = std::from_chars(rest.data(), rest.data() + rest.size(), chunk);
        if (error != std::errc() || stop != rest.data() + rest.size()) continue;
        if (chunk >= (spec.tasks + chunkTasks - 1) / chunkTasks) continue;
        const auto handle = protocol::unpackBody(value.data);
        if (handle.get().type != msgpack::type::STR) throw protocol::MalformedMessage("a bitmap is not text");
        auto at = chunk * chunkTasks;
        for (const char c : handle.get().as<std::string>()) {
            const bool digit = c >= '0' && c <= '9';
            if (!digit && !(c >= 'a' && c <= 'f'))
                throw protocol::MalformedMessage("a bitmap has a wrong digit");
            const auto four = static_cast<unsigned>(digit ? c - '0' : c - 'a' + 10);
            for (unsigned bit = 0; bit < 4; ++bit, ++at)
                if (at < std::min<std::size_t>((chunk + 1) * chunkTasks, spec.tasks) && (four >> bit & 1u))
                    bits[at] = true;
        }
    }
    return bits;
}

/// A leader over the stand-in of the key-value store, whose answers come at once.
struct Cluster {
    protocol::Settings settings;
    protocol::Policy policy;
    Store store;
    bookkeeping::StateReplica replica;
    std::unique_ptr<Leader> leader;
    std::size_t read = 0;
    std::uint64_t sequence = 0, fencingToken = 5;
    Time now{1000s};
    double changes = 1e9;  // a second
    bool resigned = false;

    Cluster() {
        settings.name = "one";
        settings.zones = {"z"};
        settings.teams = {{"t", 0, 0, 0, 0}};
        settings.workerLease = Seconds(600);
        settings.maxValueKb = 8;
        settings.maxTransactionWrites = 32;
        settings.storeWritesPerSecond = 40;
        put(storage::keys::kToken, storage::encodeToken(fencingToken));
        put(storage::keys::kTypes,
            protocol::encodeMachineTypes({{"plain", 8, 0, 32, 50, 1, 1, 0.3, Seconds(10), {"z"}}}));
        put(storage::keys::machine("m1"), storage::encodeMachine({"m1", "plain", "z", false}));
    }
    void put(const std::string& key, const std::string& value) {
        std::vector<std::string> failed;
        store.transact({}, {{key, value, 0}}, failed);
    }
    void accept(const JobSpec& spec, std::uint32_t chunkTasks) {
        put(storage::keys::job(spec.id), storage::encodeJob({spec, TerminalState::none, 1, 0, chunkTasks}));
        readLog();
    }
    void lower(std::size_t ops, std::size_t maxValueBytes, double perSecond) {
        store.limits = {ops, maxValueBytes, perSecond};
        changes = perSecond;
    }
    static void apply(const Store& store, std::size_t& from, bookkeeping::StateReplica& replica,
                      std::vector<bookkeeping::Change>& changed) {
        for (; from < store.log.size(); ++from) {
            const auto& event = store.log[from];
            msgpack::object_handle handle;
            if (event.data) handle = protocol::unpackBody(*event.data);
            EXPECT_TRUE(
                replica.apply({event.key, event.data ? &handle.get() : nullptr, event.version}, changed));
        }
    }
    void readLog() {
        std::vector<bookkeeping::Change> changed;
        apply(store, read, replica, changed);
        JobsChanged jobs;
        for (const auto& change : changed)
            if (change.kind == bookkeeping::ChangeKind::job) jobs.ids.push_back(change.id);
        if (leader && !jobs.ids.empty()) tell(jobs);
    }
    void lead() {
        readLog();
        leader = std::make_unique<Leader>(settings, policy, replica, fencingToken, now, 0);
    }
    void tell(LeaderEvent event) {
        for (auto& action : leader->handle(std::move(event), now)) {
            if (const auto* write = std::get_if<WriteState>(&action)) {
                storage::TransactionResult result;
                if (const auto refusal = store.refusal(write->conditions, write->writes)) {
                    result.status = *refusal;
                } else {
                    result.revision = store.transact(write->conditions, write->writes, result.failed);
                    result.status = result.revision ? storage::TransactionStatus::applied
                                                    : storage::TransactionStatus::conflict;
                }
                tell(StateWritten{result});
            } else if (std::holds_alternative<RefreshReplica>(action)) {
                readLog();
                tell(ReplicaRefreshed{RefreshOutcome::refreshed});
            } else if (std::holds_alternative<Resign>(action)) {
                resigned = true;
            }
        }
    }
    /// m1 reports these tasks as done.
    void heartbeat(const std::string& id, const std::vector<std::uint32_t>& tasks) {
        protocol::Heartbeat r{"m1", "m1", "plain", "z", false, 1, ++sequence, fencingToken, {}, {}};
        for (const auto t : tasks)
            r.tasks.push_back({{id, t, 1}, protocol::TaskState::exited, protocol::ExitReason::done, false});
        tell(HeartbeatReceived{sequence, std::move(r)});
    }
    void run(int seconds) {
        for (int step = 0; step < seconds * 10; ++step) {
            if (step % 10 == 0) store.limits.changes = changes;
            now += 100ms;
            if (step % 2 == 0) readLog();
            tell(Tick{});
        }
    }
    /// As a node that starts now reads it.
    std::vector<bool> stored(const std::string& id) const {
        bookkeeping::StateReplica fresh;
        std::vector<bookkeeping::Change> changed;
        for (const auto& [key, value] : store.values) {
            const auto handle = protocol::unpackBody(value.data);
            EXPECT_TRUE(fresh.apply({key, &handle.get(), value.version}, changed));
        }
        const auto* job = fresh.find(id);
        std::vector<bool> bits(job->spec.tasks);
        for (std::uint32_t t = 0; t < job->spec.tasks; ++t) bits[t] = job->isDone(t);
        return bits;
    }
    TerminalState terminalStateOf(const std::string& id) const {
        return storage::decodeJob(protocol::unpackBody(store.values.at(storage::keys::job(id)).data).get())
            .terminalState;
    }
};

std::vector<std::uint32_t> every(std::uint32_t nth, std::uint32_t from, std::uint32_t tasks) {
    std::vector<std::uint32_t> out;
    for (auto t = from; t < tasks; t += nth) out.push_back(t);
    return out;
}
std::vector<bool> bitsOf(const std::vector<std::uint32_t>& tasks, std::uint32_t all) {
    std::vector<bool> bits(all);
    for (const auto t : tasks) bits[t] = true;
    return bits;
}
bool contains(const std::vector<bool>& large, const std::vector<bool>& small) {
    for (std::size_t i = 0; i < small.size(); ++i)
        if (small[i] && !large[i]) return false;
    return true;
}

const protocol::StoreLimits kNext{28, 2, 10};

}  // namespace

// What each version chose fits where it is written: half a value's bytes in digits of four tasks, two quotes.
TEST(Limits, ChunksForTheLowerLimitFitAndOldOnesMayNot) {
    std::vector<bool> bits(protocol::kMaxTasks, true);
    for (const double kb : {1.0, 2.0, 8.0, 32.0}) {
        const auto tasks = storage::chunkTasks(kb);
        for (std::size_t first = 0; first < bits.size(); first += tasks)
            EXPECT_LE(protocol::jsonBytes(storage::encodeBits(bits, first, tasks)), kb * 1024);
    }
    EXPECT_EQ(storage::chunkTasks(8), kOldChunk);
    EXPECT_EQ(protocol::jsonBytes(storage::encodeBits(bits, 0, kOldChunk)), 4098u);  // beyond 2 KiB
    bookkeeping::Job job;
    job.chunkTasks = kOldChunk;
    job.spec.tasks = 8184;  // the most of an old chunk within 2 KiB
    EXPECT_TRUE(job.rangeOf(0, 2048).chunk);
    job.spec.tasks = 8185;
    EXPECT_FALSE(job.rangeOf(0, 2048).chunk);
    job.spec.tasks = 100'000;
    for (const std::size_t bytes : {16u, 1024u, 2048u, 2049u}) {
        std::size_t at = 0;
        while (at < job.spec.tasks) {
            const auto range = job.rangeOf(static_cast<std::uint32_t>(at), bytes);
            EXPECT_LE(range.first, at);
            EXPECT_GT(range.end, at);
            EXPECT_LE(protocol::jsonBytes(storage::encodeBits(bits, range.first, range.end - range.first)),
                      bytes);
            at = range.end;
        }
    }
}

// Whatever is finished and whichever way it is cut, this version finds every bit, and the earlier one the
// bits that it wrote itself and none that was not set.
RC_GTEST_PROP(Limits, PartsAndChunksReadAsTheirUnion, ()) {
    Cluster c;
    const auto spec = arrayOf("wk-1", *rc::gen::inRange<std::uint32_t>(20, 3000));
    const auto chunkTasks = *rc::gen::inRange<std::uint32_t>(1, 300) * 4;
    c.accept(spec, chunkTasks);
    const auto* job = c.replica.find("wk-1");
    std::vector<bool> set(spec.tasks), inChunks(spec.tasks);
    for (int i = 0; i < 12; ++i) {
        const auto task = *rc::gen::inRange<std::uint32_t>(0, spec.tasks);
        // 3000 is the earlier version's way: the whole chunk, of what it knows.
        const auto bytes = *rc::gen::element<std::size_t>(16, 30, 100, 3000);
        const auto range = job->rangeOf(task, bytes);
        auto bits = range.chunk ? inChunks : set;
        bits[task] = set[task] = true;
        if (range.chunk) inChunks[task] = true;
        c.put(job->keyOf(range), storage::encodeBits(bits, range.first, range.end - range.first));
        c.readLog();
        RC_ASSERT(job->bitmapVersions.of(range) == c.store.revision);
        RC_ASSERT(job->isDone(task));
        RC_ASSERT(c.stored("wk-1") == set);
        RC_ASSERT(readByTheEarlierVersion(c.store, spec, chunkTasks) == inChunks);
    }
    RC_ASSERT(job->doneCount == static_cast<std::uint32_t>(std::count(set.begin(), set.end(), true)));
}

// A chunk that the earlier version filled is read and left alone, what comes after it goes into parts, and
// that version, leading once more, takes nothing back.
TEST(Limits, BothVersionsReadAJobOfTheOldLimit) {
    Cluster c;
    c.settings.nextStoreLimits = kNext;
    const auto spec = arrayOf("wk-1", 40'000);
    c.accept(spec, kOldChunk);
    const auto early = bitsOf(every(7, 0, 40'000), 40'000);
    for (std::size_t chunk = 0; chunk < 3; ++chunk)
        c.put(storage::keys::doneChunk("wk-1", chunk),
              storage::encodeBits(early, chunk * kOldChunk, kOldChunk));
    const auto before = c.store.values.at(storage::keys::doneChunk("wk-1", 0)).data;
    c.lead();
    c.heartbeat("wk-1", every(7, 1, 40'000));
    c.run(5);
    auto both = bitsOf(every(7, 1, 40'000), 40'000);
    for (std::size_t t = 0; t < both.size(); t += 7) both[t] = true;
    EXPECT_EQ(c.stored("wk-1"), both);
    EXPECT_EQ(c.store.values.at(storage::keys::doneChunk("wk-1", 0)).data, before);
    const auto seen = readByTheEarlierVersion(c.store, spec, kOldChunk);
    EXPECT_TRUE(contains(seen, early));
    EXPECT_TRUE(contains(both, seen));
    // The earlier version leads and stores what it knows and one task more.
    auto more = seen;
    more[5] = true;
    c.put(storage::keys::doneChunk("wk-1", 0), storage::encodeBits(more, 0, kOldChunk));
    both[5] = true;
    EXPECT_EQ(c.stored("wk-1"), both);
}

/// Half of everything is finished before the drop, the rest after; `told` says if the settings announced it.
void acrossADrop(bool told, std::size_t ops, std::size_t maxValueBytes, double perSecond) {
    Cluster c;
    if (told) c.settings.nextStoreLimits = kNext;
    c.accept(arrayOf("wk-1", 40'000), kOldChunk);
    for (int i = 0; i < 30; ++i) {
        const auto id = "wk-" + std::to_string(100 + i);
        c.accept(i % 3 ? arrayOf(id, 2) : withLongTexts(id), kOldChunk);
    }
    c.lead();
    c.heartbeat("wk-1", every(4, 0, 40'000));
    for (int i = 0; i < 10; ++i) c.heartbeat("wk-" + std::to_string(100 + i), {0, 1});
    c.run(4);
    EXPECT_EQ(c.store.tooLarge + c.store.tooMany, 0u);
    EXPECT_EQ(c.stored("wk-1"), bitsOf(every(4, 0, 40'000), 40'000));
    c.lower(ops, maxValueBytes, perSecond);
    for (std::uint32_t from : {1u, 2u}) {
        c.heartbeat("wk-1", every(4, from, 40'000));
        for (int i = 0; i < 10; ++i)
            c.heartbeat("wk-" + std::to_string(100 + 10 * static_cast<int>(from) + i), {0, 1});
        c.run(from == 1 ? 3 : 120);
    }
    EXPECT_EQ(c.store.tooLarge == 0, told);  // keeping to what was announced, it is never refused for size
    const auto bits = c.stored("wk-1");
    for (std::uint32_t t = 0; t < 40'000; ++t)
        if (bits[t] != (t % 4 != 3)) FAIL() << "bit " << t;
    for (int i = 0; i < 30; ++i)
        EXPECT_EQ(c.terminalStateOf("wk-" + std::to_string(100 + i)), TerminalState::done) << 100 + i;
    c.heartbeat("wk-1", every(4, 3, 40'000));
    c.run(60);
    EXPECT_EQ(c.terminalStateOf("wk-1"), TerminalState::done);
    EXPECT_FALSE(c.resigned);
}
TEST(Limits, EverythingIsStoredAcrossADropThatWasAnnounced) { acrossADrop(true, 10, 2048, 28); }
TEST(Limits, EverythingIsStoredAcrossADropBelowTheAnnounced) { acrossADrop(false, 3, 1024, 7); }
TEST(Limits, EverythingIsStoredWhenHardlyAnythingIsTaken) { acrossADrop(false, 1, 512, 5); }

// A change that the service will not take in any form waits aside, and is stored once it is taken again.
TEST(Limits, OneValueTooLargeHoldsUpNoOther) {
    Cluster c;
    c.accept(arrayOf("wk-1", 2), 8);
    auto open = arrayOf("wk-2", 40);
    c.accept(open, 8);
    c.lead();
    c.heartbeat("wk-1", {});
    c.lower(32, 60, 40);  // no record is as small as this, bitmaps are
    c.heartbeat("wk-1", {0, 1});
    c.heartbeat("wk-2", every(2, 0, 40));
    c.run(20);
    EXPECT_EQ(c.terminalStateOf("wk-1"), TerminalState::none);
    EXPECT_EQ(c.stored("wk-2"), bitsOf(every(2, 0, 40), 40));
    const auto refused = c.store.tooLarge;
    c.run(25);
    EXPECT_LE(c.store.tooLarge, refused + 3);  // not over and over
    c.lower(32, 8192, 40);
    c.run(40);
    EXPECT_EQ(c.terminalStateOf("wk-1"), TerminalState::done);
    EXPECT_FALSE(c.resigned);
}

// Long records that end at once go into as many transactions as 64 KiB for each demand.
TEST(Limits, TransactionsKeepToTheirBytes) {
    Cluster c;
    c.settings.storeWritesPerSecond = 200;
    for (int i = 0; i < 40; ++i) c.accept(withLongTexts("wk-" + std::to_string(100 + i)), 8);
    c.lead();
    for (int i = 0; i < 40; ++i) {
        c.store.limits.changes = 0;  // they gather
        c.heartbeat("wk-" + std::to_string(100 + i), {0, 1});
    }
    c.run(20);
    for (const auto& [id, job] : c.replica.jobs()) EXPECT_EQ(c.terminalStateOf(id), TerminalState::done);
    EXPECT_EQ(c.store.tooLarge, 0u);
}

// Ends that come at once are written no faster than the service takes them, or none would ever be taken.
TEST(Limits, TheLeaderWritesAsFastAsChangesAreTaken) {
    Cluster c;
    for (int i = 0; i < 120; ++i) c.accept(arrayOf("wk-" + std::to_string(1000 + i), 1), 8);
    c.lead();
    c.heartbeat("wk-0", {});
    c.lower(32, 8192, 6);
    for (int i = 0; i < 120; ++i) c.heartbeat("wk-" + std::to_string(1000 + i), {0});
    c.run(60);
    for (const auto& [id, job] : c.replica.jobs()) EXPECT_EQ(c.terminalStateOf(id), TerminalState::done);
    EXPECT_GT(c.store.tooMany, 0u);
    EXPECT_LT(c.store.tooMany, 30u);
    EXPECT_FALSE(c.resigned);
}

// A leader that was told to write less tries more again, and seldom if that is in vain.
TEST(Limits, SmallWritesGrowAgain) {
    Cluster c;
    c.lead();
    c.heartbeat("wk-0", {});
    c.lower(2, 8192, 40);
    auto finish = [&, next = 0](int jobs) mutable {
        const int from = next;
        for (; next < from + jobs; ++next) {
            const auto id = "wk-" + std::to_string(1000 + next);
            c.accept(arrayOf(id, 1), 8);
            c.heartbeat(id, {0});
        }
    };
    for (int i = 0; i < 60; ++i) finish(6), c.run(2);
    EXPECT_GT(c.store.tooLarge, 3u);
    EXPECT_LT(c.store.tooLarge, 20u);
    c.lower(32, 8192, 40);
    for (int i = 0; i < 250; ++i) finish(6), c.run(2);
    const auto from = c.store.revision;
    finish(16);
    c.run(4);
    EXPECT_LE(c.store.revision - from, 16u + 4u);  // 16 acceptances, and the ends together
    for (const auto& [id, job] : c.replica.jobs()) EXPECT_EQ(c.terminalStateOf(id), TerminalState::done);
}

// The rate settles near what the service takes, without being told, and comes back when it takes more.
TEST(TokenBucket, FollowsWhatIsAnswered) {
    Time now{1000s};
    storage::TokenBucket budget(24, now);
    double saved = 25;  // by the service: a second's worth at most
    const auto minute = [&](double limit) {
        std::pair<int, int> taken{0, 0};  // changes carried out, refusals
        for (int step = 0; step < 3000; ++step) {
            now += 20ms;
            saved = std::min(limit, saved + limit * 0.02);
            if (!budget.take(1, 0, now)) continue;
            if (saved >= 1)
                ++taken.first, --saved;
            else
                ++taken.second, budget.refused(now);
        }
        return taken;
    };
    EXPECT_EQ(minute(25).second, 0);
    minute(12);
    const auto [carried, capacityErrors] = minute(12);
    EXPECT_GT(carried, 60 * 12 * 0.75);
    EXPECT_LT(capacityErrors, 20);
    minute(25);
    EXPECT_NEAR(budget.rate(now), 24, 0.01);
    for (int i = 0; i < 100; ++i) budget.refused(now += 2s);
    EXPECT_GE(budget.rate(now), 3);  // never below an eighth
    now += 1s;
    EXPECT_TRUE(budget.take(1, 0, now));
}

TEST(TokenBucket, DoesNotGoBackBeyondTheNextLimit) {
    Time now{1000s};
    storage::TokenBucket budget(24, now, 16);
    EXPECT_EQ(budget.rate(now += 10s), 24);  // it may still be had
    budget.refused(now);
    EXPECT_LT(budget.rate(now), 16);
    EXPECT_NEAR(budget.rate(now += 100s), 16, 0.01);
}

// Refusals at one time count once, and a rate below one a second still lets single changes through.
TEST(TokenBucket, OneExcessIsOneSign) {
    Time now{1000s};
    storage::TokenBucket budget(24, now);
    for (int i = 0; i < 8; ++i) budget.refused(now);
    EXPECT_GT(budget.rate(now), 16);
    storage::TokenBucket slow(0.6, now);
    EXPECT_TRUE(slow.take(1, 0, now + 3s));
}

// Lengths as JSON writes them, with room to spare for the ways in which writers differ.
TEST(JsonBytes, AreAtLeastWhatJsonTakes) {
    using protocol::MessagePacker;
    const auto bytes = [](const MessagePacker& p) { return protocol::jsonBytes(p.take()); };
    EXPECT_EQ(bytes(MessagePacker().value("abc")), 5u);
    EXPECT_EQ(bytes(MessagePacker().value("a\"b\\\n")), 14u);
    EXPECT_EQ(bytes(MessagePacker().value("\xc3\xa9")), 8u);           // "\u00e9"
    EXPECT_EQ(bytes(MessagePacker().value("\xf0\x9f\x9a\xa2")), 14u);  // two escapes
    EXPECT_EQ(bytes(MessagePacker().value(412)), 3u);
    EXPECT_GE(bytes(MessagePacker().value(240.5)), 5u);
    EXPECT_GE(bytes(MessagePacker().map(1).field("a", true)), std::string(R"({"a": true})").size());
    EXPECT_GE(bytes(MessagePacker().list(2).value(1).value(2)), std::string("[1, 2]").size());
}
