#pragma once

// Whether a job may start a task on a machine, room aside: what the job's owner, the zones, accelerators and
// failures say. Owns nothing.

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "coordination/scheduling/accelerator_policy.h"
#include "coordination/scheduling/zone_reservations.h"

namespace burlpoint::coordination {

class StartConstraints {
  public:
    /// Both are kept by reference and have to outlive this.
    StartConstraints(const AcceleratorPolicy& accelerators, const ZoneReservations& zoneReservations);

    /// May one more task of the job start on the machine, as far as all but room and the team's limit go?
    /// The job must have a run.
    bool mayStart(const bookkeeping::Job& job, const bookkeeping::Machine& machine, Time now) const;

  private:
    const AcceleratorPolicy& accelerators_;
    const ZoneReservations& zoneReservations_;
};

}  // namespace burlpoint::coordination
