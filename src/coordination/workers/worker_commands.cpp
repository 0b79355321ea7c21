#include "coordination/workers/worker_commands.h"

#include "base/clock.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using bookkeeping::PlacementState;
using protocol::CommandKind;
using protocol::ExitReason;
using protocol::TaskState;
using protocol::TaskStatus;
using protocol::WorkerCommand;
using storage::TerminalState;

namespace {

/// No job that is known has such a task.
bool isStray(const TaskStatus& task, const Job* job) { return !job || task.attempt.task >= job->spec.tasks; }

/// A result is cleared only once its bit is stored: until then the heartbeat is the only record.
bool isSettled(const TaskStatus& task, const Job& job) {
    return task.why != ExitReason::done || job.terminalState != TerminalState::none ||
           job.isDone(task.attempt.task) || job.spec.kind == protocol::JobKind::service;
}

}  // namespace

std::vector<WorkerCommand> stopCommands(const bookkeeping::Machine& machine) {
    std::vector<WorkerCommand> commands;
    for (const auto& [key, placement] : machine.placements) {
        if (commands.size() >= kMaxCommands) break;
        if (!placement.stopping || placement.state == PlacementState::planned) continue;
        if (placement.state == PlacementState::saving && placement.grace > Seconds(0))
            continue;  // it is at it
        commands.push_back({CommandKind::stop,
                            {placement.job->spec.id, placement.task, placement.attempt},
                            placement.grace});
    }
    return commands;
}

std::vector<WorkerCommand> stopsOfTerminatedJobs(const protocol::Heartbeat& heartbeat,
                                                 bookkeeping::StateReplica& replica) {
    // The answer renews the lease. Without stops, what is cancelled would go on for one lease more with each
    // change of leader. Stopping an attempt of a job that is over is right however old the list is.
    std::vector<WorkerCommand> commands;
    for (const auto& task : heartbeat.tasks) {
        if (commands.size() >= kMaxCommands) break;
        const auto* job = replica.find(task.attempt.job);
        if (job && job->terminalState != TerminalState::none && task.state != TaskState::exited)
            commands.push_back({CommandKind::stop, task.attempt, Seconds(0)});
    }
    return commands;
}

bool addSettlingCommands(const protocol::Heartbeat& heartbeat, bookkeeping::StateReplica& replica,
                         std::vector<WorkerCommand>& commands) {
    for (const auto& task : heartbeat.tasks) {
        if (commands.size() >= kMaxCommands) return false;
        const auto* job = replica.find(task.attempt.job);
        const bool stray = isStray(task, job);
        if (task.state != TaskState::exited) {
            if (stray) commands.push_back({CommandKind::stop, task.attempt, Seconds(0)});
        } else if (stray || isSettled(task, *job)) {
            commands.push_back({CommandKind::acknowledge, task.attempt, Seconds(0)});
        }
    }
    return true;
}

}  // namespace burlpoint::coordination
