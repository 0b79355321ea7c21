#pragma once

// The values in which a job's bitmap of done tasks is stored: what each covers and its newest known version.
// Plain values, owned by their Job.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace burlpoint::bookkeeping {

/// The tasks that one stored value of a job's bitmap covers: a whole chunk, or a part of a chunk whose value
/// would be too large for the key-value store.
struct BitRange {
    std::size_t first = 0;
    std::size_t end = 0;               // after the last task
    std::optional<std::size_t> chunk;  // its number; none: a part
    auto operator<=>(const BitRange&) const = default;
};

/// The newest known version of each value.
class BitRangeVersions {
  public:
    /// 0 if no value of the range is known.
    std::uint64_t of(const BitRange& range) const;
    /// Does nothing if the known version is newer.
    void raise(const BitRange& range, std::uint64_t version);
    void clear() { versions_.clear(); }

  private:
    std::map<BitRange, std::uint64_t> versions_;
};

}  // namespace burlpoint::bookkeeping
