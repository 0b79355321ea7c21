#pragma once

// Orders to a worker that follow from what is on its machine and in its heartbeat, without any decision of
// the leader's: stopping what is to stop and forgetting what is settled. These functions own and change
// nothing. Starts are the placement's matter.

#include <cstddef>
#include <vector>

#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

inline constexpr std::size_t kMaxCommands = 300;  // keeps a response well below 64 KiB

/// Stops of all tasks on the machine that are marked for it, at most kMaxCommands. They are repeated with
/// every message until the worker shows that it has them.
std::vector<protocol::WorkerCommand> stopCommands(const bookkeeping::Machine& machine);

/// Stops of what the heartbeat lists of jobs that are over, at most kMaxCommands: all that may be ordered of
/// a worker that has not shown this leader's fencing token, as its list may be old.
std::vector<protocol::WorkerCommand> stopsOfTerminatedJobs(const protocol::Heartbeat& heartbeat,
                                                           bookkeeping::StateReplica& replica);

/// Adds stops of tasks that no known job has, and has the worker forget the ends that are settled. False if
/// there was no room for all: then the response takes no more.
bool addSettlingCommands(const protocol::Heartbeat& heartbeat, bookkeeping::StateReplica& replica,
                         std::vector<protocol::WorkerCommand>& commands);

}  // namespace burlpoint::coordination
