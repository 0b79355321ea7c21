#pragma once

// Takes in workers' messages: heartbeats, and answers to direct commands. Decides whether a message is newer
// than all before it, whether its machine can be trusted, and whether a heartbeat is answered, which renews
// the worker's lease. Owns nothing: what the messages tell is applied to the fleet by `HeartbeatReconciler`.
// Part of a leader, on its thread.

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

/// What taking in a message reads and changes.
struct HeartbeatIntakeContext {
    std::uint64_t fencingToken;  // of the leadership
    bookkeeping::Fleet& fleet;
    FleetMembership& membership;
    const WorkerLeases& leases;
    FailureDetector& failureDetector;
    HeartbeatReconciler& reconciler;
    MachineRegistry& registry;
    TaskTerminator& terminator;
    HeartbeatCommands& commands;
    DirectCommands& directCommands;
    std::vector<Action>& actions;  // what is to be done is appended here
};

class HeartbeatIntake {
  public:
    /// All that the context refers to has to outlive this.
    explicit HeartbeatIntake(const HeartbeatIntakeContext& context);

    /// Takes in a heartbeat and appends its answer to the actions.
    void handle(const HeartbeatReceived& event, Time now);

    /// Takes in the answer to direct commands, or that there was none.
    void handle(const CommandsAnswered& event, Time now);

  private:
    void accept(const HeartbeatReceived& event, std::vector<protocol::WorkerCommand> commands);
    void refuse(const HeartbeatReceived& event);
    void handleStale(bookkeeping::Machine& machine, const HeartbeatReceived& event);
    void applyNewest(bookkeeping::Machine& machine, const HeartbeatReceived& event, bool wasMember, Time now);
    void applyAnswer(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat, Time now);
    bool hasOlderToken(const protocol::Heartbeat& heartbeat) const;
    bool hasNewerToken(const protocol::Heartbeat& heartbeat) const;

    const HeartbeatIntakeContext context_;
};

}  // namespace burlpoint::coordination
