#pragma once

// Commands to a worker that follow from its heartbeat and from what is on its machine, without any scheduling
// decision: stops, and acknowledgements of exited tasks. Starts are up to the scheduler. These functions own
// and change no state.

#include <cstddef>
#include <vector>

#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

inline constexpr std::size_t kMaxCommands = 300;  // keeps a response well below 64 KiB

/// Did all commands fit into the response?
enum class CommandFit { complete, truncated };

/// Stops for all tasks on the machine that are marked as stopping, at most kMaxCommands. They are repeated
/// with every message until the worker's status shows that it has received them.
std::vector<protocol::WorkerCommand> stopCommands(const bookkeeping::Machine& machine);

/// Stops for tasks in the heartbeat whose jobs are in a terminal state, at most kMaxCommands. A worker that
/// has not shown this leader's fencing token may be sent nothing else, as its list of tasks may be old.
std::vector<protocol::WorkerCommand> stopsOfTerminatedJobs(const protocol::Heartbeat& heartbeat,
                                                           bookkeeping::StateReplica& replica);

/// Adds stops for running tasks that belong to no known job, and acknowledgements of exited tasks whose
/// result need not be kept by the worker any more. After CommandFit::truncated the response takes no more
/// commands.
CommandFit addCleanupCommands(const protocol::Heartbeat& heartbeat, bookkeeping::StateReplica& replica,
                              std::vector<protocol::WorkerCommand>& commands);

}  // namespace burlpoint::coordination
