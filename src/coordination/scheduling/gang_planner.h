#pragma once

// Gangs of several tasks start whole or not at all: this module finds room for all of a gang's tasks at once
// and keeps it, so that each task can start with its machine's next heartbeat. Owns when it looked last; what
// it plans is in the fleet as planned placements.

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "coordination/autoscaling/instance_selection.h"
#include "coordination/scheduling/attempt_id_generator.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/scheduling/start_constraints.h"
#include "coordination/scheduling/zone_reservations.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

class GangPlanner {
  public:
    /// All are kept by reference and have to outlive this.
    GangPlanner(const protocol::Settings& settings, bookkeeping::Fleet& fleet,
                const bookkeeping::MachineTypes& types, const StartConstraints& rules, JobQueue& jobQueue,
                ZoneReservations& zoneReservations, AttemptIdGenerator& attempts);

    /// Plans the waiting gangs that find room now, in order. It walks over all machines, so it does so five
    /// times a second at most.
    void plan(Time now);

    /// May the gang have its waiting tasks placed? A gang begins as a whole. One that lost a task before it
    /// began takes a replacement under the same attempt number, as the others go on waiting for it; a new
    /// leader completes a gang that the old one half started.
    bool mayComplete(const bookkeeping::Job& job, Time now) const;

  private:
    /// A machine with room for some of a gang's tasks.
    struct Option {
        bookkeeping::Machine* machine = nullptr;
        std::uint32_t room = 0;  // tasks
        int merit = 0;           // the higher the better
        bool cached = false;     // it has the image
    };
    using Machines = std::vector<bookkeeping::Machine*>;

    Machines machinesWithRoom(Time now) const;
    bool isDue(const bookkeeping::Job& job, Time now) const;
    bool planIn(const Machines& machines, const std::string* zone, bookkeeping::Job& job, Time now);
    std::vector<Option> optionsIn(const Machines& machines, const std::string* zone,
                                  const bookkeeping::Job& job, Time now) const;
    static Machines choose(const std::vector<Option>& options, const bookkeeping::Job& job);
    void place(const Machines& chosen, bookkeeping::Job& job, Time now);

    const protocol::Settings& settings_;
    bookkeeping::Fleet& fleet_;
    const bookkeeping::MachineTypes& types_;
    const StartConstraints& constraints_;
    JobQueue& jobQueue_;
    ZoneReservations& zoneReservations_;
    AttemptIdGenerator& attemptIds_;
    Time nextPlan_{};
};

}  // namespace burlpoint::coordination
