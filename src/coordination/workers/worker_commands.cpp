#include "coordination/workers/worker_commands.h"

#include "base/clock.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using bookkeeping::Placement;
using bookkeeping::PlacementState;
using protocol::CommandKind;
using protocol::ExitReason;
using protocol::TaskState;
using protocol::TaskStatus;
using protocol::WorkerCommand;
using storage::TerminalState;

namespace {

/// True if the task belongs to no known job.
bool isUnknown(const TaskStatus& task, const Job* job) {
    return !job || task.attempt.task >= job->spec.tasks;
}

/// True if the worker need not keep the exited task's result. Until the result is stored, the heartbeat is
/// the only record of it.
bool isResultStored(const TaskStatus& task, const Job& job) {
    return task.exitReason != ExitReason::done || job.terminalState != TerminalState::none ||
           job.isDone(task.attempt.task) || job.spec.kind == protocol::JobKind::service;
}

/// True if the worker's status shows that it has received the stop and is saving the task's progress.
bool isStopReceived(const Placement& placement) {
    return placement.state == PlacementState::saving && placement.grace > Seconds(0);
}

bool needsStop(const Placement& placement) {
    return placement.stopping && placement.state != PlacementState::planned && !isStopReceived(placement);
}

}  // namespace

std::vector<WorkerCommand> stopCommands(const bookkeeping::Machine& machine) {
    std::vector<WorkerCommand> commands;
    for (const auto& [key, placement] : machine.placements) {
        if (commands.size() >= kMaxCommands) break;
        if (!needsStop(placement)) continue;
        commands.push_back({CommandKind::stop,
                            {placement.job->spec.id, placement.task, placement.attempt},
                            placement.grace});
    }
    return commands;
}

std::vector<WorkerCommand> stopsOfTerminatedJobs(const protocol::Heartbeat& heartbeat,
                                                 bookkeeping::StateReplica& replica) {
    // The response renews the worker's lease. Without these stops, each change of leader would let cancelled
    // tasks run for another lease period. Stopping a task of a terminated job is correct however outdated the
    // task list is.
    std::vector<WorkerCommand> commands;
    for (const auto& task : heartbeat.tasks) {
        if (commands.size() >= kMaxCommands) break;
        const auto* job = replica.find(task.attempt.job);
        if (job && job->terminalState != TerminalState::none && task.state != TaskState::exited)
            commands.push_back({CommandKind::stop, task.attempt, Seconds(0)});
    }
    return commands;
}

CommandFit addCleanupCommands(const protocol::Heartbeat& heartbeat, bookkeeping::StateReplica& replica,
                              const bookkeeping::RecentStarts& recentStarts, Time now,
                              std::vector<WorkerCommand>& commands) {
    // A worker that has forgotten an attempt would start it again on a late copy of the start, though the
    // task may have moved to another machine or its job may have been cancelled.
    const auto mayAcknowledge = [&](const TaskStatus& task, const Job& job) {
        const auto& [id, number, attempt] = task.attempt;
        return isResultStored(task, job) && !recentStarts.contains({&job, number, attempt}, now);
    };
    for (const auto& task : heartbeat.tasks) {
        if (commands.size() >= kMaxCommands) return CommandFit::truncated;
        const auto* job = replica.find(task.attempt.job);
        const bool unknown = isUnknown(task, job);
        if (task.state != TaskState::exited) {
            if (unknown) commands.push_back({CommandKind::stop, task.attempt, Seconds(0)});
        } else if (unknown || mayAcknowledge(task, *job)) {
            commands.push_back({CommandKind::acknowledge, task.attempt, Seconds(0)});
        }
    }
    return CommandFit::complete;
}

}  // namespace burlpoint::coordination
