#pragma once

// The messages exchanged with worker agents: their heartbeats, and the commands to them. Holds no state.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "protocol/job_messages.h"

namespace burlpoint::protocol {

/// The state of a task on its machine.
enum class TaskState {
    fetching,  ///< its image is being fetched
    waiting,   ///< waits for the other tasks of its gang
    running,
    saving,  ///< writes its last checkpoint before it stops
    exited   ///< reported until the controller acknowledges it
};

/// Why a task has exited.
enum class ExitReason {
    none,  ///< the task has not exited
    done,
    stopped,           ///< stopped by a command
    gangMemberExited,  ///< another task of its gang has exited
    gangTimedOut,      ///< its gang was not complete in time
    error,
    machineFull,    ///< the worker refused to start it: the machine lacks free resources
    busy,           ///< the worker temporarily refused to start it
    unknownAttempt  ///< the worker does not know the attempt
};

/// What a command requests of a worker for an attempt.
enum class CommandKind {
    start,
    stop,
    acknowledge  ///< its exit has been recorded, so the worker may stop reporting it
};

/// One start of a task on a worker.
struct Attempt {
    std::string job;
    std::uint32_t task = 0;    ///< counted from 0
    std::uint64_t number = 0;  ///< unique among the attempts of all tasks
    auto operator<=>(const Attempt&) const = default;
};

/// An attempt as its worker's heartbeat describes it.
struct TaskStatus {
    Attempt attempt;
    TaskState state = TaskState::fetching;
    ExitReason exitReason = ExitReason::none;
    bool checkpointed = false;  ///< its last checkpoint is stored
    bool operator==(const TaskStatus&) const = default;
};

/// A worker's heartbeat, which is also its reply to direct commands.
struct Heartbeat {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t incarnation = 0;   ///< increases when the worker starts and when its lease expires
    std::uint64_t sequence = 0;      ///< increases with each message of an incarnation
    std::uint64_t fencingToken = 0;  ///< the highest token that the worker has accepted
    /// Present after a spot interruption notice: the cloud takes the machine back after this time.
    std::optional<Seconds> interruptionNotice;
    std::vector<TaskStatus> tasks;
    bool operator==(const Heartbeat&) const = default;
};

struct WorkerCommand {
    CommandKind kind = CommandKind::start;
    Attempt attempt;
    Seconds grace{0};  ///< of a stop command: time that the task may take for a checkpoint
    bool operator==(const WorkerCommand&) const = default;
};

// Each decode function throws `MalformedMessage`.

Heartbeat decodeHeartbeat(std::string_view body);
std::string encodeHeartbeat(const Heartbeat& heartbeat);
/// The response to a heartbeat.
std::string encodeHeartbeatResponse(std::uint64_t fencingToken, const std::vector<WorkerCommand>& commands);
/// Commands sent to a worker between its heartbeats. The worker refuses them if its incarnation is another.
std::string encodeDirectCommands(std::uint64_t fencingToken, std::uint64_t incarnation,
                                 const std::vector<WorkerCommand>& commands);
/// Decodes the commands in a response to a heartbeat or in a message of direct commands.
std::vector<WorkerCommand> decodeCommands(std::string_view body);
/// Redirects a worker to the leader; `leader` is empty if none is known.
std::string encodeRedirect(const std::string& leader);

namespace paths {
inline constexpr char kHeartbeat[] = "/checkin";
inline constexpr char kCommands[] = "/orders";
inline constexpr char kStatus[] = "/status";
}  // namespace paths

}  // namespace burlpoint::protocol
