#pragma once

// DESIGN's degraded-first scheduling (the paper's Algorithm 3): what a machine is given to start with its
// report. Owns no state: placements and reservations are in the fleet, counts in the jobs' runs, the state of
// the pacing in FetchPacing.

#include <span>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "coordination/autoscaling/instance_selection.h"
#include "coordination/scheduling/attempt_id_generator.h"
#include "coordination/scheduling/fetch_pacing.h"
#include "coordination/scheduling/image_locality.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/scheduling/start_constraints.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// What the scheduler decides by and acts on.
struct SchedulerContext {
    const protocol::Settings& settings;
    bookkeeping::Fleet& fleet;
    const bookkeeping::MachineTypes& types;
    JobQueue& jobQueue;
    FetchPacing& pacing;
    const StartConstraints& rules;
    ImageLocality& images;
    AttemptIdGenerator& attempts;
};

/// On each worker report, for one rank of jobs after the other, in their order: cached tasks that fit, at
/// most one paced fetch for the whole report, then any waiting task that fits in the room left. Tasks of
/// gangs start where they were planned. One rank at a time, so that a low job's cached tasks do not take the
/// room of a high one's fetch.
class DegradedFirstScheduler {
  public:
    /// All that the context refers to has to outlive this.
    explicit DegradedFirstScheduler(const SchedulerContext& context);

    /// Adds the starts that go with the response to the machine's heartbeat. The order of jobs and the pacing
    /// must be up to date, and the machine usable.
    void schedule(bookkeeping::Machine& machine, std::vector<protocol::WorkerCommand>& commands, Time now);

  private:
    using JobSpan = std::span<bookkeeping::Job* const>;  // some of the waiting jobs, in order

    /// One heartbeat's handling.
    struct Turn {
        bookkeeping::Machine& machine;
        std::vector<protocol::WorkerCommand>& commands;
        Time now;
        bool fetchPlaced = false;  // the paced fetch of this heartbeat was started
    };

    static void startPlanned(Turn& turn, bookkeeping::Fleet& fleet);
    void startCachedAndPaced(Turn& turn, JobSpan jobs);
    void fillLeftoverRoom(Turn& turn, JobSpan jobs);
    bool startOne(Turn& turn, bookkeeping::Job& job);
    bool mayStartOne(const Turn& turn, const bookkeeping::Job& job) const;
    void reserveFreedRoom(bookkeeping::Machine& machine, const bookkeeping::Job& job, Time now);

    const SchedulerContext context_;
};

}  // namespace burlpoint::coordination
