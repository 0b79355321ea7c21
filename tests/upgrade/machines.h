#pragma once

// The machines of the upgrade tests with stub workers, which speak the worker protocol over HTTP, and the
// checks of the invariants for tasks. Single-threaded: used only on the test's thread.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/cloud_messages.h"
#include "protocol/settings.h"
#include "protocol/worker_messages.h"
#include "transport/executor.h"
#include "transport/http_client.h"
#include "transport/http_message.h"
#include "transport/http_server.h"
#include "upgrade/test_oracle.h"

namespace burlpoint::tests {

/// A controller's name, and the address at which workers and users reach it.
struct ControllerEndpoint {
    std::string name, address;
};

class Machines;

/// A machine with a stub worker, which follows the protocol's rules for heartbeats, fencing tokens, leases
/// and commands. Tasks are not executed: they fetch for a fixed time, run for a minimum time, and
/// complete as far as the oracle's completion limit allows.
class Worker : public std::enable_shared_from_this<Worker> {
  public:
    struct Task {
        protocol::TaskState state = protocol::TaskState::fetching;
        protocol::ExitReason exitReason = protocol::ExitReason::none;
        Time enteredAt{};  // when the task entered `state`
    };

    Worker(asio::io_context& io, Machines& machines, std::string id, protocol::MachineType type,
           std::string zone);

    /// Drops all tasks and begins a new incarnation if the worker's lease has expired.
    void expireLease(Time now);
    /// Advances the states of the tasks, and sends a heartbeat if one is due.
    void step(Time now);
    void exitTask(const protocol::Attempt& attempt, protocol::ExitReason exitReason, Time now);
    void setTaskState(const protocol::Attempt& attempt, protocol::TaskState state, Time now);
    /// The attempt of the task that has not exited; null if there is none.
    const protocol::Attempt* findActiveAttempt(const std::string& job, std::uint32_t task) const;

    const std::string& id() const { return id_; }
    const std::string& zone() const { return zone_; }
    const protocol::MachineType& type() const { return type_; }
    std::string address() const;
    const std::map<protocol::Attempt, Task>& tasks() const { return tasks_; }
    std::uint64_t incarnation() const { return incarnation_; }
    /// The number of heartbeats in this incarnation whose responses renewed the lease.
    std::uint64_t leaseRenewals() const { return leaseRenewals_; }

  private:
    void sendHeartbeat(Time now);
    void handleHeartbeatResponse(const transport::HttpResult& outcome, Time sent, std::uint64_t incarnation);
    void applyHeartbeatResponse(const std::string& body, Time sent, Time now);
    void tryNextController(Time now);
    void execute(const std::vector<protocol::WorkerCommand>& commands, Time now);
    void checkDirectCommands(const std::vector<protocol::WorkerCommand>& commands);
    void start(const protocol::Attempt& attempt, Time now);
    /// Why a start command has to be rejected; `none` if the worker accepts it.
    protocol::ExitReason rejectionReason(const protocol::Attempt& attempt) const;
    void serve(const transport::Request& request, const transport::Reply& reply);
    /// Brings the next heartbeat forward, as far as the minimum interval allows, to report a change.
    void expediteHeartbeat(Time now);
    std::string encodeNextHeartbeat();

    Machines& machines_;
    const std::string id_;
    const protocol::MachineType type_;
    const std::string zone_;
    std::map<protocol::Attempt, Task> tasks_;
    std::set<std::string> fetchedImages_;
    std::uint64_t incarnation_ = 1, sequence_ = 0, fencingToken_ = 0, leaseRenewals_ = 0;
    Time lastRenewal_;  // send time of the last acknowledged heartbeat, or start of the incarnation
    Time earliestHeartbeatAt_{}, nextHeartbeatAt_{};
    bool heartbeatInFlight_ = false;
    std::size_t targetController_ = 0;  // index of the controller that receives the heartbeats
    transport::HttpServer server_;
};

/// All machines of the test. Creates and deletes them for the cloud stub, starts and ends the tasks of a gang
/// together, and checks the invariants for tasks at each start.
class Machines {
  public:
    /// True if the job's record in the key-value store says that the job is done.
    using StoredAsDone = std::function<bool(const std::string& job)>;

    Machines(asio::io_context& io, TestOracle& oracle, const protocol::Settings& settings,
             std::vector<ControllerEndpoint> controllers, StoredAsDone storedAsDone);

    /// Creates a machine and returns its id.
    std::string create(const protocol::MachineType& type, const std::string& zone);
    void remove(const std::string& id) { workers_.erase(id); }
    void step(Time now);

    const std::map<std::string, std::shared_ptr<Worker>>& workers() const { return workers_; }
    /// The number of the job's tasks that are in this state, over all machines.
    std::uint32_t countTasks(const std::string& job, protocol::TaskState state) const;
    /// True if no machine has a task of the job that has not exited.
    bool hasNoActiveTasks(const std::string& job) const;
    /// The number of lease renewals of each worker that runs a task of the job, by machine id and
    /// incarnation.
    std::map<std::string, std::uint64_t> leaseRenewals(const std::string& job) const;
    /// The highest fencing token that any worker has accepted.
    std::uint64_t highestFencingToken() const { return highestFencingToken_; }
    /// The number of start commands for tasks of the job that workers have accepted.
    std::uint64_t startCount(const std::string& job) const;

  private:
    friend class Worker;

    void checkStart(const Worker& worker, const protocol::Attempt& attempt, Time now);
    void checkCancelled(Time now);
    void recordFencingToken(std::uint64_t fencingToken) {
        highestFencingToken_ = std::max(highestFencingToken_, fencingToken);
    }
    void stepGangs(Time now);
    struct Gang;
    void stepGang(const protocol::Attempt& attempt, Gang& gang, Time now);

    asio::io_context& io_;
    TestOracle& oracle_;
    const protocol::Settings& settings_;
    const std::vector<ControllerEndpoint> controllers_;
    StoredAsDone storedAsDone_;
    transport::HttpClient http_;
    std::map<std::string, std::shared_ptr<Worker>> workers_;
    std::set<protocol::Attempt> startedGangs_;  // keyed by job and attempt number, with task 0
    std::map<std::string, std::uint64_t> startCounts_;
    std::uint64_t createdCount_ = 0, highestFencingToken_ = 0;
};

}  // namespace burlpoint::tests
