#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "coordination/leadership/election.h"
#include "protocol/msgpack_codec.h"

using namespace burlpoint;
using namespace burlpoint::bookkeeping;
using storage::TerminalState;
using namespace std::chrono_literals;

namespace {

protocol::JobSpec arrayJob(std::uint32_t tasks) {
    protocol::JobSpec spec;
    spec.id = "wk-1";
    spec.team = "t";
    spec.image = "i";
    spec.tasks = tasks;
    spec.cpus = 0.1;
    return spec;
}

/// Applies a change of a key to a packed value. False if the value is malformed.
bool applyStored(StateReplica& replica, const std::string& key, const std::string& value,
                 std::uint64_t version) {
    const auto handle = protocol::unpackBody(value);
    std::vector<ReplicaChange> changes;
    return replica.apply({key, &handle.get(), version}, changes);
}

std::string record(const protocol::JobSpec& spec, TerminalState terminalState, std::uint32_t done = 0) {
    return storage::encodeJob({spec, terminalState, 0, done, 8});
}

}  // namespace

// The counters of a run are updated incrementally. Compares them with a recount after each change.
RC_GTEST_PROP(JobRun, CountersMatchARecountAfterEachChange, ()) {
    Job job;
    job.spec = arrayJob(*rc::gen::inRange<std::uint32_t>(1, 30));
    job.beginRun(JobOrigin::accepted, Time{});
    Fleet fleet;
    auto& a = fleet.add("a", Time{});
    a.zone = "x";
    auto& b = fleet.add("b", Time{});
    b.zone = "y";
    std::uint64_t attempt = 0;
    const int steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i) {
        auto& machine = *rc::gen::arbitrary<bool>() ? a : b;
        const auto task = *rc::gen::inRange<std::uint32_t>(0, job.spec.tasks);
        switch (*rc::gen::inRange(0, 5)) {
            case 0:
            case 1:
                fleet.place(machine, job, task, ++attempt, PlacementState::running, Time{});
                break;
            case 2:
                if (!machine.placements.empty()) fleet.remove(machine, machine.placements.begin());
                break;
            case 3:
                job.setFinished(task);
                break;
            default:
                job.setDone(task);
        }
        std::uint32_t waiting = 0, placed = 0;
        for (std::uint32_t t = 0; t < job.spec.tasks; ++t) {
            waiting += job.isWaiting(t);
            placed += job.run->placedCount.of(t);
        }
        RC_ASSERT(job.run->waiting == waiting);
        RC_ASSERT(job.run->placedTotal == placed);
        RC_ASSERT(placed == a.placements.size() + b.placements.size());
        RC_ASSERT(job.run->running == placed);
        RC_ASSERT(std::abs(fleet.teamUse("t").cpus - 0.1 * placed) < 1e-6);
        const auto first = job.firstWaiting();
        RC_ASSERT(first.has_value() == (waiting > 0));
        if (first) RC_ASSERT(job.isWaiting(*first));
    }
}

RC_GTEST_PROP(PlacementCounts, CountsMatchThoseOfAListOfAllTasks, ()) {
    constexpr std::uint32_t kTasks = 300;
    PlacementCounts counts;
    std::vector<std::uint8_t> expected(kTasks, 0);
    for (int steps = *rc::gen::inRange(1, 200); steps > 0; --steps) {
        const auto task = *rc::gen::inRange<std::uint32_t>(0, kTasks);
        if (expected[task] > 0 && *rc::gen::arbitrary<bool>()) {
            counts.remove(task);
            --expected[task];
        } else {
            counts.add(task);
            ++expected[task];
        }
        for (std::uint32_t t = 0; t < kTasks; ++t) RC_ASSERT(counts.of(t) == expected[t]);
    }
}

// Results of reads may arrive out of order. An older value must not replace a newer one.
TEST(StateReplica, OlderValueArrivesLateThenTheNewestIsKept) {
    StateReplica replica;
    const auto spec = arrayJob(20);
    const auto key = storage::keys::job(spec.id);
    EXPECT_TRUE(applyStored(replica, key, record(spec, TerminalState::none), 5));
    EXPECT_TRUE(applyStored(replica, key, record(spec, TerminalState::cancelled, 3), 9));
    EXPECT_TRUE(applyStored(replica, key, record(spec, TerminalState::none), 5));
    ASSERT_NE(replica.find(spec.id), nullptr);
    EXPECT_EQ(replica.find(spec.id)->terminalState, TerminalState::cancelled);
    EXPECT_EQ(replica.find(spec.id)->accepted, 5u);
    EXPECT_TRUE(replica.openJobs().empty());
}

// A cancellation that a peer has confirmed must not be undone by a later read. Covers a known job and one
// whose record is read only afterwards, in the version before the cancellation.
TEST(StateReplica, CancellationConfirmedByAPeerThenItStays) {
    StateReplica replica;
    const auto spec = arrayJob(20);
    const auto key = storage::keys::job(spec.id);
    std::vector<ReplicaChange> changes;
    replica.applyCancellation(spec.id, 9, changes);
    EXPECT_TRUE(changes.empty());
    EXPECT_TRUE(applyStored(replica, key, record(spec, TerminalState::none), 5));
    EXPECT_EQ(replica.find(spec.id)->terminalState, TerminalState::cancelled);
    EXPECT_TRUE(
        applyStored(replica, storage::keys::bitmapChunk(spec.id, 0), storage::encodeBits({true}, 0, 8), 6));
    EXPECT_TRUE(applyStored(replica, key, record(spec, TerminalState::cancelled, 3), 9));
    replica.applyCancellation(spec.id, 9, changes);
    EXPECT_TRUE(changes.empty());
    ASSERT_EQ(replica.cancelled().size(), 1u);
    EXPECT_EQ(replica.cancelled()[0]->version, 9u);
    EXPECT_TRUE(replica.openJobs().empty());

    auto other = arrayJob(3);
    other.id = "wk-2";
    EXPECT_TRUE(applyStored(replica, storage::keys::job(other.id), record(other, TerminalState::none), 11));
    replica.applyCancellation(other.id, 12, changes);
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_EQ(changes[0].id, other.id);
    EXPECT_EQ(replica.find(other.id)->terminalState, TerminalState::cancelled);
    EXPECT_EQ(replica.cancelled().size(), 2u);
}

TEST(StateReplica, BitmapChunksReadThenTheirTasksAreDone) {
    StateReplica replica;
    const auto spec = arrayJob(20);
    EXPECT_TRUE(applyStored(replica, storage::keys::job(spec.id), record(spec, TerminalState::none), 1));
    std::vector<bool> bits(20);
    bits[9] = bits[17] = true;
    EXPECT_TRUE(
        applyStored(replica, storage::keys::bitmapChunk(spec.id, 1), storage::encodeBits(bits, 8, 8), 2));
    EXPECT_TRUE(
        applyStored(replica, storage::keys::bitmapChunk(spec.id, 2), storage::encodeBits(bits, 16, 8), 3));
    const auto* job = replica.find(spec.id);
    EXPECT_EQ(job->doneCount, 2u);
    EXPECT_TRUE(job->isDone(9) && job->isDone(17) && !job->isDone(8));
    EXPECT_EQ(job->bitmapVersions.of(job->chunkRange(1)), 2u);
}

TEST(StateReplica, MalformedValueThenNothingChanges) {
    StateReplica replica;
    const auto spec = arrayJob(3);
    EXPECT_FALSE(applyStored(replica, storage::keys::job("wk-2"), record(spec, TerminalState::none),
                             1));  // under another job's key
    EXPECT_FALSE(applyStored(replica, storage::keys::kToken, protocol::MessagePacker().value(7).str(), 1));
    EXPECT_EQ(replica.find("wk-2"), nullptr);
    EXPECT_EQ(replica.tokenVersion, 0u);
}

TEST(LeaderLease, RenewedThenItLastsFromWhenTheRenewalWasSent) {
    coordination::LeaderLease lease;
    const Time start{1000s};
    EXPECT_FALSE(lease.valid(start));
    lease.begin(start, 8000ms);
    EXPECT_TRUE(lease.valid(start + 7800ms));
    EXPECT_FALSE(lease.valid(start + 7900ms));  // before the lease of 8 s expires in the key-value store
    lease.extend(start + 5s);
    EXPECT_TRUE(lease.valid(start + 12s));
    lease.extend(start + 2s);  // a response that arrives out of order does not shorten it
    EXPECT_TRUE(lease.valid(start + 12s));
    lease.end();
    EXPECT_FALSE(lease.valid(start));
}

TEST(Fleet, ImagesUsedThenTheCacheKeepsTheLatestWithinItsSize) {
    Fleet fleet;
    auto& machine = fleet.add("m", Time{});
    for (const char* image : {"a", "b", "a", "c"}) fleet.recordImageUse(machine, image, 10, 25);
    EXPECT_TRUE(machine.hasImage("a") && machine.hasImage("c") && !machine.hasImage("b"));
    EXPECT_EQ(fleet.machinesWithImage("a").size(), 1u);
    EXPECT_TRUE(fleet.machinesWithImage("b").empty());
}
