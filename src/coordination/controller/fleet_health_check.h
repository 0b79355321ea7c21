#pragma once

// Acts on the findings of the failure detector: expires the leases of workers without recent heartbeats,
// probes suspected machines, has failed machines deleted, and has the leader resign if this controller itself
// appears to be partitioned from the workers. Owns no state: the failure detector keeps the schedule of the
// checks. Part of a leader, used on its thread.

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
    /// All arguments are kept by reference and must outlive this object. Resulting actions are appended to
    /// `actions`.
    FleetHealthCheck(FailureDetector& detector, MachineRegistry& registry, AttemptCompletion& completion,
                     DirectCommands& directCommands, std::vector<Action>& actions);

    /// Reports the tick to the failure detector, and checks the fleet if a check is due. Must be called on
    /// every tick.
    void tick(Time now);

  private:
    void resignIfIsolated(Isolation isolation);
    void expireLeases(const FailureDetector::HealthSummary& summary, Time now);

    FailureDetector& detector_;
    MachineRegistry& registry_;
    AttemptCompletion& completion_;
    DirectCommands& directCommands_;
    std::vector<Action>& actions_;
};

}  // namespace burlpoint::coordination
