#pragma once

// Checks what the controllers of an upgrade test store, by the key-value store's log. Used on the test's one
// thread.

#include <map>
#include <string>
#include <vector>

#include "storage/records.h"
#include "storage/store_stub.h"
#include "upgrade/rules.h"

namespace burlpoint::tests {

/// Fencing tokens only rise and none is used twice. Records of jobs stay, and terminal states never change.
/// Stored bits are those of completed tasks, and stay until the job is over.
class StoreCheck {
  public:
    StoreCheck(Rules& rules, const Store& store) : rules_(rules), store_(store) {}

    /// Looks at what has changed since the last call.
    void step();
    bool isDone(const std::string& job) const;
    std::size_t leaderships() const { return leaderships_; }
    /// Bitmap values that cover a part of a chunk, written so far.
    std::size_t partsWritten() const { return partsWritten_; }

  private:
    struct Bits {
        std::size_t first = 0, count = 0;
        bool isPart = false;
    };

    void checkToken(const Store::Event& event);
    void checkLeader(const Store::Event& event);
    void checkJob(const std::string& id, const Store::Event& event);
    void checkBits(const std::string& id, const std::string& range, const Store::Event& event);
    std::optional<storage::JobRecord> record(const std::string& id) const;
    static Bits parseRange(const std::string& range, std::size_t chunkTasks);

    Rules& rules_;
    const Store& store_;
    std::size_t seen_ = 0, leaderships_ = 0, partsWritten_ = 0;
    std::uint64_t fencingToken_ = 0, leaderToken_ = 0;
    std::map<std::string, storage::TerminalState> storedStates_;
    std::map<std::string, std::vector<bool>> bits_;  // by key
};

}  // namespace burlpoint::tests
