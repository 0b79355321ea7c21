#pragma once

// The run of a job: what a leader knows of the job beyond its stored state. It exists from when the job
// becomes ready under this leader, or a worker first reports a task of it, until the leadership ends. Owned
// by its Job. Used on the thread that owns the leader.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "bookkeeping/placement_counts.h"
#include "bookkeeping/recent_failures.h"
#include "protocol/job_messages.h"
#include "protocol/settings.h"

namespace burlpoint::bookkeeping {

/// Whether a job was accepted before or after its leader began to lead.
enum class JobOrigin {
    /// Accepted under this leader: no earlier leader can have started its tasks.
    accepted,
    /// Accepted before this leadership: its tasks may be on machines that have sent this leader no heartbeat.
    inherited
};

/// A job whose tasks have failed on this many machines is the likely cause of the failures. With fewer, the
/// machines may be at fault.
inline constexpr std::size_t kFaultyJobMachines = 3;
/// Longer than the longest back-off after failures, so that a faulty job that is retried after each back-off
/// remains known as faulty.
inline constexpr std::chrono::seconds kJobFailureRetention{120};

/// A run begins without placed tasks. Job::beginRun() sets the number of waiting tasks.
struct JobRun {
    /// True if any task of the job has been started or placed in this run.
    bool anyTaskStarted() const { return launchedTasks > 0 || placedTotal > 0; }
    /// True if no task of the job is placed and the job has been waiting for at least `time`.
    bool hasWaitedUnstarted(Clock::duration time, Time now) const {
        return placedTotal == 0 && now - waitingSince >= time;
    }

    /// True if the job is the likely cause of its tasks' failures.
    bool suspectedFaulty(Time now) const { return failures.count(now) >= kFaultyJobMachines; }

    // Counters of tasks, maintained by Job and Fleet.
    PlacementCounts placedCount;                    // number of placements, by task
    std::uint32_t placedTotal = 0;                  // sum of placedCount
    std::uint32_t waiting = 0;                      // tasks neither finished nor placed
    std::uint32_t running = 0;                      // placements in the state `running`
    std::set<std::uint32_t> unpersistedTasks;       // done tasks whose bits are not stored yet
    std::uint32_t firstWaitingHint = 0;             // no task with a lower number is waiting
    std::map<std::string, std::uint32_t> zones;     // number of placements, by zone
    std::map<std::string, std::uint32_t> machines;  // number of placements, by machine

    // The order of jobs, maintained by the JobQueue.
    JobOrigin origin = JobOrigin::accepted;
    int rank = 0;               // jobs of a higher rank are served first
    double positionInRank = 0;  // within a rank, jobs of a lower position are served first
    protocol::Priority priority = protocol::Priority::normal;  // its own, or that of a job that depends on it
    bool guaranteed = false;                                   // it is within its team's guaranteed quota
    bool overdue = false;                          // ready for longer than the policy's starvationThreshold
    const protocol::Team* team = nullptr;          // null if the settings do not list its team
    std::optional<Seconds> shortestWaitObjective;  // shortest time to start in the objectives for its class
    Time readyAt{};       // when it was accepted or, if later, the last of its dependencies was done
    Time waitingSince{};  // when the run began or, if later, an attempt last ended with tasks left waiting

    // Pacing of image fetches. m, md and Md are the symbols of the paper cited in fetch_pacing.h.
    std::uint32_t launchedTasks = 0;  // m: tasks that were started
    std::uint32_t pacedFetches = 0;   // md: image fetches that task starts caused, paced or not
    double expectedPacedFetches = 0;  // Md: fetches expected when the job was admitted to the pacing
    bool admitted = false;            // expectedPacedFetches has been set
    /// The first task that was started, if the job had become overdue before its first start. Empty again
    /// once an attempt of that task has ended.
    std::optional<std::uint32_t> firstOverdueTask;

    // Gangs.
    std::uint64_t gangAttempt = 0;                 // number of the attempt in progress, 0 if there is none
    std::set<std::string> machinesWithEndedTasks;  // machines on which a task of that attempt has ended

    // Failures, and the writing of results.
    Time backoffUntil{};                            // after failures, no task is started before this time
    RecentFailures failures{kJobFailureRetention};  // by machine
    Time nextBitmapWrite{};                         // earliest time of the next write of bits

    // Image locality, computed at intervals and not for each heartbeat.
    std::uint32_t capacityWithImage = 0;  // number of tasks that fit on machines with the image
    Time capacityWithImageExpiresAt{};    // when capacityWithImage expires
    bool shouldWaitForImage = false;      // the job should wait for a machine with the image
    Time shouldWaitForImageExpiresAt{};   // when shouldWaitForImage expires
};

}  // namespace burlpoint::bookkeeping
