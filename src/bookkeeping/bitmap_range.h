#pragma once

// The stored values that make up a job's bitmap of done tasks: the range of tasks that each covers and its
// newest known version. Plain values, owned by their Job.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace burlpoint::bookkeeping {

/// The range of tasks that one stored value of a job's bitmap covers: a whole chunk, or a part of a chunk if
/// the value of the whole chunk would be too large for the key-value store.
struct BitRange {
    std::size_t first = 0;
    std::size_t end = 0;               // one past the last task
    std::optional<std::size_t> chunk;  // the chunk's number; empty for a part of a chunk
    auto operator<=>(const BitRange&) const = default;
};

/// The newest known version of each stored value of a job's bitmap.
class BitRangeVersions {
  public:
    /// The newest known version of the range's value, 0 if no value is known.
    std::uint64_t of(const BitRange& range) const;
    /// Records `version` for the range's value, unless the known version is newer.
    void raise(const BitRange& range, std::uint64_t version);
    void clear() { versions_.clear(); }

  private:
    std::map<BitRange, std::uint64_t> versions_;
};

}  // namespace burlpoint::bookkeeping
