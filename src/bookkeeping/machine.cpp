#include "bookkeeping/machine.h"

#include <algorithm>

namespace burlpoint::bookkeeping {

bool Machine::hasImage(const Image& image) const {
    return std::any_of(images.begin(), images.end(),
                       [&](const auto& cached) { return cached.image == image; });
}

bool Machine::isFetching(const Image& image) const {
    return std::any_of(placements.begin(), placements.end(), [&](const auto& entry) {
        const auto& placement = entry.second;
        const bool fetches =
            placement.state == PlacementState::sent || placement.state == PlacementState::fetching;
        return fetches && placement.job->image() == image;
    });
}

}  // namespace burlpoint::bookkeeping
