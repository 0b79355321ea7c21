#pragma once

// Gang scheduling: finds capacity for all tasks of a gang at once and reserves it, so that each task can
// start with the response to its machine's next heartbeat. Owns the set of planned gangs and the time of the
// next planning run; the plans are kept in the fleet as planned placements. Used on the leader's thread.

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "coordination/scheduling/attempt_id_generator.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/scheduling/placement_constraints.h"
#include "coordination/scheduling/zone_reservations.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// Plans gangs of several tasks, all tasks or none. Gangs of one task are scheduled like other jobs.
class GangPlanner {
  public:
    /// Keeps references to all arguments, which must outlive this object.
    GangPlanner(const protocol::Settings& settings, bookkeeping::Fleet& fleet,
                const bookkeeping::MachineTypes& types, const PlacementConstraints& constraints,
                JobQueue& jobQueue, ZoneReservations& zoneReservations, AttemptIdGenerator& attempts);

    /// Withdraws planned tasks that their machine can't be sent, then plans the waiting gangs for which there
    /// is capacity now, in the job queue's order. Iterates over all machines, so it does nothing if called
    /// within 200 ms of the last run.
    void plan(Time now);

    /// True if the gang's waiting tasks may be placed. This holds for a gang without any placement, which
    /// starts as a whole. It also holds for a gang that lost tasks before any of its tasks ran, if none of
    /// the others has waited for more than 30% of `gangWaitTimeout`: the lost tasks are replaced under the
    /// same attempt number. This lets a new leader complete a gang that the earlier leader started only in
    /// part.
    bool mayComplete(const bookkeeping::Job& job, Time now) const;

  private:
    /// A machine with capacity for some of a gang's tasks.
    struct Candidate {
        bookkeeping::Machine* machine = nullptr;
        std::uint32_t tasks = 0;  // that fit on the machine
        int score = 0;            // higher is better
        bool hasImage = false;
    };
    using Machines = std::vector<bookkeeping::Machine*>;

    void withdrawStalledTasks(Time now);
    std::size_t withdrawStalledTasks(bookkeeping::Job& job, Time now);
    bool mayBeSent(const bookkeeping::Placement& placement, const bookkeeping::Machine& machine,
                   Time now) const;
    bool isHeard(const bookkeeping::Machine& machine, Time now) const;
    Machines machinesWithCapacity(Time now) const;
    bool isDue(const bookkeeping::Job& job, Time now) const;
    void planGang(const Machines& machines, bookkeeping::Job& job, Time now);
    bool planIn(const std::string& zone, const Machines& machines, bookkeeping::Job& job, Time now);
    std::vector<Candidate> candidatesIn(const std::string& zone, const Machines& machines,
                                        const bookkeeping::Job& job, Time now) const;
    bool isCandidate(const bookkeeping::Machine& machine, const bookkeeping::Job& job, Time now) const;
    static Machines choose(const std::vector<Candidate>& candidates, const bookkeeping::Job& job);
    void place(const Machines& chosen, bookkeeping::Job& job, Time now);

    const protocol::Settings& settings_;
    bookkeeping::Fleet& fleet_;
    const bookkeeping::MachineTypes& types_;
    const PlacementConstraints& constraints_;
    JobQueue& jobQueue_;
    ZoneReservations& zoneReservations_;
    AttemptIdGenerator& attemptIds_;
    std::set<bookkeeping::Job*, bookkeeping::JobIdLess> plannedGangs_;  // gangs that may have planned tasks
    Time nextPlan_{};
};

}  // namespace burlpoint::coordination
