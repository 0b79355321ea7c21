#pragma once

// The run of a job: what a leader knows of the job beyond the stored facts, from when the job becomes ready
// under it until the leadership ends. Owned by its Job. Used on the thread that owns the leader.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/job_messages.h"
#include "protocol/settings.h"

namespace burlpoint::bookkeeping {

/// Since when a job has been accepted, seen from its leader.
enum class JobOrigin {
    accepted,  // under this leader: no earlier leader can have started its tasks
    inherited  // before this leader began: tasks may be on machines that it has not heard from
};

struct JobRun {
    /// No task is placed. None counts as waiting until Job::beginRun() says how many do.
    explicit JobRun(std::uint32_t tasks) : placedCount(tasks, 0) {}

    /// Has any task of the job been started?
    bool began() const { return launchedTasks > 0 || placedTotal > 0; }
    /// Has no task of the job been placed for that time?
    bool hasWaitedUnstarted(Clock::duration time, Time now) const {
        return placedTotal == 0 && now - waitingSince >= time;
    }

    // Counters of tasks, kept by Job and Fleet.
    std::vector<std::uint8_t> placedCount;          // placements of each task
    std::uint32_t placedTotal = 0;                  // sum of placedCount
    std::uint32_t waiting = 0;                      // tasks neither finished nor placed
    std::uint32_t running = 0;                      // placements that are running
    std::set<std::uint32_t> unpersistedTasks;       // done, but their bits are not stored yet
    std::uint32_t firstWaitingHint = 0;             // no task before this one is waiting
    std::map<std::string, std::uint32_t> zones;     // placements in each zone
    std::map<std::string, std::uint32_t> machines;  // placements on each machine

    // The order of jobs, kept by the JobQueue.
    JobOrigin origin = JobOrigin::accepted;
    int rank = 0;               // a higher rank is served first
    double positionInRank = 0;  // within a rank, a lower position is served first
    protocol::Priority priority = protocol::Priority::normal;  // its own, or that of a job that depends on it
    bool guaranteed = false;                                   // within its team's guaranteed quota
    bool overdue = false;                                      // has been passed over for too long
    const protocol::Team* team = nullptr;
    std::optional<Seconds> shortestWaitObjective;  // of the objectives for its class
    Time readyAt{};                                // accepted, and its dependencies done
    Time waitingSince{};

    // Pacing of image fetches, with the symbols of the design.
    std::uint32_t launchedTasks = 0;  // m: tasks that were started
    std::uint32_t pacedFetches = 0;   // md: fetches that were paced
    double expectedPacedFetches = 0;  // Md: paced fetches expected at admission
    bool admitted = false;            // expectedPacedFetches is known
    /// The first task that was started after the job had become overdue before its first start.
    std::optional<std::uint32_t> firstOverdueTask;

    // Gangs.
    std::uint64_t gangAttempt = 0;       // the attempt in progress; 0: none
    std::set<std::string> machinesLeft;  // machines where a task of this attempt has ended

    // Failures, and the writing of results.
    Time backoffUntil{};                        // no new starts until then, after failures
    std::map<std::string, Time> errorMachines;  // where and when tasks failed since the last success
    bool succeeded = false;                     // a task has been done
    Time nextBitmapWrite{};                     // when bits may be stored next

    // Image locality, looked up at intervals and not for each heartbeat.
    std::uint32_t roomWithImage = 0;  // waiting tasks that fit on machines with the image
    Time cachedRoomUntil{};           // when roomWithImage expires
    bool imageWait = false;           // the job should wait for a machine with the image
    Time imageWaitUntil{};            // when imageWait expires
};

}  // namespace burlpoint::bookkeeping
