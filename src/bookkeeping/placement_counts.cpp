#include "bookkeeping/placement_counts.h"

namespace burlpoint::bookkeeping {

std::uint8_t PlacementCounts::of(std::uint32_t task) const {
    const auto found = pages_.find(task / kTasksPerPage);
    return found == pages_.end() ? 0 : found->second.counts[task % kTasksPerPage];
}

void PlacementCounts::add(std::uint32_t task) {
    auto& page = pages_[task / kTasksPerPage];
    ++page.counts[task % kTasksPerPage];
    ++page.placements;
}

void PlacementCounts::remove(std::uint32_t task) {
    const auto found = pages_.find(task / kTasksPerPage);
    auto& page = found->second;
    --page.counts[task % kTasksPerPage];
    if (--page.placements == 0) pages_.erase(found);
}

}  // namespace burlpoint::bookkeeping
