#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/pack.h"

namespace burlpoint::protocol {

using Seconds = std::chrono::duration<double>;

enum class Kind { array, gang, service };
enum class Priority { low, normal, high, production };
enum class JobState { queued, running, done, cancelled };
enum class TaskState { fetching, waiting, running, saving, exited };
enum class ExitReason { none, done, stopped, peers, alone, error, noRoom, busy, unknown };
enum class Op { start, stop, forget };

constexpr std::uint32_t kMaxTasks = 100'000;

/// A job as its user describes it.
struct JobSpec {
    std::string id, jobClass, team;
    Kind kind = Kind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    double cpus = 0, gpus = 0, memoryGb = 0;
    std::string image;
    double imageGb = 0;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool oneZone = false, spread = false, spot = false;
    Seconds estimate{0}, checkpoint{0}, save{0};
    std::optional<Seconds> deadline;
    std::vector<std::string> dependencies;  // jobs that have to be done before any task of this one starts
    bool operator==(const JobSpec&) const = default;
};

/// One start of one task.
struct Attempt {
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t number = 0;
    auto operator<=>(const Attempt&) const = default;
};

struct TaskReport {
    Attempt attempt;
    TaskState state = TaskState::fetching;
    ExitReason why = ExitReason::none;
    bool saved = false;
    bool operator==(const TaskReport&) const = default;
};

struct Report {
    std::string machine, address, type, zone;
    bool spot = false;
    std::uint64_t session = 0, sequence = 0, token = 0;
    std::optional<Seconds> notice;
    std::vector<TaskReport> tasks;
    bool operator==(const Report&) const = default;
};

struct Order {
    Op op = Op::start;
    Attempt attempt;
    Seconds grace{0};
    bool operator==(const Order&) const = default;
};

struct MachineType {
    std::string name;
    double cpus = 0, gpus = 0, memoryGb = 0, cacheGb = 0, fetchGbPerS = 0, price = 0, spotPrice = 0;
    Seconds boot{0};
    std::vector<std::string> zones;
    bool operator==(const MachineType&) const = default;
};

enum class MachineState { booting, running, failed };

/// A machine as the cloud lists it.
struct Rented {
    std::string id, address, type, zone;
    bool spot = false;
    MachineState state = MachineState::booting;
    Seconds age{0};
};

struct RentalRequest {
    std::string name, type, zone;
    bool spot = false;
    std::uint32_t count = 0;
};

struct RentedPage {
    std::vector<Rented> machines;
    bool more = false;
};

struct Cancellation {
    std::string job;
    std::uint64_t version = 0;  // of the record that tells it
    bool operator==(const Cancellation&) const = default;
};

/// What nodes tell each other.
struct PeerStatus {
    std::string node;
    std::uint64_t token = 0;          // of the sender's leadership, 0 for a follower
    std::uint64_t resignedToken = 0;  // a token that the sender led with and will not act under again
    std::uint64_t stateAgeMs = 0;     // since the state service last answered the sender
    std::uint64_t leaderToken = 0;    // token of the leader that the sender is or is in touch with
    std::uint64_t grantMs = 0;        // in an answer to a leader: so long the sender will not try to lead
    std::vector<std::pair<std::string, std::uint32_t>> running;  // a leader's counts per job
    // A leader asks for the cancellations that the other side knows and it may not.
    std::uint64_t revision = 0;  // it knows all that was stored up to here
    // Each process keeps a log of the cancellations it knows, named by a number that it draws as it starts.
    // In a question: whose log, and from where on; in an answer: the own one, and up to where it was told.
    std::uint64_t log = 0, logAt = 0;
    std::vector<Cancellation> cancelled;
    bool complete = false;  // in an answer: nothing is left to tell
    bool operator==(const PeerStatus&) const = default;
};

bool isJobId(std::string_view text);

// Each decode function throws Malformed.
JobSpec decodeSpec(const msgpack::object& body);
void packSpec(Packer& packer, const JobSpec& spec, std::size_t extraFields = 0);
std::string jobReply(const std::string& id, JobState state);
std::string jobReply(const std::string& id, JobState state, std::uint32_t done, std::uint32_t running);
std::string errorReply(std::string_view why);

Report decodeReport(std::string_view body);
std::string encodeReport(const Report& report);
std::string encodeReportReply(std::uint64_t token, const std::vector<Order>& orders);
std::string encodeDirectOrders(std::uint64_t token, std::uint64_t session, const std::vector<Order>& orders);
std::vector<Order> decodeOrders(std::string_view body);
std::string encodeElsewhere(const std::string& leader);

std::vector<MachineType> decodeMachineTypes(const msgpack::object& body);
std::string encodeMachineTypes(const std::vector<MachineType>& types);
std::string encodeRental(const RentalRequest& request);
std::vector<std::string> decodeRentalReply(std::string_view body);
std::string encodeRelease(const std::vector<std::string>& machines);
RentedPage decodeRentedPage(std::string_view body);
bool saysNoCapacity(std::string_view body);

PeerStatus decodePeerStatus(std::string_view body);
std::string encodePeerStatus(const PeerStatus& status);

// Paths of the interfaces.
namespace paths {
inline constexpr char kSubmissions[] = "/submissions";
inline constexpr char kCancel[] = "/cancel";
inline constexpr char kReady[] = "/ready";
inline constexpr char kReport[] = "/checkin";
inline constexpr char kOrders[] = "/orders";
inline constexpr char kStatus[] = "/status";
inline constexpr char kTypes[] = "/flavors";
inline constexpr char kRentals[] = "/rentals";
inline constexpr char kRelease[] = "/rentals/release";
inline constexpr char kPeer[] = "/peer";
inline constexpr char kRelay[] = "/relay";
std::string rentedPage(const std::string& after, unsigned most);
}  // namespace paths

// The state service's wire forms.
struct KeyWrite {
    std::string key;
    std::optional<std::string> value;  // packed; none: the key is deleted
    std::uint64_t lease = 0;
};
struct KeyCondition {
    std::string key;
    std::uint64_t version = 0;
};
/// A key's value or its deletion. The object lives as long as the body it was unpacked from.
struct KeyChange {
    std::string key;
    const msgpack::object* value = nullptr;
    std::uint64_t version = 0;
};
struct KeyPage {
    std::vector<KeyChange> entries;
    bool more = false;
    std::uint64_t revision = 0;
};
struct TransactionReply {
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
};

std::string encodeTransaction(const std::vector<KeyCondition>& conditions,
                              const std::vector<KeyWrite>& writes);
TransactionReply decodeTransactionReply(std::string_view body);
KeyPage decodeKeyPage(const msgpack::object& body);
KeyPage decodeWatch(const msgpack::object& body);
std::string encodeLease(std::chrono::milliseconds life);
std::uint64_t decodeLease(std::string_view body);

namespace paths {
inline constexpr char kTransaction[] = "/multi";
inline constexpr char kLeases[] = "/holds";
std::string extendLease(std::uint64_t lease);
std::string lease(std::uint64_t lease);
std::string keyPage(const std::string& prefix, const std::string& after, unsigned most);
std::string watch(const std::string& prefix, std::uint64_t after, std::chrono::milliseconds wait);
}  // namespace paths

}  // namespace burlpoint::protocol
