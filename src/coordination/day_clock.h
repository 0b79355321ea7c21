#pragma once

// Conversion between times of day, as records have them, and the steady clock, by which a node decides.

#include <chrono>
#include <cstdint>

#include "transport/http.h"

namespace burlpoint::coordination {

/// Ties one moment of this node's steady clock to the time of day it had then. Later adjustments of the time
/// of day are not followed.
class DayClock {
  public:
    /// At `steady` it was `dayMs` by the time of day, in milliseconds.
    DayClock(transport::Time steady, std::uint64_t dayMs) : steady_(steady), dayMs_(dayMs) {}

    /// When it was that time of day, in milliseconds, by the steady clock; may be before or after now.
    transport::Time steadyAt(std::uint64_t dayMs) const {
        const auto sinceThen = static_cast<std::int64_t>(dayMs) - static_cast<std::int64_t>(dayMs_);
        return steady_ + std::chrono::milliseconds(sinceThen);
    }
    /// The time of day, in whole milliseconds, at a moment that is not before the constructor's.
    std::uint64_t dayMsAt(transport::Time steady) const {
        const auto sinceThen = std::chrono::duration_cast<std::chrono::milliseconds>(steady - steady_);
        return dayMs_ + static_cast<std::uint64_t>(sinceThen.count());
    }

  private:
    transport::Time steady_;
    std::uint64_t dayMs_;
};

}  // namespace burlpoint::coordination
