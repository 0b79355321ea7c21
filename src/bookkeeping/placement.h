#pragma once

// Placements: attempts of tasks that may be on a machine, as the leader knows them. Plain values, owned by
// the machines of the Fleet.

#include <compare>
#include <cstdint>
#include <tuple>

#include "base/clock.h"
#include "bookkeeping/job.h"

namespace burlpoint::bookkeeping {

/// How far an attempt has come, as far as the leader knows.
enum class PlacementState {
    planned,  // room is kept for it, nothing has been sent
    sent,     // the start left in a heartbeat response; no status of the worker has shown it yet
    fetching,
    waiting,
    running,
    saving
};

/// One attempt that may be on a machine.
struct Placement {
    Job* job = nullptr;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    PlacementState state = PlacementState::planned;
    std::uint64_t sentSequence = 0;  // of the heartbeat whose response carried the start
    Time since{};                    // when it entered its state
    Time runningSince{};
    bool stopping = false;
    Seconds grace{0};   // while stopping: the time to save in
    bool seen = false;  // listed by the status that is being reconciled
};

/// The key of an attempt among the placements of a machine. Ordered by the job's id, so that decisions do not
/// depend on where jobs lie in memory.
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

}  // namespace burlpoint::bookkeeping
