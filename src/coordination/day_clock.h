// Between the time of day, in which facts are stored, and a node's steady clock, by which it acts.
#pragma once

#include <chrono>
#include <cstdint>

#include "transport/http.h"

namespace burlpoint::coordination {

/// One moment by both clocks. Days are counted in milliseconds since the epoch.
struct DayClock {
    transport::Time steady{};
    std::uint64_t dayMs = 0;

    /// When it was, or will be, that time of day, by the steady clock.
    transport::Time at(std::uint64_t otherDayMs) const {
        const auto later = static_cast<std::int64_t>(otherDayMs) - static_cast<std::int64_t>(dayMs);
        return steady + std::chrono::milliseconds(later);
    }
};

}  // namespace burlpoint::coordination
