#pragma once

// The events that a leader handles: messages from workers, outcomes of earlier actions, changes of the
// replica, and timer ticks. Plain value types, handled by `Leader::handle` on the event loop's thread. The
// corresponding actions are in leader_actions.h.

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

/// A worker's heartbeat. The leader answers it by an `AnswerHeartbeat` with the same request number.
struct HeartbeatReceived {
    std::uint64_t request = 0;
    protocol::Heartbeat heartbeat;
    /// Whether this controller knew all recent cancellations when the heartbeat arrived, as defined by
    /// `Election::cancellationsCurrent`. If false, no new tasks are started.
    bool cancellationsCurrent = true;
};

/// The outcome of `SendCommands`.
struct CommandsAnswered {
    std::string machine;
    std::optional<protocol::Heartbeat> heartbeat;         // empty if there was no valid response
    bookkeeping::HeartbeatVersion latestVersionAtSend{};  // copied from the `SendCommands`
};

/// Jobs whose stored records have changed in the replica.
struct JobsChanged {
    std::vector<std::string> ids;
};

enum class RefreshOutcome {
    refreshed,
    failed  // the read failed, so the replica may still be stale
};

/// The outcome of `RefreshReplica`.
struct ReplicaRefreshed {
    RefreshOutcome outcome = RefreshOutcome::failed;
};

/// The outcome of `ScaleOut`.
struct ScaleOutCompleted {
    std::string name;  // of the instance request
    InstanceRequestOutcome outcome = InstanceRequestOutcome::unknown;
    std::vector<std::string> machines;  // ids of the new machines if the request was fulfilled
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
    bool complete = false;  // if false, a page is missing, so a machine that is not listed may still exist
};

/// The outcome of `ListTypes`.
struct TypesListed {
    std::vector<protocol::MachineType> types;
};

/// A timer tick. Occurs about every 100 ms while the leader lease is valid.
struct Tick {};

using LeaderEvent =
    std::variant<HeartbeatReceived, CommandsAnswered, JobsChanged, StateWritten, ReplicaRefreshed,
                 ScaleOutCompleted, ScaleInCompleted, MachinesListed, TypesListed, Tick>;

}  // namespace burlpoint::coordination
