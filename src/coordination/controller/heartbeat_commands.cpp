#include "coordination/controller/heartbeat_commands.h"

#include <utility>

#include "coordination/scheduling/placement_constraints.h"
#include "coordination/workers/worker_commands.h"

namespace burlpoint::coordination {

using protocol::WorkerCommand;

HeartbeatCommands::HeartbeatCommands(bookkeeping::StateReplica& replica, SchedulingInputs& inputs,
                                     DegradedFirstScheduler& scheduler)
    : replica_(replica), inputs_(inputs), scheduler_(scheduler) {}

std::vector<WorkerCommand> HeartbeatCommands::compose(bookkeeping::Machine& machine,
                                                      const HeartbeatReceived& event, Time now) {
    if (!machine.agent.acknowledged) return stopsOfTerminatedJobs(event.heartbeat, replica_);
    std::vector<WorkerCommand> commands;
    const auto fit =
        addCleanupCommands(event.heartbeat, replica_, machine.history.recentStarts, now, commands);
    if (fit == CommandFit::truncated) return commands;
    for (auto& command : stopCommands(machine)) commands.push_back(std::move(command));
    // A leader that is partitioned from the key-value store may act for up to 10 s more, see
    // `Election::maxTimeWithoutRead`. Meanwhile other controllers may confirm cancellations to users that
    // this leader does not know of. Running tasks continue, but no new task is started.
    if (!event.cancellationsCurrent || !isUsable(machine, now)) return commands;
    inputs_.refresh(now);
    scheduler_.schedule(machine, commands, now);
    return commands;
}

}  // namespace burlpoint::coordination
