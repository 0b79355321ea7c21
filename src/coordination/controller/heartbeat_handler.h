#pragma once

// Handles workers' messages: heartbeats, and responses to direct commands. Decides whether a message is newer
// than all previous ones, whether its machine can be trusted, and whether a heartbeat is accepted, which
// renews the worker's lease. Owns no state: `HeartbeatReconciler` applies the contents of the messages to the
// fleet. Part of a leader, used on its thread.

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "coordination/controller/direct_commands.h"
#include "coordination/controller/fleet_membership.h"
#include "coordination/controller/heartbeat_commands.h"
#include "coordination/controller/leader_actions.h"
#include "coordination/controller/leader_events.h"
#include "coordination/controller/worker_leases.h"
#include "coordination/scheduling/task_terminator.h"
#include "coordination/state/machine_registry.h"
#include "coordination/workers/failure_detector.h"
#include "coordination/workers/heartbeat_reconciler.h"

namespace burlpoint::coordination {

/// The state that the handling of a message reads and changes.
struct HeartbeatHandlerContext {
    std::uint64_t fencingToken;  // of the current leadership
    bookkeeping::Fleet& fleet;
    FleetMembership& membership;
    const WorkerLeases& leases;
    FailureDetector& failureDetector;
    HeartbeatReconciler& reconciler;
    MachineRegistry& registry;
    TaskTerminator& terminator;
    HeartbeatCommands& commands;
    DirectCommands& directCommands;
    std::vector<Action>& actions;  // resulting actions are appended here
};

class HeartbeatHandler {
  public:
    /// All objects that the context refers to must outlive this object.
    explicit HeartbeatHandler(const HeartbeatHandlerContext& context);

    /// Handles a heartbeat and appends the response to the actions.
    void handle(const HeartbeatReceived& event, Time now);

    /// Handles the response to direct commands, or the lack of one.
    void handle(const CommandsAnswered& event, Time now);

  private:
    void accept(const HeartbeatReceived& event, std::vector<protocol::WorkerCommand> commands);
    void refuse(const HeartbeatReceived& event);
    void handleStale(bookkeeping::Machine& machine, const HeartbeatReceived& event);
    void applyNewest(bookkeeping::Machine& machine, const HeartbeatReceived& event, bool wasMember, Time now);
    void applyAnswer(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat, Time now);
    bool hasOlderToken(const protocol::Heartbeat& heartbeat) const;
    bool hasNewerToken(const protocol::Heartbeat& heartbeat) const;

    const HeartbeatHandlerContext context_;
};

}  // namespace burlpoint::coordination
