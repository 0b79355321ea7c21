// The bitmap of a job's finished tasks, stored in chunks and parts, as this version and the one before read
// it.
#include "storage/task_bitmap.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <charconv>

#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"
#include "state/lowered_limits_fixture.h"
#include "storage/keys.h"
#include "storage/store_stub.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using protocol::JobSpec;

namespace {

/// The bitmap as the version before this one reads it, by that version's rules: a key whose rest is a number
/// is a chunk, whose text begins at the chunk's first task. Any other key is skipped.
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

}  // namespace

// A chunk takes half of a value's bytes, with a digit for four tasks and two quotes. A chunk chosen for a
// higher limit may not fit, and is written in parts.
TEST(Limits, ChunksFitTheLimitForWhichTheyWereChosen) {
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

// Whichever tasks are done and however the bitmap is cut, this version reads every bit. The earlier version
// reads the bits of chunks, and none that was not set.
RC_GTEST_PROP(Limits, PartsAndChunksAreReadAsTheirUnion, ()) {
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

// A chunk that the earlier version wrote is read and not written again; later bits go into parts. When that
// version leads once more, no bit is lost.
TEST(Limits, EarlierAndPresentVersionReadTheSameBitmap) {
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
