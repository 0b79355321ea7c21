#pragma once

// The unit in which the cloud offers machines. Plain values.

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace burlpoint::bookkeeping {

/// What the cloud offers at one price: a machine type in a zone, as a spot or an on-demand machine.
struct Offering {
    std::string type;
    std::string zone;
    bool spot = false;
    auto operator<=>(const Offering&) const = default;
};

/// A number of machines of each offering.
using MachineCounts = std::map<Offering, std::uint32_t>;

}  // namespace burlpoint::bookkeeping
