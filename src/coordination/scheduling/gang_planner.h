#pragma once

// Gang scheduling: finds capacity for all tasks of a gang at once and reserves it, so that each task can
// start with its machine's next heartbeat. Owns when it last planned; what it plans is in the fleet as
// planned placements. Used on the leader's thread.

#include <cstdint>
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

/// Plans gangs of several tasks, whole or not at all. Gangs of one task are scheduled like other jobs.
class GangPlanner {
  public:
    /// All are kept by reference and have to outlive this.
    GangPlanner(const protocol::Settings& settings, bookkeeping::Fleet& fleet,
                const bookkeeping::MachineTypes& types, const PlacementConstraints& constraints,
                JobQueue& jobQueue, ZoneReservations& zoneReservations, AttemptIdGenerator& attempts);

    /// Plans the waiting gangs that there is capacity for now, in the job queue's order. Walks over all
    /// machines, so it does so five times a second at most.
    void plan(Time now);

    /// May the gang have its waiting tasks placed? True for a gang without any placement, which begins as a
    /// whole. True also for a gang that lost a task before it began: it takes a replacement under the same
    /// attempt number, as the other tasks go on waiting for it. So a new leader completes a gang of which the
    /// earlier leader had started only a part.
    bool mayComplete(const bookkeeping::Job& job, Time now) const;

  private:
    /// A machine with capacity for some of a gang's tasks.
    struct Candidate {
        bookkeeping::Machine* machine = nullptr;
        std::uint32_t tasks = 0;  // that fit
        int score = 0;            // the higher the better
        bool hasImage = false;
    };
    using Machines = std::vector<bookkeeping::Machine*>;

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
    Time nextPlan_{};
};

}  // namespace burlpoint::coordination
