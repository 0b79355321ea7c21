#pragma once

// The failures of a job's tasks, by machine, which tell whether a machine or the job itself is their likely
// cause. A plain value, owned by the job's run.

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace burlpoint::bookkeeping {

/// The failures since a task of the job last succeeded. They are forgotten, too, once no task has failed for
/// two minutes: a service never reports a success, and a job may wait for a machine all that time.
class JobFailures {
  public:
    /// Records that a task of the job failed on the machine.
    void record(const std::string& machine, Time now);

    /// Forgets all failures. Called when a task of the job has succeeded.
    void clear() { lastByMachine_.clear(); }

    /// The number of machines on which tasks of the job have failed, of which at most 16 are counted.
    std::size_t machineCount(Time now) const;

    /// True if tasks have failed on three machines or more, so that the job is the likely cause.
    bool suggestFaultyJob(Time now) const;

    /// The time of the last failure on the machine; empty if there was none.
    std::optional<Time> lastOn(const std::string& machine, Time now) const;

  private:
    bool areForgotten(Time now) const;
    void dropOldest();

    std::map<std::string, Time> lastByMachine_;  // by machine id
    Time last_{};                                // on any machine
};

/// With failures on fewer machines, the machines may be at fault.
inline constexpr std::size_t kFaultyJobMachines = 3;

}  // namespace burlpoint::bookkeeping
