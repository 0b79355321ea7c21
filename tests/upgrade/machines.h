#pragma once

// The machines of the upgrade tests with their workers, which speak the protocol over HTTP, and the rules for
// tasks. Used on the test's one thread.

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
#include "upgrade/rules.h"

namespace burlpoint::tests {

/// The addresses at which workers and users reach a controller.
struct Controller {
    std::string name, address;
};

class Machines;

/// A machine with its worker, which follows the protocol's rules for heartbeats, fencing tokens, leases
/// and commands.
class Worker : public std::enable_shared_from_this<Worker> {
  public:
    struct Task {
        protocol::TaskState state = protocol::TaskState::fetching;
        protocol::ExitReason why = protocol::ExitReason::none;
        Time since{};  // in this state
    };

    Worker(asio::io_context& io, Machines& machines, std::string id, protocol::MachineType type,
           std::string zone);

    /// Ends the incarnation if the lease is over.
    void expire(Time now);
    /// Lets tasks go on, and sends a heartbeat if it is time.
    void step(Time now);
    void exit(const protocol::Attempt& attempt, protocol::ExitReason why, Time now);
    void enter(const protocol::Attempt& attempt, protocol::TaskState state, Time now);
    /// An attempt of the task that has not exited, if there is one.
    const protocol::Attempt* holds(const std::string& job, std::uint32_t task) const;

    const std::string& id() const { return id_; }
    const std::string& zone() const { return zone_; }
    const protocol::MachineType& type() const { return type_; }
    std::string address() const;
    const std::map<protocol::Attempt, Task>& tasks() const { return tasks_; }
    std::uint64_t incarnation() const { return incarnation_; }
    /// Heartbeats whose answers renewed the lease, in this incarnation.
    std::uint64_t renewals() const { return renewals_; }

  private:
    void heartbeat(Time now);
    void answered(const transport::HttpResult& outcome, Time sent, std::uint64_t incarnation);
    void accept(const std::string& body, Time sent, Time now);
    void tryNextController(Time now);
    void execute(const std::vector<protocol::WorkerCommand>& commands, Time now);
    void start(const protocol::Attempt& attempt, Time now);
    protocol::ExitReason refusalOf(const protocol::Attempt& attempt) const;
    void serve(const transport::Request& request, const transport::Reply& reply);
    void changed(Time now);
    std::string nextHeartbeat();

    Machines& machines_;
    const std::string id_;
    const protocol::MachineType type_;
    const std::string zone_;
    std::map<protocol::Attempt, Task> tasks_;
    std::set<std::string> fetchedImages_;
    std::uint64_t incarnation_ = 1, sequence_ = 0, fencingToken_ = 0, renewals_ = 0;
    Time lastRenewal_;  // when the last answered heartbeat was sent, or the incarnation began
    Time earliestHeartbeat_{}, nextHeartbeat_{};
    bool heartbeatUnderWay_ = false;
    std::size_t target_ = 0;  // the controller that it sends heartbeats to
    transport::HttpServer server_;
};

/// All machines: creates and deletes them for the cloud, lets gangs begin and end together, and checks the
/// rules for tasks at each start.
class Machines {
  public:
    /// The key-value store's record of a job says that it is done.
    using StoredAsDone = std::function<bool(const std::string& job)>;

    Machines(asio::io_context& io, Rules& rules, const protocol::Settings& settings,
             std::vector<Controller> controllers, StoredAsDone storedAsDone);

    /// The new machine's name.
    std::string create(const protocol::MachineType& type, const std::string& zone);
    void remove(const std::string& id) { workers_.erase(id); }
    void step(Time now);

    const std::map<std::string, std::shared_ptr<Worker>>& workers() const { return workers_; }
    /// The tasks of a job in a state, on all machines.
    std::uint32_t count(const std::string& job, protocol::TaskState state) const;
    /// No task of the job is on any machine, exited ones aside.
    bool isGone(const std::string& job) const;
    /// For each machine that runs a task of the job: its incarnation, and how often its lease was renewed in
    /// it.
    std::map<std::string, std::uint64_t> renewals(const std::string& job) const;
    /// The highest fencing token that a worker has taken commands under.
    std::uint64_t newestToken() const { return newestToken_; }
    /// Tasks of the job that were started, refused ones aside.
    std::uint64_t starts(const std::string& job) const;

  private:
    friend class Worker;

    void checkStart(const Worker& worker, const protocol::Attempt& attempt, Time now);
    void checkCancelled(Time now);
    void noteToken(std::uint64_t fencingToken) { newestToken_ = std::max(newestToken_, fencingToken); }
    void stepGangs(Time now);
    struct Gang;
    void stepGang(const protocol::Attempt& attempt, Gang& gang, Time now);

    asio::io_context& io_;
    Rules& rules_;
    const protocol::Settings& settings_;
    const std::vector<Controller> controllers_;
    StoredAsDone storedAsDone_;
    transport::HttpClient http_;
    std::map<std::string, std::shared_ptr<Worker>> workers_;
    std::set<protocol::Attempt> begunGangs_;  // task number 0 stands for the whole attempt
    std::map<std::string, std::uint64_t> starts_;
    std::uint64_t created_ = 0, newestToken_ = 0;
};

}  // namespace burlpoint::tests
