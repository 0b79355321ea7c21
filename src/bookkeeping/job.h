#pragma once

// A job as this node knows it: what is stored of it and, while this node leads, its run. Each Job owns both;
// the jobs themselves are owned by the StateReplica.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/image.h"
#include "protocol/settings.h"
#include "storage/records.h"

namespace burlpoint::bookkeeping {

using protocol::JobSpec;
using protocol::Priority;
using storage::TerminalState;

/// Is the job a gang of several tasks, which begin and end together?
inline bool isLargeGang(const JobSpec& spec) {
    return spec.kind == protocol::JobKind::gang && spec.tasks > 1;
}

/// What a leader knows of a job beyond the stored facts.
struct JobRun {
    /// Nothing is on a machine; all of `tasks` count as not waiting until Job::beginRun says how many do.
    explicit JobRun(std::uint32_t tasks) : placedCount(tasks, 0) {}

    /// Some task of the job is or was on a machine.
    bool began() const { return launchedTasks > 0 || placedTotal > 0; }
    /// None of the job's tasks has been on a machine for that time.
    bool hasWaitedUnstarted(Clock::duration time, Time now) const {
        return placedTotal == 0 && now - waitingSince >= time;
    }

    // Its tasks.
    std::vector<std::uint8_t> placedCount;          // machines that each task is possibly on
    std::uint32_t placedTotal = 0;                  // sum of `live`
    std::uint32_t waiting = 0;                      // tasks neither finished nor possibly on a machine
    std::uint32_t running = 0;                      // tasks seen running
    std::set<std::uint32_t> unpersistedTasks;       // tasks seen done whose bit is not stored yet
    std::uint32_t firstWaitingHint = 0;             // no task before this one is waiting
    std::map<std::string, std::uint32_t> zones;     // possible tasks per zone
    std::map<std::string, std::uint32_t> machines;  // and per machine

    // Its place among the jobs.
    bool inherited = false;                // accepted before this leader began
    int rank = 0;                          // of the leader's order, the higher the sooner
    double positionInRank = 0;             // within its rank, the lower the sooner
    Priority priority = Priority::normal;  // its own, or that of a job that needs it
    bool guaranteed = false;               // within its team's guarantee
    bool overdue = false;                  // has been passed over for too long
    const protocol::Team* team = nullptr;
    std::optional<Seconds> shortestWaitObjective;  // the shortest wait aim of its class
    Time readyAt{};                                // accepted and free to start, as far as clocks agree
    Time waitingSince{};

    // Pacing by the design.
    std::uint32_t launchedTasks = 0;  // m: its tasks that were started
    std::uint32_t pacedFetches = 0;   // md: its paced fetches
    double expectedPacedFetches = 0;  // Md: those expected at admission
    bool admitted = false;            // Md is known
    // The first task that was started since the job was overdue and had not begun.
    std::optional<std::uint32_t> firstOverdueTask;

    // Gangs.
    std::uint64_t gangAttempt = 0;       // the attempt under way, 0: none
    std::set<std::string> machinesLeft;  // that a task of this attempt has gone from

    // Failures, and what is to be stored.
    Time backoffUntil{};                        // back-off after failures
    std::map<std::string, Time> errorMachines;  // where a task of it failed since its last success
    bool succeeded = false;                     // a task of it has worked somewhere
    Time nextBitmapWrite{};                     // when its finished tasks are stored next

    // What the other machines offer, looked up now and then and not for each heartbeat.
    std::uint32_t roomWithImage = 0;  // waiting tasks that machines with the image have room for
    Time cachedRoomUntil{};           // until when that counts
    bool imageWait = false;           // it should wait for such a machine
    Time imageWaitUntil{};            // until when that counts
};

/// What one value of a job's bitmap covers: tasks [first, end), a whole chunk or a part of one.
struct BitRange {
    std::size_t first = 0;
    std::size_t end = 0;
    std::optional<std::size_t> chunk;
    auto operator<=>(const BitRange&) const = default;
};

/// A job as stored, and while this node leads, its run.
struct Job {
    JobSpec spec;
    TerminalState terminalState = TerminalState::none;
    std::uint64_t acceptedMs = 0;
    std::uint64_t readyMs = 0;  // when it was accepted, or the last job that it needs was done
    std::uint64_t endedMs = 0;  // when it was done itself
    std::uint32_t chunkTasks = 1;
    std::uint64_t version = 0;   // of its record
    std::uint64_t accepted = 0;  // revision at which it was first seen: the order of arrival
    std::vector<bool> done;      // stored bits; empty until needed and once the job is over
    std::uint32_t doneCount = 0;
    std::vector<std::uint64_t> chunkVersions;
    std::map<BitRange, std::uint64_t> partVersions;
    std::uint32_t openDependencies = 0;             // not stored as done, as far as is known
    bool cancelledByDependency = false;             // cancelled with one that it needs, not by its own record
    bool priorityPropagated = false;                // to the jobs that it needs
    Priority effectivePriority = Priority::normal;  // the highest of its own and of those that need it
    std::optional<std::uint64_t> dueAtMs = {};      // so that its deadline and theirs can be met
    std::unique_ptr<JobRun> run;

    /// The image of its tasks, `spec.image`, which must not change any more.
    const Image& image() const {
        if (!image_) image_ = Image(spec.image);
        return *image_;
    }
    bool ready() const { return openDependencies == 0; }
    Priority priority() const { return run ? run->priority : effectivePriority; }
    std::size_t chunks() const { return (spec.tasks + chunkTasks - 1) / chunkTasks; }
    bool isDone(std::uint32_t task) const {
        return terminalState == TerminalState::done || (task < done.size() && done[task]);
    }
    bool isFinished(std::uint32_t task) const {
        return isDone(task) || (run && run->unpersistedTasks.contains(task));
    }
    bool isWaiting(std::uint32_t task) const {
        return terminalState == TerminalState::none && !isFinished(task) && run->placedCount[task] == 0;
    }
    std::uint64_t chunkVersion(std::size_t chunk) const {
        return chunk < chunkVersions.size() ? chunkVersions[chunk] : 0;
    }
    /// Under which key a task's bit is stored when values may have `maxBytes`: that of its chunk if the
    /// chunk is within that, else that of a part.
    BitRange rangeOf(std::uint32_t task, std::size_t maxBytes) const;
    std::string keyOf(const BitRange& range) const;
    std::uint64_t versionOf(const BitRange& range) const;
    void setVersion(const BitRange& range, std::uint64_t version);
    /// Adds stored bits; the counts follow.
    void setDone(std::uint32_t task);
    void setChunkVersion(std::size_t chunk, std::uint64_t version);
    /// The task was seen done; its bit is still to be stored. False if that was known.
    bool finish(std::uint32_t task);
    void addPlaced(std::uint32_t task, const std::string& machine, const std::string& zone);
    void removePlaced(std::uint32_t task, const std::string& machine, const std::string& zone);
    /// The first waiting task, or none.
    std::optional<std::uint32_t> firstWaiting();
    /// Starts a run: nothing is on a machine so far.
    void beginRun(bool inherited, Time now);
    protocol::JobState state(std::uint32_t runningTasks) const;

  private:
    mutable std::optional<Image> image_;  // looked up when it is first asked for
};

/// Orders jobs by their ids, so that walks over a set of them do not depend on where they lie in memory.
struct JobIdLess {
    bool operator()(const Job* a, const Job* b) const { return a->spec.id < b->spec.id; }
};

}  // namespace burlpoint::bookkeeping
