// The tasks of `SimulatedWorkers`: their progress over time and the execution of commands.
#include <algorithm>

#include "simulation/simulated_workers.h"

namespace burlpoint::simulation {

using namespace std::chrono_literals;
using protocol::JobKind;

namespace {

// Every machine type has 8 CPUs; only the type "gpu" has GPUs.
constexpr double kMachineCpus = 8, kGpusOfGpuMachine = 2;
constexpr double kRoundingTolerance = 0.001;

bool isGang(const protocol::JobSpec& spec) { return spec.kind == JobKind::gang && spec.tasks > 1; }

}  // namespace

void SimulatedWorkers::markExited(SimulatedWorker& worker, SimulatedTask& task, ExitReason reason) {
    task.state = TaskState::exited;
    task.exitReason = reason;
    worker.changedSinceHeartbeat = true;
}

std::size_t SimulatedWorkers::countGangMembers(
    const Attempt& attempt, const std::function<bool(const SimulatedTask&)>& condition) const {
    std::size_t members = 0;
    for (const auto& [id, worker] : workers_) {
        if (!holdsLease(worker)) continue;
        for (const auto& [member, task] : worker.tasks)
            members += member.job == attempt.job && member.number == attempt.number && condition(task);
    }
    return members;
}

void SimulatedWorkers::stepTask(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task) {
    const auto now = environment_.now();
    const auto& spec = environment_.jobs.specs.at(attempt.job);
    if (task.state == TaskState::fetching && now >= task.phaseEnd) finishFetch(worker, attempt, task);
    if (task.state == TaskState::waiting) stepGangWait(worker, attempt, task);
    if (task.state == TaskState::running && spec.kind != JobKind::service && now >= task.phaseEnd)
        return finishRun(worker, attempt, task);
    if (task.state == TaskState::saving && now >= task.phaseEnd)
        markExited(worker, task, ExitReason::stopped);
    if (task.state != TaskState::running || !isGang(spec)) return;
    // If a member of the gang has failed, the other members exit after a random delay.
    const auto remainingMembers = countGangMembers(attempt, [](const SimulatedTask& member) {
        return member.state != TaskState::exited || member.exitReason == ExitReason::done;
    });
    if (remainingMembers < spec.tasks && environment_.random.chance(0.05))
        markExited(worker, task, ExitReason::gangMemberExited);
}

void SimulatedWorkers::beginRun(SimulatedWorker& worker, SimulatedTask& task) {
    worker.changedSinceHeartbeat = true;
    task.state = TaskState::running;
    if (worker.faultyUntil <= environment_.now()) return;
    ++environment_.occurrences.failuresOnFaultyMachines;
    markExited(worker, task, ExitReason::error);
}

void SimulatedWorkers::finishFetch(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task) {
    worker.changedSinceHeartbeat = true;
    task.fetched = environment_.now();
    task.phaseEnd = environment_.now() + environment_.random.delay(minRunTime.count(), maxRunTime.count());
    hooks.taskPlaced(worker, attempt);
    if (isGang(environment_.jobs.specs.at(attempt.job)))
        task.state = TaskState::waiting;
    else
        beginRun(worker, task);
}

void SimulatedWorkers::stepGangWait(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task) {
    // The tasks start together, so one that failed at its start was ready, too.
    const auto ready = countGangMembers(attempt, [](const SimulatedTask& member) {
        return member.state == TaskState::waiting || member.state == TaskState::running ||
               member.exitReason == ExitReason::error;
    });
    if (ready == environment_.jobs.specs.at(attempt.job).tasks) {
        beginRun(worker, task);
    } else if (environment_.now() - task.fetched > environment_.settings.gangWaitTimeout) {
        markExited(worker, task, ExitReason::gangTimedOut);
    }
}

void SimulatedWorkers::finishRun(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task) {
    auto& random = environment_.random;
    auto& jobs = environment_.jobs;
    const auto& faults = environment_.faults;
    if (random.chance(faults.taskErrorProbability)) return markExited(worker, task, ExitReason::error);
    const auto& spec = jobs.specs.at(attempt.job);
    if (spec.kind == JobKind::gang)
        for (std::uint32_t number = 0; number < spec.tasks; ++number) jobs.markCompleted(attempt.job, number);
    else
        jobs.markCompleted(attempt.job, attempt.task);
    markExited(worker, task, ExitReason::done);
    if (random.chanceUnlessZero(faults.userActionsAtJobEndProbability) && jobs.allTasksCompleted(attempt.job))
        hooks.userActsAtJobEnd(attempt.job);
}

void SimulatedWorkers::execute(SimulatedWorker& worker, const protocol::WorkerCommand& command) {
    const auto found = worker.tasks.find(command.attempt);
    const bool known = found != worker.tasks.end();
    const bool exited = known && found->second.state == TaskState::exited;
    worker.changedSinceHeartbeat = true;
    switch (command.kind) {
        case protocol::CommandKind::start:
            if (!known) start(worker, command.attempt);
            break;
        case protocol::CommandKind::stop:
            if (known && !exited) stop(worker, command.attempt, found->second, command.grace);
            break;
        case protocol::CommandKind::acknowledge:
            if (!exited) break;
            if (found->second.exitReason == ExitReason::done) hooks.resultAcknowledged(command.attempt);
            worker.tasks.erase(found);
    }
}

/// A running task with checkpoints saves one before it exits if the grace period is long enough.
void SimulatedWorkers::stop(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task,
                            Seconds grace) {
    const auto& spec = environment_.jobs.specs.at(attempt.job);
    const bool saves = spec.checkpointInterval > Seconds(0) && grace >= spec.saveTime;
    if (task.state == TaskState::running && saves) {
        task.state = TaskState::saving;
        task.phaseEnd = environment_.now() + 1s;
    } else if (task.state != TaskState::saving || grace <= Seconds(0)) {
        markExited(worker, task, ExitReason::stopped);
    }
}

SimulatedWorkers::ExitReason SimulatedWorkers::startRefusal(const SimulatedWorker& worker,
                                                            const Attempt& attempt) const {
    const auto& specs = environment_.jobs.specs;
    double cpus = specs.at(attempt.job).cpus, gpus = specs.at(attempt.job).gpus;
    for (const auto& [other, task] : worker.tasks) {
        if (task.state == TaskState::exited) continue;
        if (other.job == attempt.job && other.task == attempt.task) return ExitReason::busy;
        cpus += specs.at(other.job).cpus;
        gpus += specs.at(other.job).gpus;
    }
    const double machineGpus = worker.type == "gpu" ? kGpusOfGpuMachine : 0;
    const bool fits = cpus <= kMachineCpus + kRoundingTolerance && gpus <= machineGpus + kRoundingTolerance;
    return fits ? ExitReason::none : ExitReason::machineFull;
}

void SimulatedWorkers::start(SimulatedWorker& worker, const Attempt& attempt) {
    ++environment_.occurrences.startedTasks;
    SimulatedTask task;
    task.exitReason = startRefusal(worker, attempt);
    if (task.exitReason != ExitReason::none) {
        task.state = TaskState::exited;
    } else {
        hooks.taskPlaced(worker, attempt);
        task.phaseEnd = environment_.now() + environment_.random.delay(0.3, maxFetchTime.count());
    }
    worker.tasks[attempt] = task;
}

}  // namespace burlpoint::simulation
