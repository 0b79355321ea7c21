#include "simulation/simulated_network.h"

#include <algorithm>

namespace burlpoint::simulation {

using namespace std::chrono_literals;
using coordination::CommandsAnswered;
using protocol::Heartbeat;

namespace {

constexpr auto kHeartbeatResponseTimeout = 4s;    // a worker ignores later responses
constexpr auto kCommandResponseTimeout = 2500ms;  // the leader's timeout for direct commands

}  // namespace

void SimulatedNetwork::partitionZone(const std::string& zone, Seconds time) {
    partitionedZone_ = zone;
    zonePartitionedUntil_ = environment_.now() + toClockDuration(time);
}

bool SimulatedNetwork::areConnected(const SimulatedWorker& worker, bool leaderInside) const {
    return environment_.now() >= zonePartitionedUntil_ || leaderInside == (worker.zone == partitionedZone_);
}

SimulatedWorker* SimulatedNetwork::findReceiver(const std::string& id, bool leaderInside) {
    auto* worker = workers_.findReachable(id);
    if (!worker || worker->inboundLinkDownUntil > environment_.now()) return nullptr;
    return areConnected(*worker, leaderInside) ? worker : nullptr;
}

std::uint64_t SimulatedNetwork::newRequest(const SimulatedWorker& worker) {
    senders_[++lastRequest_] = {worker.id, worker.incarnation};
    return lastRequest_;
}

void SimulatedNetwork::scheduleArrival(Clock::duration delay, const Heartbeat& heartbeat,
                                       std::uint64_t request) {
    environment_.events.schedule(delay,
                                 [this, heartbeat, request] { hooks.heartbeatArrived(heartbeat, request); });
}

std::uint64_t SimulatedNetwork::sendHeartbeat(const SimulatedWorker& worker, const Heartbeat& heartbeat) {
    auto& random = environment_.random;
    const auto& faults = environment_.faults;
    const auto now = environment_.now();
    const auto request = newRequest(worker);
    if (worker.partitionedUntil > now) {  // lost, or delivered when the partition ends
        if (random.chance(0.5)) scheduleArrival(worker.partitionedUntil - now, heartbeat, request);
        return request;
    }
    if (worker.outboundLinkDownUntil > now) return request;
    if (random.chanceUnlessZero(faults.heartbeatHeldForNextLeaderProbability)) {
        heldHeartbeats_.push_back([this, heartbeat, copyRequest = newRequest(worker)] {
            auto& occurrences = environment_.occurrences;
            ++occurrences.heartbeatsSeenByNextLeader;
            occurrences.heartbeatsOfEarlierIncarnations +=
                heartbeat.incarnation < workers_.at(heartbeat.machine).incarnation;
            hooks.heartbeatArrived(heartbeat, copyRequest);
        });
    }
    if (random.chance(faults.heartbeatDuplicateProbability)) {
        const auto copyRequest = newRequest(worker);  // the worker ignores the response to a copy
        const double maxSeconds = random.chance(0.5) ? 3 : 50;
        scheduleArrival(random.delay(0.1, maxSeconds), heartbeat, copyRequest);
    }
    if (random.chance(faults.messageLossProbability)) return request;
    const double maxSeconds = random.chance(faults.lateExecutionProbability) ? 10 : 0.2;
    scheduleArrival(random.delay(0, maxSeconds), heartbeat, request);
    return request;
}

void SimulatedNetwork::releaseHeldHeartbeats() {
    for (auto& arrival : std::exchange(heldHeartbeats_, {}))
        environment_.events.schedule(environment_.random.delay(0.1, 6), std::move(arrival));
}

Clock::duration SimulatedNetwork::timeToRecovery(const SimulatedWorker& worker) const {
    const auto recovery = std::max(worker.hungUntil, worker.partitionedUntil);
    return std::max(recovery - environment_.now(), Clock::duration(0));
}

void SimulatedNetwork::deliver(Clock::duration delay, const std::string& id,
                               std::function<void()> onArrival) {
    auto& events = environment_.events;
    if (!environment_.random.chanceUnlessZero(environment_.faults.messageHeldUntilRecoveryProbability))
        return events.schedule(delay, std::move(onArrival));
    events.schedule(delay, [this, id, onArrival = std::move(onArrival)] {
        environment_.events.schedule(timeToRecovery(workers_.at(id)), onArrival);
    });
}

void SimulatedNetwork::answerHeartbeat(const coordination::AnswerHeartbeat& action, const Requester& leader) {
    auto& random = environment_.random;
    const auto& faults = environment_.faults;
    if (action.verdict == coordination::HeartbeatVerdict::refused ||
        random.chance(faults.messageLossProbability))
        return;
    const auto& machine = senders_.at(action.request).first;
    for (const auto& command : action.commands)
        hooks.commandSentInResponse(machine, leader.fencingToken, command);
    const double maxSeconds = random.chance(faults.lateExecutionProbability) ? 8 : 0.2;
    const auto delay = random.delay(0, maxSeconds);
    deliver(delay, machine, [this, action, leader] { receiveAnswer(action, leader); });
}

void SimulatedNetwork::receiveAnswer(const coordination::AnswerHeartbeat& action, const Requester& leader) {
    const auto& [id, incarnation] = senders_.at(action.request);
    auto* worker = findReceiver(id, leader.insidePartitionedZone);
    if (!worker || worker->unansweredRequest != action.request || worker->incarnation != incarnation ||
        environment_.now() - worker->heartbeatSent > kHeartbeatResponseTimeout)
        return;
    worker->unansweredRequest = 0;
    if (leader.fencingToken < worker->fencingToken) return;
    worker->adoptToken(leader.fencingToken);
    environment_.occurrences.answersInsidePartitionedZone += leader.insidePartitionedZone;
    worker->leaseStart = worker->heartbeatSent;
    for (const auto& command : action.commands) workers_.execute(*worker, command);
    if (environment_.random.chanceUnlessZero(environment_.faults.responseCopyProbability))
        scheduleResponseCopy(*worker, action, leader);
}

void SimulatedNetwork::scheduleResponseCopy(const SimulatedWorker& worker,
                                            const coordination::AnswerHeartbeat& action,
                                            const Requester& leader) {
    const auto longestDelay = worker.heartbeatSent + kHeartbeatResponseTimeout - environment_.now();
    const auto delay = environment_.random.delay(0, Seconds(longestDelay).count());
    environment_.events.schedule(delay, [this, action, leader, id = worker.id, restarts = worker.restarts] {
        auto* receiver = findReceiver(id, leader.insidePartitionedZone);
        if (receiver && receiver->restarts == restarts) receiveResponseCopy(action, leader, *receiver);
    });
}

void SimulatedNetwork::receiveResponseCopy(const coordination::AnswerHeartbeat& action,
                                           const Requester& leader, SimulatedWorker& worker) {
    if (leader.fencingToken < worker.fencingToken) return;
    auto& occurrences = environment_.occurrences;
    for (const auto& command : action.commands) {
        if (command.kind == protocol::CommandKind::start) {
            const auto found = worker.tasks.find(command.attempt);
            const bool active =
                found != worker.tasks.end() && found->second.state != protocol::TaskState::exited;
            ++occurrences.copiesOfStarts;
            occurrences.copiesOfStartsOfEndedAttempts += !active;
        }
        workers_.execute(worker, command);
    }
}

void SimulatedNetwork::scheduleDirectCommandCopy(const coordination::SendCommands& action,
                                                 const Requester& leader) {
    environment_.events.schedule(environment_.random.delay(0.1, 40), [this, action, leader] {
        auto* worker = findReceiver(action.machine, leader.insidePartitionedZone);
        if (worker && receiveCommands(*worker, action, leader.fencingToken) && !action.commands.empty())
            ++environment_.occurrences.copiesOfDirectCommands;
    });
}

void SimulatedNetwork::sendCommands(const coordination::SendCommands& action, const Requester& leader) {
    auto& random = environment_.random;
    const auto& faults = environment_.faults;
    for (const auto& command : action.commands) hooks.commandSentDirectly(command);
    if (random.chanceUnlessZero(faults.directCommandCopyProbability))
        scheduleDirectCommandCopy(action, leader);
    const CommandsAnswered noAnswer{action.machine, std::nullopt, action.latestVersionAtSend};
    const bool late = random.chance(faults.lateExecutionProbability);
    if (late || random.chance(faults.messageLossProbability)) {
        leader.respond(kCommandResponseTimeout, noAnswer);
    } else if (!findReceiver(action.machine, leader.insidePartitionedZone)) {
        if (random.chanceUnlessZero(faults.messageHeldUntilRecoveryProbability))
            executeAfterRecovery(action, leader);
        return leader.respond(kCommandResponseTimeout, noAnswer);
    }
    const auto delay = late ? random.delay(3, 40) : random.delay(0, 0.2);
    deliver(delay, action.machine, [this, late, action, leader] {
        auto* worker = findReceiver(action.machine, leader.insidePartitionedZone);
        if (!worker) return;
        const bool outboundLinkUp = worker->outboundLinkDownUntil <= environment_.now();
        if (receiveCommands(*worker, action, leader.fencingToken))
            environment_.occurrences.commandsWithoutOutboundLink += !outboundLinkUp;
        if (late) return;
        const auto answerDelay = environment_.random.delay(0, 0.2);
        leader.respond(answerDelay, CommandsAnswered{action.machine, workers_.nextHeartbeat(*worker),
                                                     action.latestVersionAtSend});
    });
}

bool SimulatedNetwork::receiveCommands(SimulatedWorker& worker, const coordination::SendCommands& action,
                                       std::uint64_t fencingToken) {
    if (fencingToken < worker.fencingToken || action.incarnation != worker.incarnation) return false;
    worker.adoptToken(fencingToken);
    for (const auto& command : action.commands) workers_.execute(worker, command);
    return true;
}

void SimulatedNetwork::executeAfterRecovery(const coordination::SendCommands& action,
                                            const Requester& leader) {
    const auto found = workers_.all().find(action.machine);
    if (found == workers_.all().end()) return;
    environment_.events.schedule(timeToRecovery(found->second), [this, action, leader] {
        auto* worker = findReceiver(action.machine, leader.insidePartitionedZone);
        if (worker && receiveCommands(*worker, action, leader.fencingToken))
            ++environment_.occurrences.commandsAfterRecovery;
    });
}

}  // namespace burlpoint::simulation
