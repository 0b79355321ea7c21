#pragma once

// Acts on what the failure detector finds: ends the leases of workers that were not heard in time, has
// suspected machines probed and failed ones deleted, and resigns when it is rather this controller that is
// cut off. Owns nothing: when a check is due is the failure detector's. Part of a leader, on its thread.

#include <vector>

#include "base/clock.h"
#include "coordination/controller/direct_commands.h"
#include "coordination/controller/leader_actions.h"
#include "coordination/state/machine_registry.h"
#include "coordination/workers/attempt_completion.h"
#include "coordination/workers/failure_detector.h"
#include "coordination/workers/isolation_detector.h"

namespace burlpoint::coordination {

class FleetHealthCheck {
  public:
    /// All are kept by reference and have to outlive this; what is to be done is appended to `actions`.
    FleetHealthCheck(FailureDetector& detector, MachineRegistry& registry, AttemptCompletion& completion,
                     DirectCommands& directCommands, std::vector<Action>& actions);

    /// To be called with every tick: notes it, and checks the fleet if that is due.
    void tick(Time now);

  private:
    void resignIfIsolated(Isolation isolation);
    void expireLeases(const FailureDetector::Census& census, Time now);

    FailureDetector& detector_;
    MachineRegistry& registry_;
    AttemptCompletion& completion_;
    DirectCommands& directCommands_;
    std::vector<Action>& actions_;
};

}  // namespace burlpoint::coordination
