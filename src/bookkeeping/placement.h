#pragma once

// Placements: attempts of tasks that may be on a machine, as the leader knows them. Plain values, owned by
// the machines of the Fleet.

#include <compare>
#include <cstdint>
#include <tuple>

#include "base/clock.h"
#include "bookkeeping/job.h"

namespace burlpoint::bookkeeping {

/// The progress of an attempt, as far as the leader knows.
enum class PlacementState {
    planned,   // capacity is reserved for it, and no start command has been sent
    sent,      // the start command was sent in a heartbeat response, and no status has listed the attempt yet
    fetching,  // the worker fetches the image
    waiting,   // the task waits for the other tasks of its gang
    running,
    saving  // the task writes its last checkpoint before it stops
};

/// One attempt of a task that may be on a machine.
struct Placement {
    Job* job = nullptr;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    PlacementState state = PlacementState::planned;
    std::uint64_t sentSequence = 0;  // of the heartbeat whose response contained the start command
    Time since{};                    // when it entered its state
    Time runningSince{};             // when it began to run; until then when it was placed
    bool stopping = false;
    Seconds grace{0};             // while stopping: the time it has to save its state
    bool listedInStatus = false;  // the status that is being reconciled lists it
};

/// The key of an attempt among the placements of a machine. Ordered by the job's id, so that decisions do not
/// depend on the addresses of jobs.
struct AttemptKey {
    const Job* job;
    std::uint32_t task;
    std::uint64_t attempt;
    bool operator==(const AttemptKey&) const = default;
    std::strong_ordering operator<=>(const AttemptKey& other) const {
        if (job != other.job) return job->spec.id <=> other.job->spec.id;
        return std::tie(task, attempt) <=> std::tie(other.task, other.attempt);
    }
};

inline AttemptKey attemptKeyOf(const Placement& placement) {
    return {placement.job, placement.task, placement.attempt};
}

}  // namespace burlpoint::bookkeeping
