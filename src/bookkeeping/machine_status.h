#pragma once

// What the controllers' records tell of a machine's past: whether it was ever up, whether it is faulty. Owns
// nothing.

#include <cstddef>
#include <string>

#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"

namespace burlpoint::bookkeeping {

/// May an earlier leader have given the machine a task? The machine registry entry of one that has not
/// reported yet has no address, and no task is given under it.
inline bool mayHoldTasks(const StateReplica& replica, const std::string& machine) {
    const auto stored = replica.registeredMachines.find(machine);
    return stored != replica.registeredMachines.end() && !stored->second.record.address.empty();
}

/// It has reported, here or to an earlier leader: if it is silent, it does not boot, it is lost.
inline bool wasUp(const Machine& machine, const StateReplica& replica) {
    return machine.incarnation > 0 || mayHoldTasks(replica, machine.id);
}

/// Tasks of several jobs have failed on it since one last worked: the machine is the likely cause.
inline bool isFaulty(const Machine& machine) {
    constexpr std::size_t kFaultyAfter = 2;  // jobs; one alone may be at fault itself
    return machine.errorJobs.size() >= kFaultyAfter;
}

}  // namespace burlpoint::bookkeeping
