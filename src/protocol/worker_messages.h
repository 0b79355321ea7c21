#pragma once

// What workers report and what they are ordered.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "protocol/job_messages.h"

namespace burlpoint::protocol {

enum class TaskState { fetching, waiting, running, saving, exited };

/// Why a task has exited; none: it has not.
enum class ExitReason {
    none,
    done,
    stopped,  // as ordered
    peers,    // another task of its gang has exited
    alone,    // its gang did not come together in time
    error,
    noRoom,  // refused: the machine is full
    busy,    // refused, for now
    unknown  // refused: the worker knows no such task
};

/// What a worker is to do with an attempt.
enum class CommandKind { start, stop, acknowledge };

/// One start of one task.
struct Attempt {
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t number = 0;
    auto operator<=>(const Attempt&) const = default;
};

/// An attempt as its worker reports it.
struct TaskStatus {
    Attempt attempt;
    TaskState state = TaskState::fetching;
    ExitReason why = ExitReason::none;
    bool saved = false;  // its progress is stored
    bool operator==(const TaskStatus&) const = default;
};

/// A worker's message: a heartbeat, or its answer to a direct command.
struct Heartbeat {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t incarnation = 0;   // rises with each start of the worker and each end of its lease
    std::uint64_t sequence = 0;      // rises with each message of the incarnation
    std::uint64_t fencingToken = 0;  // the highest that the worker has taken
    std::optional<Seconds> interruptionNotice;  // the cloud takes the machine back after this
    std::vector<TaskStatus> tasks;
    bool operator==(const Heartbeat&) const = default;
};

struct WorkerCommand {
    CommandKind kind = CommandKind::start;
    Attempt attempt;
    Seconds grace{0};  // of a stop: the time to save in
    bool operator==(const WorkerCommand&) const = default;
};

// Each decode function throws Malformed.
Heartbeat decodeHeartbeat(std::string_view body);
std::string encodeHeartbeat(const Heartbeat& heartbeat);
/// The response to a heartbeat.
std::string encodeHeartbeatResponse(std::uint64_t fencingToken, const std::vector<WorkerCommand>& commands);
/// A command to a worker in that incarnation.
std::string encodeDirectCommands(std::uint64_t fencingToken, std::uint64_t incarnation,
                                 const std::vector<WorkerCommand>& commands);
/// The orders of a response to a heartbeat or of a command.
std::vector<WorkerCommand> decodeCommands(std::string_view body);
/// Sends a worker to the leader; an empty name: nobody is known to lead.
std::string encodeRedirect(const std::string& leader);

namespace paths {
inline constexpr char kHeartbeat[] = "/checkin";
inline constexpr char kCommands[] = "/orders";
inline constexpr char kStatus[] = "/status";
}  // namespace paths

}  // namespace burlpoint::protocol
