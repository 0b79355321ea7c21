#pragma once

// What is known of a machine's past from the records of all leaders: whether it was ever up, whether it is
// faulty. Pure functions.

#include <cstddef>
#include <string>

#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"

namespace burlpoint::bookkeeping {

/// May an earlier leader have started a task on the machine? No task is started on a machine before it has
/// sent a heartbeat, and until then its entry in the machine registry has no address.
inline bool mayHoldTasks(const StateReplica& replica, const std::string& machine) {
    const auto stored = replica.registeredMachines.find(machine);
    return stored != replica.registeredMachines.end() && !stored->second.record.address.empty();
}

/// Has the machine sent a heartbeat, to this or an earlier leader? If so and it sends none any more, it is
/// not booting but lost.
inline bool wasUp(const Machine& machine, const StateReplica& replica) {
    return machine.agent.incarnation > 0 || mayHoldTasks(replica, machine.id);
}

/// Have tasks of several jobs failed on the machine since one was last done? Then the machine is the likely
/// cause.
inline bool isFaulty(const Machine& machine) {
    constexpr std::size_t kFaultyAfter = 2;  // jobs; one alone may be at fault itself
    return machine.history.failedJobs.size() >= kFaultyAfter;
}

}  // namespace burlpoint::bookkeeping
