#pragma once

// Fleet membership: adds machines when they first appear in a message, a list or a stored record, and removes
// machines that were deleted or that the cloud no longer lists. Owns the tombstones of removed machines, by
// which delayed messages of these machines are recognized; the fleet owns the machines. Part of a leader,
// used on its thread.

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
    /// All arguments are kept by reference and must outlive this object.
    FleetMembership(bookkeeping::Fleet& fleet, const bookkeeping::MachineTypes& types,
                    MachineRegistry& registry, AttemptCompletion& completion, JobQueue& jobQueue);

    /// Returns the machine, which is added with the properties of `offering` if it is not in the fleet. An
    /// added machine counts as reconciled, that is, as having no tasks unknown to this leader, unless its
    /// stored registry entry shows that an earlier leader may have started tasks on it.
    bookkeeping::Machine& findOrAdd(const std::string& id, const bookkeeping::Offering& offering, Time now);

    /// Ends all attempts on the machine, has its registry entry deleted and removes it from the fleet.
    void remove(bookkeeping::Machine& machine, Time now);

    /// Records that the cloud has deleted the machine. Messages and lists that show it later are out of date.
    void recordDeletion(const std::string& id) { tombstones_.addDeleted(id); }

    /// True if the cloud has deleted the machine.
    bool isDeleted(const std::string& id) const { return tombstones_.isDeleted(id); }

    /// True if the machine is in the fleet or was in it earlier.
    bool isOrWasMember(const std::string& id) const;

    /// True if the heartbeat was sent before its machine was removed. Always false for a machine in the
    /// fleet.
    bool isFromBeforeRemoval(const protocol::Heartbeat& heartbeat) const;

  private:
    bookkeeping::Fleet& fleet_;
    const bookkeeping::MachineTypes& types_;
    MachineRegistry& registry_;
    AttemptCompletion& completion_;
    JobQueue& jobQueue_;
    MachineTombstones tombstones_;
};

/// Marks the machine as untrusted: its later messages are ignored, and the autoscaler deletes it.
void quarantine(bookkeeping::Machine& machine);

}  // namespace burlpoint::coordination
