#pragma once

// Conclusions from a machine's state and its history under this and earlier leaders: whether it was ever up,
// whether it is leaving, and whether it is faulty. Pure functions.

#include <cstddef>
#include <string>

#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"

namespace burlpoint::bookkeeping {

/// True if an earlier leader may have started a task on the machine. No task is started on a machine before
/// it has sent a heartbeat, and until then its entry in the machine registry has no address.
inline bool mayHoldTasks(const StateReplica& replica, const std::string& machine) {
    const auto stored = replica.registeredMachines.find(machine);
    return stored != replica.registeredMachines.end() && !stored->second.record.address.empty();
}

/// True if the machine has sent a heartbeat to this or an earlier leader. If such a machine no longer
/// sends any, it is not booting but lost.
inline bool wasUp(const Machine& machine, const StateReplica& replica) {
    return machine.agent.incarnation > 0 || mayHoldTasks(replica, machine.id);
}

/// True if the machine is about to end or has ended: it is draining, interrupted, failed or to be deleted.
inline bool isLeaving(const Machine& machine) {
    const auto& cloud = machine.cloud;
    return cloud.draining || cloud.deletionRequested || cloud.failed || cloud.interruptionAt.has_value();
}

/// True if tasks of several jobs have recently failed on the machine and none has succeeded there since. Then
/// the machine is the likely cause.
inline bool isFaulty(const Machine& machine, Time now) {
    constexpr std::size_t kFaultyAfter = 2;  // jobs; a single one may itself be the cause
    return machine.history.failures.count(now) >= kFaultyAfter;
}

}  // namespace burlpoint::bookkeeping
