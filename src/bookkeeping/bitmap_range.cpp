#include "bookkeeping/bitmap_range.h"

#include <algorithm>

namespace burlpoint::bookkeeping {

std::uint64_t BitRangeVersions::of(const BitRange& range) const {
    const auto found = versions_.find(range);
    return found == versions_.end() ? 0 : found->second;
}

void BitRangeVersions::raise(const BitRange& range, std::uint64_t version) {
    auto& known = versions_[range];
    known = std::max(known, version);
}

}  // namespace burlpoint::bookkeeping
