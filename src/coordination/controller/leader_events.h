#pragma once

// The events that a leader handles: messages of workers, outcomes of its earlier actions, changes of the
// replica, and the passing of time. Plain values without state of their own; `Leader::handle` takes them in
// on the event loop's thread. The actions that they answer are in leader_actions.h.

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

/// A worker's heartbeat, to be answered by an `AnswerHeartbeat` with the same request number.
struct HeartbeatReceived {
    std::uint64_t request = 0;
    protocol::Heartbeat heartbeat;
    /// The controller knows all cancellations up to a moment ago; without that nothing new is started.
    bool cancellationsCurrent = true;
};

/// The outcome of `SendCommands`.
struct CommandsAnswered {
    std::string machine;
    std::optional<protocol::Heartbeat> heartbeat;  // none: the worker could not be reached
    bookkeeping::HeartbeatVersion known{};         // as in the `SendCommands` that this answers
};

/// Jobs whose stored records have changed in the replica.
struct JobsChanged {
    std::vector<std::string> ids;
};

enum class RefreshOutcome {
    refreshed,
    failed  // the key-value store was not read; the replica is as old as before
};

/// The outcome of `RefreshReplica`.
struct ReplicaRefreshed {
    RefreshOutcome outcome = RefreshOutcome::failed;
};

/// The outcome of `ScaleOut`.
struct ScaleOutCompleted {
    std::string name;  // of the instance request
    InstanceRequestOutcome outcome = InstanceRequestOutcome::unknown;
    std::vector<std::string> machines;  // the new machines if it was fulfilled
};

/// The outcome of `ScaleIn`.
struct ScaleInCompleted {
    std::vector<std::string> machines;
    ScaleInOutcome outcome = ScaleInOutcome::unknown;
};

/// The outcome of `ListMachines`.
struct MachinesListed {
    std::vector<protocol::CloudInstance> machines;
    Time requestedAt{};
    bool complete = false;  // false: a page failed, so a machine that is not listed may still exist
};

/// The outcome of `ListTypes`.
struct TypesListed {
    std::vector<protocol::MachineType> types;
};

/// Time has passed; comes several times a second.
struct Tick {};

using LeaderEvent =
    std::variant<HeartbeatReceived, CommandsAnswered, JobsChanged, StateWritten, ReplicaRefreshed,
                 ScaleOutCompleted, ScaleInCompleted, MachinesListed, TypesListed, Tick>;

}  // namespace burlpoint::coordination
