#pragma once

// What a leader is told and what it wants done: the interface between its decisions and the node, which does
// the input and output.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bookkeeping/fleet.h"
#include "coordination/state_writer.h"
#include "protocol/cloud_messages.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

// --- what a leader is told ---

/// A worker's report, to be answered by `AnswerReport` with the same number.
struct ReportArrived {
    std::uint64_t request = 0;
    protocol::Report report;
    bool cancellationsCurrent = true;  // what was cancelled until a moment ago is known here
};

/// What came of `SendOrders`; no report: the worker could not be reached.
struct WorkerAnswered {
    std::string machine;
    std::optional<protocol::Report> report;
    bookkeeping::MessageOrder known{};  // as sent with the orders
};

/// Jobs whose stored records have changed in the replica.
struct JobsChanged {
    std::vector<std::string> ids;
};

/// What came of `RefreshReplica`.
struct ReplicaRefreshed {
    bool ok = false;
};

/// What came of a request for machines.
enum class RentalOutcome {
    carriedOut,  // with as many machines as asked for, or fewer
    turnedDown,  // for lack of capacity, or as malformed: it is not repeated
    unknown,     // no answer, or one that does not tell: it may have been carried out
};

/// What came of `Rent`; the machines are those rented.
struct RentalAnswered {
    std::string name;
    RentalOutcome outcome = RentalOutcome::unknown;
    std::vector<std::string> machines;
};

/// What came of `Release`; not ok: it may not have been carried out.
struct ReleaseAnswered {
    std::vector<std::string> machines;
    bool ok = false;
};

/// What came of `ListMachines`; not ok: the list is incomplete.
struct MachinesListed {
    std::vector<protocol::Rented> machines;
    transport::Time asked{};
    bool ok = false;
};

/// What came of `ListTypes`.
struct TypesListed {
    std::vector<protocol::MachineType> types;
};

/// Time has passed; comes several times a second.
struct Tick {};

using Command = std::variant<ReportArrived, WorkerAnswered, JobsChanged, StateWritten, ReplicaRefreshed,
                             RentalAnswered, ReleaseAnswered, MachinesListed, TypesListed, Tick>;

// --- what a leader wants done ---

/// The response to a report.
struct AnswerReport {
    std::uint64_t request = 0;
    bool accepted = true;  // false: 503
    std::vector<protocol::Order> orders;
};

/// A direct command to a worker; answered by `WorkerAnswered`.
struct SendOrders {
    std::string machine;
    std::string address;
    std::uint64_t session = 0;
    std::vector<protocol::Order> orders;
    bookkeeping::MessageOrder known{};  // the newest seen before: whatever answers these orders is newer
};

/// The replica is to be brought up to date with the state service; answered by `ReplicaRefreshed`.
struct RefreshReplica {};

/// Machines are to be rented; answered by `RentalAnswered`.
struct Rent {
    protocol::RentalRequest request;
};

/// Machines are to be deleted; answered by `ReleaseAnswered`.
struct Release {
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

using Action = std::variant<AnswerReport, SendOrders, WriteState, RefreshReplica, Rent, Release, ListMachines,
                            ListTypes, Resign>;

}  // namespace burlpoint::coordination
