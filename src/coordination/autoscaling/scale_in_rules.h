#pragma once

// Decides for a single machine whether it may be deleted. Owns no state.

#include <set>
#include <string>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "protocol/policy.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// Decides whether a machine may be scaled in.
class ScaleInRules {
  public:
    /// Both references must outlive this object.
    ScaleInRules(const protocol::Policy& policy, const bookkeeping::StateReplica& replica)
        : policy_(policy), replica_(replica) {}

    /// True if the machine's deletion was requested before, if it stopped, failed to boot, is lost, draining
    /// or faulty, or if it is idle and its id is not among `neededMachines`. A machine that may have tasks is
    /// kept, unless it stopped or its deletion was requested.
    bool mayScaleIn(const bookkeeping::Machine& machine, const std::set<std::string>& neededMachines,
                    Time now) const;

  private:
    bool isIdle(const bookkeeping::Machine& machine, Time now) const;

    const protocol::Policy& policy_;
    const bookkeeping::StateReplica& replica_;
};

}  // namespace burlpoint::coordination
