#pragma once

// Failures of tasks, by the id of what they may be blamed on: a job's failures by machine, a machine's by
// job. A plain value, owned by the job's run or the machine.

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace burlpoint::bookkeeping {

/// The failures since a task last succeeded, with the time of the last one for each id. Since a success may
/// never come, they are forgotten, too, once there was no further failure for the retention time.
class RecentFailures {
  public:
    explicit RecentFailures(Clock::duration retention) : retention_(retention) {}

    void record(const std::string& id, Time now);

    /// Forgets all failures. Called when a task has succeeded.
    void clear() { lastById_.clear(); }

    /// The number of different ids, of which the latest 16 are counted.
    std::size_t count(Time now) const;

    /// The time of the last failure with that id; empty if there was none.
    std::optional<Time> lastOf(const std::string& id, Time now) const;

  private:
    bool areForgotten(Time now) const { return now - last_ > retention_; }
    void dropOldest();

    Clock::duration retention_;
    std::map<std::string, Time> lastById_;
    Time last_{};  // with any id
};

}  // namespace burlpoint::bookkeeping
