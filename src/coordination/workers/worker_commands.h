#pragma once

// Derives commands to a worker from its heartbeat and from the placements on its machine, without any
// scheduling decision: stops, and acknowledgements of exited tasks. Starts are decided by the scheduler. The
// functions own and change no state.

#include <cstddef>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/recent_starts.h"
#include "bookkeeping/state_replica.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

inline constexpr std::size_t kMaxCommands = 300;  // keeps a response well below 64 KiB

/// Whether all commands fit into the response.
enum class CommandFit { complete, truncated };

/// Returns stops for the tasks on the machine that are marked as stopping, at most kMaxCommands. Each stop is
/// repeated in every message until the worker's status shows that it has received it.
std::vector<protocol::WorkerCommand> stopCommands(const bookkeeping::Machine& machine);

/// Returns stops for the tasks in the heartbeat whose jobs are in a terminal state, at most kMaxCommands. No
/// other commands may be sent to a worker that has not shown this leader's fencing token, since its task list
/// may be outdated.
std::vector<protocol::WorkerCommand> stopsOfTerminatedJobs(const protocol::Heartbeat& heartbeat,
                                                           bookkeeping::StateReplica& replica);

/// Appends stops for running tasks that belong to no known job, and acknowledgements of exited tasks that the
/// worker need not list any longer: their results are stored, and no copy of their starts, which
/// `recentStarts` of the machine knows, may still be carried out. If it returns CommandFit::truncated, the
/// response is full and takes no further commands.
CommandFit addCleanupCommands(const protocol::Heartbeat& heartbeat, bookkeeping::StateReplica& replica,
                              const bookkeeping::RecentStarts& recentStarts, Time now,
                              std::vector<protocol::WorkerCommand>& commands);

}  // namespace burlpoint::coordination
