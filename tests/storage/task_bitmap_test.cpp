// The bitmap of a job's finished tasks, stored in chunks and parts, as read by this version and by the
// previous one.
#include "storage/task_bitmap.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <charconv>

#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"
#include "state/lowered_limits_harness.h"
#include "storage/keys.h"
#include "storage/store_stub.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using protocol::JobSpec;

namespace {

/// Reads the bitmap by the rules of the previous version: if the part of a key after the job's prefix is a
/// number, the key is a chunk, and its text starts at the chunk's first task. Other keys are skipped.
std::vector<bool> readByPreviousVersion(const Store& store, const JobSpec& spec, std::uint32_t chunkTasks) {
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
        if (handle.get().type != msgpack::type::STR)
            throw protocol::MalformedMessage("a bitmap is not a string");
        auto at = chunk * chunkTasks;
        for (const char c : handle.get().as<std::string>()) {
            const bool digit = c >= '0' && c <= '9';
            if (!digit && !(c >= 'a' && c <= 'f'))
                throw protocol::MalformedMessage("a bitmap has a character that is not a hexadecimal digit");
            const auto nibble = static_cast<unsigned>(digit ? c - '0' : c - 'a' + 10);
            for (unsigned bit = 0; bit < 4; ++bit, ++at)
                if (at < std::min<std::size_t>((chunk + 1) * chunkTasks, spec.tasks) && (nibble >> bit & 1u))
                    bits[at] = true;
        }
    }
    return bits;
}

}  // namespace

// A chunk has half of the maximum value size: one digit per four tasks, and two quotes. A chunk size chosen
// under a higher limit may not fit a lower one; the bits are then written in parts.
TEST(Limits, ChunksFitTheLimitForWhichTheyWereChosen) {
    std::vector<bool> bits(protocol::kMaxTasks, true);
    for (const double kb : {1.0, 2.0, 8.0, 32.0}) {
        const auto tasks = storage::chunkTasks(kb);
        for (std::size_t first = 0; first < bits.size(); first += tasks)
            EXPECT_LE(protocol::jsonBytes(storage::encodeBits(bits, first, tasks)), kb * 1024);
    }
    EXPECT_EQ(storage::chunkTasks(8), kChunkTasksFor8KiB);
    EXPECT_EQ(protocol::jsonBytes(storage::encodeBits(bits, 0, kChunkTasksFor8KiB)), 4098u);  // beyond 2 KiB
    bookkeeping::Job job;
    job.chunkTasks = kChunkTasksFor8KiB;
    job.spec.tasks = 8184;  // the largest chunk that fits 2 KiB
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

// For any set of finished tasks and any split of the bitmap, this version must read every bit. The previous
// version must read exactly the bits in chunks.
RC_GTEST_PROP(Limits, PartsAndChunksAreReadAsTheirUnion, ()) {
    LoweredLimitsHarness harness;
    const auto spec = arrayJob("wk-1", *rc::gen::inRange<std::uint32_t>(20, 3000));
    const auto chunkTasks = *rc::gen::inRange<std::uint32_t>(1, 300) * 4;
    harness.accept(spec, chunkTasks);
    const auto* job = harness.replica.find("wk-1");
    std::vector<bool> allBits(spec.tasks), chunkBits(spec.tasks);
    for (int i = 0; i < 12; ++i) {
        const auto task = *rc::gen::inRange<std::uint32_t>(0, spec.tasks);
        // With 3000 bytes, whole chunks are written, as by the previous version, which knows only their bits.
        const auto bytes = *rc::gen::element<std::size_t>(16, 30, 100, 3000);
        const auto range = job->rangeOf(task, bytes);
        auto bits = range.chunk ? chunkBits : allBits;
        bits[task] = allBits[task] = true;
        if (range.chunk) chunkBits[task] = true;
        harness.put(job->keyOf(range), storage::encodeBits(bits, range.first, range.end - range.first));
        harness.syncReplica();
        RC_ASSERT(job->bitmapVersions.of(range) == harness.store.revision);
        RC_ASSERT(job->isDone(task));
        RC_ASSERT(harness.storedBitmap("wk-1") == allBits);
        RC_ASSERT(readByPreviousVersion(harness.store, spec, chunkTasks) == chunkBits);
    }
    RC_ASSERT(job->doneCount == static_cast<std::uint32_t>(std::count(allBits.begin(), allBits.end(), true)));
}

// A chunk that the previous version wrote must be read and not rewritten; later bits are written in parts. No
// bit may be lost when a controller of the previous version becomes leader again.
TEST(Limits, PreviousAndCurrentVersionReadTheSameBitmap) {
    LoweredLimitsHarness harness;
    harness.settings.nextStoreLimits = kAnnouncedLimits;
    const auto spec = arrayJob("wk-1", 40'000);
    harness.accept(spec, kChunkTasksFor8KiB);
    const auto earlierBits = bitmapOf(everyNth(7, 0, 40'000), 40'000);
    for (std::size_t chunk = 0; chunk < 3; ++chunk)
        harness.put(storage::keys::bitmapChunk("wk-1", chunk),
                    storage::encodeBits(earlierBits, chunk * kChunkTasksFor8KiB, kChunkTasksFor8KiB));
    const auto chunkBefore = harness.store.values.at(storage::keys::bitmapChunk("wk-1", 0)).data;
    harness.startLeader();
    harness.heartbeat("wk-1", everyNth(7, 1, 40'000));
    harness.run(5);
    auto expectedBits = bitmapOf(everyNth(7, 1, 40'000), 40'000);
    for (std::size_t t = 0; t < expectedBits.size(); t += 7) expectedBits[t] = true;
    EXPECT_EQ(harness.storedBitmap("wk-1"), expectedBits);
    EXPECT_EQ(harness.store.values.at(storage::keys::bitmapChunk("wk-1", 0)).data, chunkBefore);
    const auto readByPrevious = readByPreviousVersion(harness.store, spec, kChunkTasksFor8KiB);
    EXPECT_TRUE(contains(readByPrevious, earlierBits));
    EXPECT_TRUE(contains(expectedBits, readByPrevious));
    // A leader of the previous version stores the bits that it knows and one more.
    auto more = readByPrevious;
    more[5] = true;
    harness.put(storage::keys::bitmapChunk("wk-1", 0), storage::encodeBits(more, 0, kChunkTasksFor8KiB));
    expectedBits[5] = true;
    EXPECT_EQ(harness.storedBitmap("wk-1"), expectedBits);
}
