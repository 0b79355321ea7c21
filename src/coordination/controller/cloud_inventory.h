#pragma once

// Takes the cloud's answers into the fleet: machines that were created, deleted or listed, and the list of
// machine types. Owns nothing: machines are in the fleet, and requests under way are the autoscaler's. Part
// of a leader, on its thread.

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "bookkeeping/state_replica.h"
#include "coordination/autoscaling/autoscaler.h"
#include "coordination/controller/fleet_membership.h"
#include "coordination/controller/leader_events.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/state/machine_registry.h"
#include "coordination/state/state_writer.h"

namespace burlpoint::coordination {

/// What taking in an answer of the cloud reads and changes.
struct CloudInventoryContext {
    const bookkeeping::StateReplica& replica;
    bookkeeping::Fleet& fleet;
    bookkeeping::MachineTypes& types;
    FleetMembership& membership;
    MachineRegistry& registry;
    StateWriter& writer;
    Autoscaler& autoscaler;
    JobQueue& jobQueue;
};

class CloudInventory {
  public:
    /// All that the context refers to has to outlive this.
    explicit CloudInventory(const CloudInventoryContext& context);

    void handle(const ScaleOutCompleted& event, Time now);
    void handle(const ScaleInCompleted& event, Time now);
    void handle(const MachinesListed& event, Time now);
    void handle(const TypesListed& event);

  private:
    void noteListed(const protocol::CloudInstance& instance, Time now);
    bool updateType(const protocol::MachineType& type);

    const CloudInventoryContext context_;
};

}  // namespace burlpoint::coordination
