#pragma once

// Whether a job may start a task on a machine, room aside: what the job's owner, the zones, accelerators and
// failures say. Owns nothing.

#include "bookkeeping/fleet.h"
#include "coordination/accelerator_policy.h"
#include "coordination/zone_reservations.h"

namespace burlpoint::coordination {

class StartRules {
  public:
    /// Both are kept by reference and have to outlive this.
    StartRules(const AcceleratorPolicy& accelerators, const ZoneReservations& zoneReservations);

    /// May one more task of the job start on the machine, as far as all but room and the team's limit go?
    /// The job must have a run.
    bool mayStart(const bookkeeping::Job& job, const bookkeeping::Machine& machine,
                  transport::Time now) const;

  private:
    const AcceleratorPolicy& accelerators_;
    const ZoneReservations& zoneReservations_;
};

}  // namespace burlpoint::coordination
