#pragma once

// The number of placements of each task of a job. A plain value, owned by the job's run.

#include <array>
#include <cstdint>
#include <map>

namespace burlpoint::bookkeeping {

/// Counts placements by task. Its memory follows from the number of placed tasks, however many tasks the job
/// has: a leader may have hundreds of waiting jobs of 100,000 tasks each.
class PlacementCounts {
  public:
    /// The number of placements of the task.
    std::uint8_t of(std::uint32_t task) const;
    void add(std::uint32_t task);
    /// The task must have a placement.
    void remove(std::uint32_t task);

  private:
    static constexpr std::uint32_t kTasksPerPage = 64;

    /// The counts of consecutive tasks, of which at least one has a placement.
    struct Page {
        std::array<std::uint8_t, kTasksPerPage> counts{};
        std::uint32_t placements = 0;
    };

    std::map<std::uint32_t, Page> pages_;  // by the number of the first task, divided by kTasksPerPage
};

}  // namespace burlpoint::bookkeeping
