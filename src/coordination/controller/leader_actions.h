#pragma once

// The actions that a leader decides on: messages to workers and to the cloud, reads and writes of the
// key-value store, and its resignation. Plain values without state of their own; `ActionExecutor` carries
// them out and reports their outcomes as the events of leader_events.h.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bookkeeping/fleet.h"
#include "coordination/controller/resignation_reason.h"
#include "coordination/state/state_writer.h"
#include "protocol/cloud_messages.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

enum class HeartbeatVerdict {
    accepted,  // 200: the response renews the worker's lease
    refused    // 503: the worker's lease is not renewed
};

/// The response to a heartbeat.
struct AnswerHeartbeat {
    std::uint64_t request = 0;  // as in the `HeartbeatReceived`
    HeartbeatVerdict verdict = HeartbeatVerdict::accepted;
    std::vector<protocol::WorkerCommand> commands;  // none if it is refused
};

/// A direct message with commands to a worker; its outcome is a `CommandsAnswered`. Without commands it is a
/// probe.
struct SendCommands {
    std::string machine;
    std::string address;
    std::uint64_t incarnation = 0;
    std::vector<protocol::WorkerCommand> commands;
    /// The machine's newest heartbeat so far: whatever answers this message is newer.
    bookkeeping::HeartbeatVersion known{};
};

/// Brings the replica up to date with the key-value store; its outcome is a `ReplicaRefreshed`.
struct RefreshReplica {};

/// Requests machines from the cloud; its outcome is a `ScaleOutCompleted`.
struct ScaleOut {
    protocol::InstanceRequest request;
};

/// Deletes machines; its outcome is a `ScaleInCompleted`.
struct ScaleIn {
    std::vector<std::string> machines;
};

/// Asks the cloud for its list of machines; its outcome is a `MachinesListed`.
struct ListMachines {};

/// Asks the cloud for its list of machine types. Its outcome is a `TypesListed`, or nothing if it fails.
struct ListTypes {};

/// Ends the leadership.
struct Resign {
    ResignationReason reason;
};

using Action = std::variant<AnswerHeartbeat, SendCommands, WriteState, RefreshReplica, ScaleOut, ScaleIn,
                            ListMachines, ListTypes, Resign>;

}  // namespace burlpoint::coordination
