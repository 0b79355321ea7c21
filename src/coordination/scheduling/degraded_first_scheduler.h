#pragma once

// Degraded-first scheduling (the paper is cited in fetch_pacing.h): decides which tasks the response to a
// machine's heartbeat starts. Owns no state: placements and reservations are in the fleet, counters in the
// jobs' runs and the pacing state in FetchPacing. Used on the leader's thread.

#include <span>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "coordination/scheduling/attempt_id_generator.h"
#include "coordination/scheduling/fetch_pacing.h"
#include "coordination/scheduling/image_locality.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/scheduling/placement_constraints.h"
#include "protocol/settings.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

/// The settings, state and components that the scheduler uses.
struct SchedulerContext {
    const protocol::Settings& settings;
    bookkeeping::Fleet& fleet;
    const bookkeeping::MachineTypes& types;
    JobQueue& jobQueue;
    FetchPacing& pacing;
    const PlacementConstraints& constraints;
    ImageLocality& images;
    AttemptIdGenerator& attempts;
};

/// For each heartbeat, iterates over the ranks of the job queue. In each rank it starts, in the queue's
/// order, first the cached tasks that fit (tasks whose image the machine has) and at most one paced fetch for
/// the whole heartbeat, then any waiting task that fits into the remaining capacity. It completes one rank
/// before the next, so that cached tasks of a lower rank do not take capacity that a higher rank's fetch
/// could use. Tasks of gangs with several tasks start where GangPlanner has planned them.
class DegradedFirstScheduler {
  public:
    /// Everything that the context refers to must outlive this object.
    explicit DegradedFirstScheduler(const SchedulerContext& context);

    /// Appends the start commands for the response to the machine's heartbeat. The job queue and the pacing
    /// must be up to date, and the machine must be usable.
    void schedule(bookkeeping::Machine& machine, std::vector<protocol::WorkerCommand>& commands, Time now);

  private:
    using JobSpan = std::span<bookkeeping::Job* const>;  // consecutive waiting jobs, in the queue's order

    /// The state of handling one heartbeat.
    struct HeartbeatHandling {
        bookkeeping::Machine& machine;
        std::vector<protocol::WorkerCommand>& commands;  // in the response
        Time now;
        bool pacedFetchStarted = false;  // the paper's isDegradedTaskAssigned
    };

    static void startPlannedTasks(HeartbeatHandling& heartbeat, bookkeeping::Fleet& fleet);
    void startCachedAndPaced(HeartbeatHandling& heartbeat, JobSpan jobs);
    bool mayStartPacedFetch(const HeartbeatHandling& heartbeat, bookkeeping::Job& job);
    void fillLeftoverCapacity(HeartbeatHandling& heartbeat, JobSpan jobs);
    void startFetchingTasks(HeartbeatHandling& heartbeat, bookkeeping::Job& job);
    bool startOneTask(HeartbeatHandling& heartbeat, bookkeeping::Job& job);
    bool mayStartOneTask(const HeartbeatHandling& heartbeat, const bookkeeping::Job& job) const;
    bool mayUse(const bookkeeping::Machine& machine, const bookkeeping::Job& job, Time now) const;
    void reserveForWaitingJob(bookkeeping::Machine& machine, const bookkeeping::Job& job, Time now);

    const SchedulerContext context_;
};

}  // namespace burlpoint::coordination
