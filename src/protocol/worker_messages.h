#pragma once

// What workers report and what they are ordered.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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
enum class Op { start, stop, forget };

/// One start of one task.
struct Attempt {
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t number = 0;
    auto operator<=>(const Attempt&) const = default;
};

/// An attempt as its worker reports it.
struct TaskReport {
    Attempt attempt;
    TaskState state = TaskState::fetching;
    ExitReason why = ExitReason::none;
    bool saved = false;  // its progress is stored
    bool operator==(const TaskReport&) const = default;
};

/// A worker's message: a report, or its answer to a direct command.
struct Report {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t session = 0;      // rises with each start of the worker and each end of its lease
    std::uint64_t sequence = 0;     // rises with each message of the session
    std::uint64_t token = 0;        // the highest that the worker has taken
    std::optional<Seconds> notice;  // the cloud takes the machine back after this
    std::vector<TaskReport> tasks;
    bool operator==(const Report&) const = default;
};

struct Order {
    Op op = Op::start;
    Attempt attempt;
    Seconds grace{0};  // of a stop: the time to save in
    bool operator==(const Order&) const = default;
};

// Each decode function throws Malformed.
Report decodeReport(std::string_view body);
std::string encodeReport(const Report& report);
/// The response to a report.
std::string encodeReportReply(std::uint64_t token, const std::vector<Order>& orders);
/// A command to a worker in that session.
std::string encodeDirectOrders(std::uint64_t token, std::uint64_t session, const std::vector<Order>& orders);
/// The orders of a response to a report or of a command.
std::vector<Order> decodeOrders(std::string_view body);
/// Sends a worker to the leader; an empty name: nobody is known to lead.
std::string encodeElsewhere(const std::string& leader);

namespace paths {
inline constexpr char kReport[] = "/checkin";
inline constexpr char kOrders[] = "/orders";
inline constexpr char kStatus[] = "/status";
}  // namespace paths

}  // namespace burlpoint::protocol
