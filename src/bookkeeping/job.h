#pragma once

// A job as this controller knows it: its stored state, the state derived from its dependencies and
// dependents, and, while this controller leads, the job's run. Jobs are owned by the StateReplica. Used on
// the thread that owns the StateReplica.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/bitmap_range.h"
#include "bookkeeping/image.h"
#include "bookkeeping/job_run.h"
#include "protocol/job_messages.h"
#include "storage/records.h"

namespace burlpoint::bookkeeping {

/// True if the job is a gang of at least two tasks, which start and end together.
inline bool isMultiTaskGang(const protocol::JobSpec& spec) {
    return spec.kind == protocol::JobKind::gang && spec.tasks > 1;
}

struct Job {
    // State that is stored in the job's record.
    protocol::JobSpec spec;
    storage::TerminalState terminalState = storage::TerminalState::none;
    std::uint64_t acceptedMs = 0;  // wall-clock time at which it was accepted
    std::uint64_t endedMs = 0;     // wall-clock time at which it was done; 0 unless done
    std::uint32_t chunkTasks = 1;  // tasks per chunk of its bitmap
    std::uint64_t version = 0;     // of the record
    std::uint64_t accepted = 0;    // version that the record had when first read: the order of arrival

    // State that is stored in the job's bitmap.
    std::vector<bool> done;       // by task; empty until a task is done, and after the job has ended
    std::uint32_t doneCount = 0;  // number of done tasks, kept after the job has ended
    BitRangeVersions bitmapVersions;

    // State that is derived from its dependencies and dependents, see JobDependencies.
    std::uint32_t openDependencies = 0;  // dependencies that are not known to be done
    std::uint64_t readyMs = 0;           // wall-clock time at which it became ready
    bool cancelledByDependency = false;  // cancelled with a dependency and not by its own record
    bool priorityPropagated = false;  // an update of its dependencies' priorities was scheduled at least once
    /// The maximum of its own priority and the effective priorities of its dependents.
    protocol::Priority effectivePriority = protocol::Priority::normal;
    /// Wall-clock time by which it should be done for its own deadline and those of its dependents.
    std::optional<std::uint64_t> dueAtMs = {};

    /// Null unless this controller leads and the job has become ready or a worker has reported a task of it.
    std::unique_ptr<JobRun> run;

    /// The image of its tasks. `spec.image` must not change after the first call.
    const Image& image() const;
    /// True if all its dependencies are done.
    bool ready() const { return openDependencies == 0; }
    protocol::Priority priority() const { return run ? run->priority : effectivePriority; }
    protocol::JobState state(std::uint32_t runningTasks) const;

    /// True if the task is stored as done.
    bool isDone(std::uint32_t task) const {
        return terminalState == storage::TerminalState::done || (task < done.size() && done[task]);
    }
    /// True if the task is done, whether or not that is stored.
    bool isFinished(std::uint32_t task) const {
        return isDone(task) || (run && run->unpersistedTasks.contains(task));
    }
    /// True if the task is neither finished nor placed and the job has not ended. The job must have a run.
    bool isWaiting(std::uint32_t task) const {
        return terminalState == storage::TerminalState::none && !isFinished(task) &&
               run->placedCount.of(task) == 0;
    }
    /// The waiting task with the lowest number, if any task is waiting. The job must have a run.
    std::optional<std::uint32_t> firstWaiting();
    /// The waiting task with the lowest number that is not below `first`, if there is one. The job must have
    /// a run.
    std::optional<std::uint32_t> firstWaitingFrom(std::uint32_t first) const;

    /// Creates the run, in which no task is placed.
    void beginRun(JobOrigin origin, Time now);
    /// Records that the task is stored as done.
    void setDone(std::uint32_t task);
    /// Records that the task is done and that its bit has yet to be stored. False if the task was known to be
    /// done. The job must have a run.
    bool setFinished(std::uint32_t task);
    /// Update the run's counters when a task was placed on the machine, or its placement removed. Called by
    /// Fleet only.
    void addPlaced(std::uint32_t task, const std::string& machine, const std::string& zone);
    void removePlaced(std::uint32_t task, const std::string& machine, const std::string& zone);

    std::size_t chunkCount() const { return (spec.tasks + chunkTasks - 1) / chunkTasks; }
    /// The range of a whole chunk. Its number must be less than chunkCount().
    BitRange chunkRange(std::size_t chunk) const;
    /// The range of the value in which the task's bit is stored if a value has at most `maxBytes`: the task's
    /// chunk if its value fits, else a part of the chunk.
    BitRange rangeOf(std::uint32_t task, std::size_t maxBytes) const;
    /// The key of the range's value in the key-value store.
    std::string keyOf(const BitRange& range) const;
    /// The inverse of keyOf(). `text` is what follows the job's id and a slash in the key: a chunk's number,
    /// or the range of a part as "first-end". None if it denotes no range of this job.
    std::optional<BitRange> parseRange(std::string_view text) const;

  private:
    mutable std::optional<Image> image_;  // set by the first call of image()
};

/// Orders jobs by their ids, so that the order of a set of jobs does not depend on their addresses.
struct JobIdLess {
    bool operator()(const Job* a, const Job* b) const { return a->spec.id < b->spec.id; }
};

}  // namespace burlpoint::bookkeeping
