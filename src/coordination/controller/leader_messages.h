#pragma once

// What a leader is told and what it wants done: the interface between its decisions and the node, which does
// the input and output.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "coordination/autoscaling/instance_request_queue.h"
#include "coordination/state/state_writer.h"
#include "protocol/cloud_messages.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

// --- what a leader is told ---

/// A heartbeat, to be answered by `AnswerHeartbeat` with the same number.
struct HeartbeatReceived {
    std::uint64_t request = 0;
    protocol::Heartbeat heartbeat;
    bool cancellationsCurrent = true;  // what was cancelled until a moment ago is known here
};

/// What came of `SendCommands`; no report: the worker could not be reached.
struct CommandsAnswered {
    std::string machine;
    std::optional<protocol::Heartbeat> heartbeat;
    bookkeeping::HeartbeatVersion known{};  // as sent with the orders
};

/// Jobs whose stored records have changed in the replica.
struct JobsChanged {
    std::vector<std::string> ids;
};

/// What came of `RefreshReplica`.
struct ReplicaRefreshed {
    bool ok = false;
};

/// What came of `ScaleOut`; the machines are those rented.
struct ScaleOutCompleted {
    std::string name;
    InstanceRequestOutcome outcome = InstanceRequestOutcome::unknown;
    std::vector<std::string> machines;
};

/// What came of `ScaleIn`; not ok: it may not have been carried out.
struct ScaleInCompleted {
    std::vector<std::string> machines;
    bool ok = false;
};

/// What came of `ListMachines`; not ok: the list is incomplete.
struct MachinesListed {
    std::vector<protocol::CloudInstance> machines;
    Time asked{};
    bool ok = false;
};

/// What came of `ListTypes`.
struct TypesListed {
    std::vector<protocol::MachineType> types;
};

/// Time has passed; comes several times a second.
struct Tick {};

using LeaderEvent =
    std::variant<HeartbeatReceived, CommandsAnswered, JobsChanged, StateWritten, ReplicaRefreshed,
                 ScaleOutCompleted, ScaleInCompleted, MachinesListed, TypesListed, Tick>;

// --- what a leader wants done ---

/// The response to a heartbeat.
struct AnswerHeartbeat {
    std::uint64_t request = 0;
    bool accepted = true;  // false: 503
    std::vector<protocol::WorkerCommand> commands;
};

/// A direct command to a worker; answered by `CommandsAnswered`.
struct SendCommands {
    std::string machine;
    std::string address;
    std::uint64_t incarnation = 0;
    std::vector<protocol::WorkerCommand> commands;
    bookkeeping::HeartbeatVersion known{};  // the newest seen before: whatever answers these orders is newer
};

/// The replica is to be brought up to date with the key-value store; answered by `ReplicaRefreshed`.
struct RefreshReplica {};

/// Machines are to be rented; answered by `ScaleOutCompleted`.
struct ScaleOut {
    protocol::InstanceRequest request;
};

/// Machines are to be deleted; answered by `ScaleInCompleted`.
struct ScaleIn {
    std::vector<std::string> machines;
};

/// Answered by `MachinesListed`.
struct ListMachines {};

/// Answered by `TypesListed`, if at all.
struct ListTypes {};

/// The leadership is to end.
struct Resign {
    std::string why;
    bool deferToPeers = false;  // this node is the likely cause, so it should not lead again soon
};

using Action = std::variant<AnswerHeartbeat, SendCommands, WriteState, RefreshReplica, ScaleOut, ScaleIn,
                            ListMachines, ListTypes, Resign>;

}  // namespace burlpoint::coordination
