#include "simulation/simulated_workers.h"

#include <algorithm>

namespace burlpoint::simulation {

using namespace std::chrono_literals;
using protocol::Heartbeat;

namespace {

constexpr auto kHeartbeatResponseTimeout = 4s;  // a worker's timeout for the response to a heartbeat
constexpr auto kMinHeartbeatInterval = 500ms;
constexpr std::uint64_t kMachineIdBase = 100'000;

}  // namespace

void SimulatedWorker::adoptToken(std::uint64_t token) {
    if (token > fencingToken) changedSinceHeartbeat = true;
    fencingToken = token;
}

std::string SimulatedWorkers::create(const std::string& type, const std::string& zone, bool spot) {
    SimulatedWorker worker;
    worker.id = "m-" + std::to_string(kMachineIdBase + ++createdCount_);
    worker.type = type;
    worker.zone = zone;
    worker.spot = spot;
    worker.bootAt = environment_.now() + environment_.random.delay(0.5, 8);
    worker.clockRate = 0.9995 + 0.001 * environment_.random.fraction();
    workers_[worker.id] = worker;
    return worker.id;
}

void SimulatedWorkers::remove(const std::string& id) {
    if (const auto found = workers_.find(id); found != workers_.end()) found->second.dead = true;
}

void SimulatedWorkers::kill(const std::string& id) {
    auto& worker = workers_.at(id);
    worker.dead = true;
    worker.tasks.clear();
}

std::size_t SimulatedWorkers::aliveCount() const {
    return static_cast<std::size_t>(std::count_if(workers_.begin(), workers_.end(),
                                                  [](const auto& entry) { return !entry.second.dead; }));
}

bool SimulatedWorkers::holdsLease(const SimulatedWorker& worker) const {
    const Seconds sinceStart = environment_.now() - worker.leaseStart;
    return worker.booted && !worker.dead &&
           sinceStart.count() * worker.clockRate <= environment_.settings.workerLease.count();
}

SimulatedWorker* SimulatedWorkers::findReachable(const std::string& id) {
    const auto found = workers_.find(id);
    if (found == workers_.end()) return nullptr;
    auto& worker = found->second;
    const auto now = environment_.now();
    const bool reachable =
        worker.booted && !worker.dead && worker.hungUntil <= now && worker.partitionedUntil <= now;
    return reachable ? &worker : nullptr;
}

std::vector<std::string> SimulatedWorkers::workersWithTasks(const std::string& job) const {
    std::vector<std::string> ids;
    for (const auto& [id, worker] : workers_) {
        const bool hasTask = std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const auto& entry) {
            const auto& [attempt, task] = entry;
            return task.state != TaskState::exited && (job.empty() || attempt.job == job);
        });
        if (hasTask && holdsLease(worker)) ids.push_back(id);
    }
    return ids;
}

std::string SimulatedWorkers::describeRunningTasks() const {
    std::string text;
    for (const auto& [id, worker] : workers_)
        for (const auto& [attempt, task] : worker.tasks)
            if (holdsLease(worker) && task.state != TaskState::exited)
                text += attempt.job + "/" + std::to_string(attempt.task) + "@" + id + " ";
    return text;
}

Heartbeat SimulatedWorkers::nextHeartbeat(SimulatedWorker& worker) const {
    Heartbeat heartbeat{worker.id,          worker.id,         worker.type,         worker.zone, worker.spot,
                        worker.incarnation, ++worker.sequence, worker.fencingToken, {},          {}};
    if (worker.interruptionAt)
        heartbeat.interruptionNotice =
            std::max(Seconds(0), Seconds(*worker.interruptionAt - environment_.now()));
    for (const auto& [attempt, task] : worker.tasks)
        heartbeat.tasks.push_back({attempt, task.state, task.exitReason, false});
    return heartbeat;
}

void SimulatedWorkers::step(double seconds) {
    for (auto& [id, worker] : workers_) stepWorker(worker, seconds);
}

void SimulatedWorkers::stepWorker(SimulatedWorker& worker, double seconds) {
    const auto now = environment_.now();
    if (worker.dead) return;
    if (!worker.booted) {
        if (now < worker.bootAt) return;
        worker.booted = true;
        worker.leaseStart = now;
    }
    if (environment_.random.chance(environment_.faults.workerDeathsPerSecond * seconds) ||
        (worker.interruptionAt && now >= *worker.interruptionAt))
        return kill(worker.id);
    drawFaults(worker, seconds);
    if (worker.hungUntil > now) return;
    if (!holdsLease(worker)) {
        restartAgent(worker);
        ++worker.incarnation;
    }
    for (auto& [attempt, task] : worker.tasks) stepTask(worker, attempt, task);
    if (worker.unansweredRequest && now - worker.heartbeatSent > kHeartbeatResponseTimeout) {
        worker.unansweredRequest = 0;
        worker.nextHeartbeat = now + 1s;
    }
    if (worker.unansweredRequest) return;
    const bool early = worker.changedSinceHeartbeat && now - worker.heartbeatSent >= kMinHeartbeatInterval;
    if (now >= worker.nextHeartbeat || early) sendHeartbeat(worker);
}

void SimulatedWorkers::drawFaults(SimulatedWorker& worker, double seconds) {
    auto& random = environment_.random;
    const auto& faults = environment_.faults;
    const auto now = environment_.now();
    if (random.chance(faults.workerHangsPerSecond * seconds)) worker.hungUntil = now + random.delay(1, 18);
    if (random.chance(faults.workerPartitionsPerSecond * seconds))
        worker.partitionedUntil = now + random.delay(1, 25);
    if (random.chance(faults.inboundLinkFailuresPerSecond * seconds))
        worker.inboundLinkDownUntil = now + random.delay(3, 60);
    if (random.chanceUnlessZero(faults.outboundLinkFailuresPerSecond * seconds))
        worker.outboundLinkDownUntil = now + random.delay(3, 40);
    const auto faultsEnd = std::max({worker.hungUntil, worker.partitionedUntil, worker.inboundLinkDownUntil,
                                     worker.outboundLinkDownUntil});
    if (std::max(faultsEnd, worker.faultyUntil) > now || worker.interruptionAt) worker.lastFault = now;
    const bool resetsCounters = random.chance(faults.workerCounterResetsPerSecond * seconds);
    if (resetsCounters || random.chance(faults.workerRestartsPerSecond * seconds)) {
        restartAgent(worker);
        worker.incarnation = resetsCounters ? 1 : worker.incarnation + 1;
        if (resetsCounters) worker.sequence = worker.fencingToken = 0;
    }
    if (worker.spot && !worker.interruptionAt && random.chance(faults.spotInterruptionsPerSecond * seconds))
        worker.interruptionAt = now + random.delay(3, 9);
}

/// Drops all tasks and starts a new lease. The caller sets the incarnation.
void SimulatedWorkers::restartAgent(SimulatedWorker& worker) {
    worker.tasks.clear();
    ++worker.restarts;
    worker.lastFault = worker.leaseStart = environment_.now();
    worker.unansweredRequest = 0;
    worker.changedSinceHeartbeat = true;
}

void SimulatedWorkers::sendHeartbeat(SimulatedWorker& worker) {
    worker.changedSinceHeartbeat = false;
    worker.heartbeatSent = environment_.now();
    worker.nextHeartbeat = environment_.now() + environment_.random.delay(1.5, 2.5);
    const auto heartbeat = nextHeartbeat(worker);
    worker.unansweredRequest = hooks.sendHeartbeat(worker, heartbeat);
}

}  // namespace burlpoint::simulation
