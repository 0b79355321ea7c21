#include "simulation/simulated_network.h"

#include <algorithm>

namespace burlpoint::simulation {

using namespace std::chrono_literals;
using coordination::CommandsAnswered;
using protocol::Heartbeat;

namespace {

constexpr auto kHeartbeatTimeout = 4s;    // a worker drops what comes later
constexpr auto kCommandTimeout = 2500ms;  // a leader waits no longer for the answer to direct commands

}  // namespace

void SimulatedNetwork::cutZone(const std::string& zone, Seconds time) {
    cutZone_ = zone;
    zoneCutUntil_ = environment_.now() + toClockDuration(time);
}

bool SimulatedNetwork::areConnected(const SimulatedWorker& worker, bool leaderInside) const {
    return environment_.now() >= zoneCutUntil_ || leaderInside == (worker.zone == cutZone_);
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
    if (random.chanceIfPossible(faults.heartbeatHeldForNextLeaderProbability)) {
        heldHeartbeats_.push_back([this, heartbeat, copy = newRequest(worker)] {
            auto& occurrences = environment_.occurrences;
            ++occurrences.heartbeatsSeenByNextLeader;
            occurrences.heartbeatsOfEarlierIncarnations +=
                heartbeat.incarnation < workers_.at(heartbeat.machine).incarnation;
            hooks.heartbeatArrived(heartbeat, copy);
        });
    }
    if (random.chance(faults.heartbeatDuplicateProbability)) {
        const auto copy = newRequest(worker);  // nobody waits for its answer
        const double mostSeconds = random.chance(0.5) ? 3 : 50;
        scheduleArrival(random.delay(0.1, mostSeconds), heartbeat, copy);
    }
    if (random.chance(faults.messageLossProbability)) return request;
    const double mostSeconds = random.chance(faults.lateExecutionProbability) ? 10 : 0.2;
    scheduleArrival(random.delay(0, mostSeconds), heartbeat, request);
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

void SimulatedNetwork::deliver(Clock::duration delay, const std::string& id, std::function<void()> arrive) {
    auto& events = environment_.events;
    if (!environment_.random.chanceIfPossible(environment_.faults.messageHeldUntilRecoveryProbability))
        return events.schedule(delay, std::move(arrive));
    events.schedule(delay, [this, id, arrive = std::move(arrive)] {
        environment_.events.schedule(timeToRecovery(workers_.at(id)), arrive);
    });
}

void SimulatedNetwork::answerHeartbeat(const coordination::AnswerHeartbeat& action, const Requester& leader) {
    auto& random = environment_.random;
    const auto& faults = environment_.faults;
    if (action.verdict == coordination::HeartbeatVerdict::refused ||
        random.chance(faults.messageLossProbability))
        return;
    for (const auto& command : action.commands) hooks.commandAnswered(command);
    const double mostSeconds = random.chance(faults.lateExecutionProbability) ? 8 : 0.2;
    const auto delay = random.delay(0, mostSeconds);
    deliver(delay, senders_.at(action.request).first,
            [this, action, leader] { receiveAnswer(action, leader); });
}

void SimulatedNetwork::receiveAnswer(const coordination::AnswerHeartbeat& action, const Requester& leader) {
    const auto& [id, incarnation] = senders_.at(action.request);
    auto* worker = findReceiver(id, leader.insideCutZone);
    if (!worker || worker->unansweredRequest != action.request || worker->incarnation != incarnation ||
        environment_.now() - worker->heartbeatSent > kHeartbeatTimeout)
        return;
    worker->unansweredRequest = 0;
    if (leader.fencingToken < worker->fencingToken) return;
    worker->adoptToken(leader.fencingToken);
    environment_.occurrences.answersInsideCutZone += leader.insideCutZone;
    worker->leaseStart = worker->heartbeatSent;
    for (const auto& command : action.commands) workers_.execute(*worker, command);
}

void SimulatedNetwork::sendCommands(const coordination::SendCommands& action, const Requester& leader) {
    auto& random = environment_.random;
    const auto& faults = environment_.faults;
    const CommandsAnswered noAnswer{action.machine, std::nullopt, action.known};
    const bool late = random.chance(faults.lateExecutionProbability);
    if (late || random.chance(faults.messageLossProbability)) {
        leader.respond(kCommandTimeout, noAnswer);
    } else if (!findReceiver(action.machine, leader.insideCutZone)) {
        if (random.chanceIfPossible(faults.messageHeldUntilRecoveryProbability))
            executeAfterRecovery(action, leader);
        return leader.respond(kCommandTimeout, noAnswer);
    }
    const auto delay = late ? random.delay(3, 40) : random.delay(0, 0.2);
    deliver(delay, action.machine, [this, late, action, leader] {
        auto* worker = findReceiver(action.machine, leader.insideCutZone);
        if (!worker) return;
        const bool sends = worker->outboundLinkDownUntil <= environment_.now();
        if (receiveCommands(*worker, action, leader.fencingToken))
            environment_.occurrences.commandsWithoutOutboundLink += !sends;
        if (late) return;
        const auto answerDelay = environment_.random.delay(0, 0.2);
        leader.respond(answerDelay,
                       CommandsAnswered{action.machine, workers_.nextHeartbeat(*worker), action.known});
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
        auto* worker = findReceiver(action.machine, leader.insideCutZone);
        if (worker && receiveCommands(*worker, action, leader.fencingToken))
            ++environment_.occurrences.commandsAfterRecovery;
    });
}

}  // namespace burlpoint::simulation
