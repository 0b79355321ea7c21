#pragma once

// Which machines belong to the fleet: adds machines when they are first heard of, and removes those that were
// deleted or that the cloud no longer has. Owns the tombstones of removed machines, by which late copies of
// their messages are recognized; the machines themselves are in the fleet. Part of a leader, on its thread.

#include <string>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/state/machine_registry.h"
#include "coordination/workers/attempt_completion.h"
#include "coordination/workers/machine_tombstones.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

class FleetMembership {
  public:
    /// All are kept by reference and have to outlive this.
    FleetMembership(bookkeeping::Fleet& fleet, const bookkeeping::MachineTypes& types,
                    MachineRegistry& registry, AttemptCompletion& completion, JobQueue& jobQueue);

    /// The machine, added with these properties if it is not in the fleet. An added machine without a stored
    /// registry entry counts as reconciled, as no earlier leader gave it a task.
    bookkeeping::Machine& findOrAdd(const std::string& id, const bookkeeping::Offering& offering, Time now);

    /// Ends all attempts on the machine, has its registry entry deleted and takes it out of the fleet.
    void remove(bookkeeping::Machine& machine, Time now);

    /// The cloud has deleted the machine: later messages of it, and lists with it, are out of date.
    void noteDeleted(const std::string& id) { tombstones_.addDeleted(id); }

    /// Has the cloud deleted the machine?
    bool isDeleted(const std::string& id) const { return tombstones_.isDeleted(id); }

    /// Is the machine in the fleet, or was it earlier?
    bool isOrWasMember(const std::string& id) const;

    /// Was the heartbeat sent before its machine was removed? Never true for a machine in the fleet.
    bool isFromBeforeRemoval(const protocol::Heartbeat& heartbeat) const;

  private:
    bookkeeping::Fleet& fleet_;
    const bookkeeping::MachineTypes& types_;
    MachineRegistry& registry_;
    AttemptCompletion& completion_;
    JobQueue& jobQueue_;
    MachineTombstones tombstones_;
};

/// Stops trusting the machine: its messages are ignored from now on, and the autoscaler deletes it.
void quarantine(bookkeeping::Machine& machine);

}  // namespace burlpoint::coordination
