#include "coordination/controller/heartbeat_handler.h"

#include <utility>

#include "coordination/workers/worker_commands.h"

namespace burlpoint::coordination {

using bookkeeping::heartbeatVersionOf;
using bookkeeping::Machine;
using protocol::Heartbeat;

namespace {

constexpr std::uint32_t kStaleHeartbeatsBeforeProbe = 2;  // consecutive stale heartbeats

}  // namespace

HeartbeatHandler::HeartbeatHandler(const HeartbeatHandlerContext& context) : context_(context) {}

bool HeartbeatHandler::hasOlderToken(const Heartbeat& heartbeat) const {
    return heartbeat.fencingToken < context_.fencingToken;
}

bool HeartbeatHandler::hasNewerToken(const Heartbeat& heartbeat) const {
    return heartbeat.fencingToken > context_.fencingToken;
}

void HeartbeatHandler::accept(const HeartbeatReceived& event, std::vector<protocol::WorkerCommand> commands) {
    context_.actions.emplace_back(
        AnswerHeartbeat{event.request, HeartbeatVerdict::accepted, std::move(commands)});
}

void HeartbeatHandler::refuse(const HeartbeatReceived& event) {
    context_.actions.emplace_back(AnswerHeartbeat{event.request, HeartbeatVerdict::refused, {}});
}

void HeartbeatHandler::handle(const HeartbeatReceived& event, Time now) {
    const Heartbeat& heartbeat = event.heartbeat;
    if (hasNewerToken(heartbeat)) {
        // A higher fencing token proves that another controller has become leader, whichever worker sent the
        // heartbeat.
        refuse(event);
        context_.actions.emplace_back(Resign{ResignationReason::newerTokenSeen});
        return;
    }
    if (context_.membership.isFromBeforeRemoval(heartbeat)) return refuse(event);
    const bool wasMember = context_.fleet.find(heartbeat.machine) != nullptr;
    auto& machine = context_.membership.findOrAdd(heartbeat.machine,
                                                  {heartbeat.type, heartbeat.zone, heartbeat.spot}, now);
    if (machine.agent.quarantined) return refuse(event);
    if (heartbeatVersionOf(heartbeat) <= machine.agent.latestVersion()) return handleStale(machine, event);
    if (machine.agent.acknowledged && hasOlderToken(heartbeat)) {
        quarantine(machine);
        return refuse(event);
    }
    applyNewest(machine, event, wasMember, now);
}

/// Handles a heartbeat that is newer than all previous messages of its machine.
void HeartbeatHandler::applyNewest(Machine& machine, const HeartbeatReceived& event, bool wasMember,
                                   Time now) {
    machine.agent.staleHeartbeats = 0;
    machine.lease.lastHeartbeat = now;
    context_.failureDetector.recordHeartbeat(now);
    const auto renewal = context_.leases.renew(machine, event.heartbeat, now);
    context_.reconciler.apply(machine, event.heartbeat, StatusSource::heartbeat, now);
    if (renewal == WorkerLeases::Renewal::mustExpire) return refuse(event);
    // The complete registry entry of a requested machine is written on its first heartbeat, before the worker
    // has acknowledged the fencing token and may be given tasks.
    if (machine.agent.acknowledged || (wasMember && machine.registry.reconciled))
        context_.registry.ensureEntry(machine);
    accept(event, context_.commands.compose(machine, event, now));
    context_.terminator.recordHeartbeatResponse(machine.id);
}

/// Handles a heartbeat that is not newer than the machine's newest message: a delayed duplicate, or one that
/// was overtaken by the response to a direct command.
void HeartbeatHandler::handleStale(Machine& machine, const HeartbeatReceived& event) {
    // A stale heartbeat with an older fencing token may come from a worker that has restarted its message
    // counters. Accepting it would give that worker this leader's token, and the restart would go undetected.
    if (machine.lease.active && !hasOlderToken(event.heartbeat)) {
        context_.leases.extendForStaleHeartbeat(machine);
        // The response may renew the worker's lease, so it must carry the pending stop commands.
        accept(event, stopCommands(machine));
    } else {
        refuse(event);
    }
    if (++machine.agent.staleHeartbeats >= kStaleHeartbeatsBeforeProbe)
        context_.directCommands.probe(machine);
}

void HeartbeatHandler::handle(const CommandsAnswered& event, Time now) {
    auto* machine = context_.fleet.find(event.machine);
    if (!machine) return;
    machine->agent.probing = false;
    if (!event.heartbeat) return;
    const Heartbeat& heartbeat = *event.heartbeat;
    if (heartbeat.machine != machine->id) return;
    if (hasNewerToken(heartbeat)) {
        context_.actions.emplace_back(Resign{ResignationReason::newerTokenSeen});
        return;
    }
    if (machine->agent.quarantined) return;
    // The worker created the response after the commands were sent, so its message counters must be higher.
    if (heartbeatVersionOf(heartbeat) <= event.latestVersionAtSend ||
        (machine->agent.acknowledged && hasOlderToken(heartbeat)))
        return quarantine(*machine);
    applyAnswer(*machine, heartbeat, now);
}

/// Handles a trusted response to direct commands, which shows that the worker is reachable.
void HeartbeatHandler::applyAnswer(Machine& machine, const Heartbeat& heartbeat, Time now) {
    machine.agent.probedAt = now;
    machine.agent.unreachableSince.reset();
    machine.agent.undeliveredResponses = 0;
    machine.agent.staleHeartbeats = 0;
    const bool namedOldIncarnation = !machine.agent.acknowledged && hasOlderToken(heartbeat) &&
                                     heartbeat.incarnation != machine.agent.incarnation;
    if (heartbeatVersionOf(heartbeat) > machine.agent.latestVersion())
        context_.reconciler.apply(machine, heartbeat, StatusSource::answer, now);
    // The worker rejected the commands because they named its old incarnation. A probe that names the current
    // one makes it adopt the fencing token.
    if (namedOldIncarnation) context_.directCommands.probe(machine);
}

}  // namespace burlpoint::coordination
