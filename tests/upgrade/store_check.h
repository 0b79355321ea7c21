#pragma once

// Checks what the controllers of an upgrade test write to the key-value store, by the store's log of changes.
// Single-threaded: used only on the test's thread.

#include <map>
#include <string>
#include <vector>

#include "storage/records.h"
#include "storage/store_stub.h"
#include "upgrade/test_oracle.h"

namespace burlpoint::tests {

/// Checks these invariants of the stored data: fencing tokens strictly increase, and each is used by one
/// leader only; job records are never deleted, and a terminal state never changes; a set bit in a bitmap
/// belongs to a completed task, and bits are kept until the job has a terminal state.
class StoreCheck {
  public:
    StoreCheck(TestOracle& oracle, const Store& store) : oracle_(oracle), store_(store) {}

    /// Checks the changes since the last call.
    void step();
    /// True if the job's record is stored with the state done.
    bool isDone(const std::string& job) const;
    /// How often a leader's key has been written, which each new leader does once.
    std::size_t leaderTerms() const { return leaderTerms_; }
    /// The number of bitmap values written so far that cover only a part of a chunk.
    std::size_t partialChunksWritten() const { return partialChunksWritten_; }

  private:
    struct ChunkRange {  // the tasks that one bitmap value covers
        std::size_t first = 0, count = 0;
        bool isPartialChunk = false;
    };

    void checkToken(const Store::Event& event);
    void checkLeader(const Store::Event& event);
    void checkJob(const std::string& id, const Store::Event& event);
    void checkBitmap(const std::string& id, const std::string& range, const Store::Event& event);
    std::optional<storage::JobRecord> record(const std::string& id) const;
    /// Parses the end of a bitmap key: a chunk number, or FIRST-END for a part of a chunk.
    static ChunkRange parseRange(const std::string& range, std::size_t chunkTasks);

    TestOracle& oracle_;
    const Store& store_;
    std::size_t processedEvents_ = 0, leaderTerms_ = 0, partialChunksWritten_ = 0;
    std::uint64_t fencingToken_ = 0, leaderToken_ = 0;
    std::map<std::string, storage::TerminalState> storedStates_;
    std::map<std::string, std::vector<bool>> bitmaps_;  // by key
};

}  // namespace burlpoint::tests
