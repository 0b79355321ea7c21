#pragma once

// Applies the cloud provider's responses to the fleet: machines that were created, deleted or listed, and the
// list of machine types. Owns no state: the fleet owns the machines, and the autoscaler owns the pending
// requests. Part of a leader, used on its thread.

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

/// The state that the handling of a cloud response reads and changes.
struct CloudResponseHandlerContext {
    const bookkeeping::StateReplica& replica;
    bookkeeping::Fleet& fleet;
    bookkeeping::MachineTypes& types;
    FleetMembership& membership;
    MachineRegistry& registry;
    StateWriter& writer;
    Autoscaler& autoscaler;
    JobQueue& jobQueue;
};

class CloudResponseHandler {
  public:
    /// All objects that the context refers to must outlive this object.
    explicit CloudResponseHandler(const CloudResponseHandlerContext& context);

    void handle(const ScaleOutCompleted& event, Time now);
    void handle(const ScaleInCompleted& event, Time now);
    void handle(const MachinesListed& event, Time now);
    void handle(const TypesListed& event);

  private:
    void applyListedInstance(const protocol::CloudInstance& instance, Time now);
    bool updateType(const protocol::MachineType& type);

    const CloudResponseHandlerContext context_;
};

}  // namespace burlpoint::coordination
