#pragma once

// A job as this controller knows it: the stored facts, what follows from them for its dependencies, and while
// this controller leads, the job's run. Jobs are owned by the StateReplica. Used on the thread that owns it.

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

/// Is the job a gang of several tasks, which begin and end together?
inline bool isLargeGang(const protocol::JobSpec& spec) {
    return spec.kind == protocol::JobKind::gang && spec.tasks > 1;
}

struct Job {
    // Stored in the job's record.
    protocol::JobSpec spec;
    storage::TerminalState terminalState = storage::TerminalState::none;
    std::uint64_t acceptedMs = 0;  // time of day
    std::uint64_t endedMs = 0;     // time of day at which it was done
    std::uint32_t chunkTasks = 1;  // tasks per chunk of its bitmap
    std::uint64_t version = 0;     // of the record
    std::uint64_t accepted = 0;    // revision at which the record was first seen: the order of arrival

    // Stored in its bitmap.
    std::vector<bool> done;       // empty until a task is done, and after the job has ended
    std::uint32_t doneCount = 0;  // also after the job has ended
    BitRangeVersions bitmapVersions;

    // What follows from its dependencies, see JobDependencies.
    std::uint32_t openDependencies = 0;  // not known to be done
    std::uint64_t readyMs = 0;           // time of day: it was accepted, and its last dependency done
    bool cancelledByDependency = false;  // not by its own record
    bool priorityPropagated = false;     // to its dependencies
    protocol::Priority effectivePriority = protocol::Priority::normal;  // of it and of its dependents
    std::optional<std::uint64_t> dueAtMs = {};  // for its own deadline and those of its dependents

    std::unique_ptr<JobRun> run;  // null unless this controller leads and the job has become ready

    /// The image of its tasks, `spec.image`, which must not change after the first call.
    const Image& image() const;
    /// Are all its dependencies done?
    bool ready() const { return openDependencies == 0; }
    protocol::Priority priority() const { return run ? run->priority : effectivePriority; }
    protocol::JobState state(std::uint32_t runningTasks) const;

    /// Is the task stored as done?
    bool isDone(std::uint32_t task) const {
        return terminalState == storage::TerminalState::done || (task < done.size() && done[task]);
    }
    /// Is the task done, whether or not that is stored?
    bool isFinished(std::uint32_t task) const {
        return isDone(task) || (run && run->unpersistedTasks.contains(task));
    }
    /// Is the task neither finished nor placed? The job must have a run.
    bool isWaiting(std::uint32_t task) const {
        return terminalState == storage::TerminalState::none && !isFinished(task) &&
               run->placedCount[task] == 0;
    }
    /// The first waiting task. The job must have a run.
    std::optional<std::uint32_t> firstWaiting();

    /// Begins the run: no task is placed so far.
    void beginRun(JobOrigin origin, Time now);
    /// The task is stored as done.
    void setDone(std::uint32_t task);
    /// The task was seen done, and its bit is to be stored. False if that was known. The job must have a run.
    bool finish(std::uint32_t task);
    /// A task was placed on the machine, or a placement was removed. Called by Fleet.
    void addPlaced(std::uint32_t task, const std::string& machine, const std::string& zone);
    void removePlaced(std::uint32_t task, const std::string& machine, const std::string& zone);

    std::size_t chunks() const { return (spec.tasks + chunkTasks - 1) / chunkTasks; }
    /// The whole chunk of that number, which must be below chunks().
    BitRange chunkRange(std::size_t chunk) const;
    /// In which value the task's bit is stored when values may have `maxBytes`: that of its chunk if the
    /// chunk fits, else that of a part.
    BitRange rangeOf(std::uint32_t task, std::size_t maxBytes) const;
    /// The key of the range's value.
    std::string keyOf(const BitRange& range) const;
    /// The inverse of keyOf(), from what follows the job's id in the key: a chunk's number, or the range of a
    /// part as "first-end". None if that is no range of this job.
    std::optional<BitRange> parseRange(std::string_view text) const;

  private:
    mutable std::optional<Image> image_;  // set by the first call of image()
};

/// Orders jobs by their ids, so that the order of a set of jobs does not depend on where they lie in memory.
struct JobIdLess {
    bool operator()(const Job* a, const Job* b) const { return a->spec.id < b->spec.id; }
};

}  // namespace burlpoint::bookkeeping
