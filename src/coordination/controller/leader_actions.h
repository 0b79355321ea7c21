#pragma once

// The actions of a leader: messages to workers and to the cloud provider, reads and writes of the key-value
// store, and its resignation. Plain value types; `ActionExecutor` executes them and reports their outcomes as
// the events in leader_events.h.

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
    std::uint64_t request = 0;  // the request number in the `HeartbeatReceived`
    HeartbeatVerdict verdict = HeartbeatVerdict::accepted;
    std::vector<protocol::WorkerCommand> commands;  // empty if the heartbeat is refused
};

/// A direct message to a worker, as a probe or to stop tasks without waiting for the next heartbeat; the
/// outcome is a `CommandsAnswered`. The commands of a probe may be empty.
struct SendCommands {
    std::string machine;
    std::string address;
    std::uint64_t incarnation = 0;
    std::vector<protocol::WorkerCommand> commands;
    /// The version of the machine's newest message so far. The response to this message must be newer.
    bookkeeping::HeartbeatVersion latestVersionAtSend{};
};

/// Brings the replica up to date with the key-value store; the outcome is a `ReplicaRefreshed`.
struct RefreshReplica {};

/// Requests machines from the cloud provider; the outcome is a `ScaleOutCompleted`.
struct ScaleOut {
    protocol::InstanceRequest request;
};

/// Deletes machines at the cloud provider; the outcome is a `ScaleInCompleted`.
struct ScaleIn {
    std::vector<std::string> machines;
};

/// Requests the cloud's machine list; the outcome is a `MachinesListed`.
struct ListMachines {};

/// Requests the cloud's list of machine types. The outcome is a `TypesListed`; a failure delivers no event.
struct ListTypes {};

/// Ends the leadership.
struct Resign {
    ResignationReason reason;
};

using Action = std::variant<AnswerHeartbeat, SendCommands, WriteState, RefreshReplica, ScaleOut, ScaleIn,
                            ListMachines, ListTypes, Resign>;

}  // namespace burlpoint::coordination
