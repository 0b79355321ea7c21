#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "protocol/cloud_messages.h"
#include "protocol/settings.h"
#include "protocol/worker_messages.h"
#include "transport/http.h"
#include "upgrade/rules.h"

namespace burlpoint::tests {

/// The addresses at which workers and users reach a controller.
struct Controller {
    std::string name, address;
};

class Machines;

/// A machine with its worker, which follows the pages' rules for reports, tokens, leases and commands.
class Worker : public std::enable_shared_from_this<Worker> {
  public:
    struct Task {
        protocol::TaskState state = protocol::TaskState::fetching;
        protocol::ExitReason why = protocol::ExitReason::none;
        transport::Time since{};  // in this state
    };

    Worker(asio::io_context& io, Machines& machines, std::string id, protocol::MachineType type,
           std::string zone);

    /// Ends the session if the lease is over.
    void expire(transport::Time now);
    /// Lets tasks go on and reports if it is time.
    void step(transport::Time now);
    void exit(const protocol::Attempt& attempt, protocol::ExitReason why, transport::Time now);
    void enter(const protocol::Attempt& attempt, protocol::TaskState state, transport::Time now);
    /// An attempt of the task that has not exited, if there is one.
    const protocol::Attempt* holds(const std::string& job, std::uint32_t task) const;

    const std::string& id() const { return id_; }
    const std::string& zone() const { return zone_; }
    const protocol::MachineType& type() const { return type_; }
    std::string address() const;
    const std::map<protocol::Attempt, Task>& tasks() const { return tasks_; }
    std::uint64_t session() const { return session_; }
    /// Reports whose answers renewed the lease, in this session.
    std::uint64_t renewals() const { return renewals_; }

  private:
    void report(transport::Time now);
    void answered(const transport::Outcome& outcome, transport::Time sent, std::uint64_t session);
    void accept(const std::string& body, transport::Time sent, transport::Time now);
    void tryNext(transport::Time now);
    void execute(const std::vector<protocol::Order>& orders, transport::Time now);
    void start(const protocol::Attempt& attempt, transport::Time now);
    protocol::ExitReason whyRefused(const protocol::Attempt& attempt) const;
    void serve(const transport::Request& request, const transport::Reply& reply);
    void changed(transport::Time now);
    std::string nextReport();

    Machines& machines_;
    const std::string id_;
    const protocol::MachineType type_;
    const std::string zone_;
    std::map<protocol::Attempt, Task> tasks_;
    std::set<std::string> images_;
    std::uint64_t session_ = 1, sequence_ = 0, token_ = 0, renewals_ = 0;
    transport::Time lastRenewal_;  // when the last answered report was sent, or the session began
    transport::Time earliestReport_{}, nextReport_{};
    bool reporting_ = false;
    std::size_t target_ = 0;  // the controller that it reports to
    transport::Server server_;
};

/// All machines: creates and deletes them for the cloud, lets gangs begin and end together, and checks the
/// rules for tasks at each start.
class Machines {
  public:
    /// The state service's record of a job says that it is done.
    using StoredAsDone = std::function<bool(const std::string& job)>;

    Machines(asio::io_context& io, Rules& rules, const protocol::Settings& settings,
             std::vector<Controller> controllers, StoredAsDone storedAsDone);

    /// The new machine's name.
    std::string create(const protocol::MachineType& type, const std::string& zone);
    void remove(const std::string& id) { workers_.erase(id); }
    void step(transport::Time now);

    const std::map<std::string, std::shared_ptr<Worker>>& workers() const { return workers_; }
    /// The tasks of a job in a state, on all machines.
    std::uint32_t count(const std::string& job, protocol::TaskState state) const;
    /// No task of the job is on any machine, exited ones aside.
    bool isGone(const std::string& job) const;
    /// For each machine that runs a task of the job: its session, and how often its lease was renewed in it.
    std::map<std::string, std::uint64_t> renewals(const std::string& job) const;
    /// The highest token that a worker has taken orders under.
    std::uint64_t newestToken() const { return newestToken_; }
    /// Tasks of the job that were started, refused ones aside.
    std::uint64_t starts(const std::string& job) const;

  private:
    friend class Worker;

    void checkStart(const Worker& worker, const protocol::Attempt& attempt, transport::Time now);
    void checkCancelled(transport::Time now);
    void noteToken(std::uint64_t token) { newestToken_ = std::max(newestToken_, token); }
    void stepGangs(transport::Time now);
    struct Gang;
    void stepGang(const protocol::Attempt& attempt, Gang& gang, transport::Time now);

    asio::io_context& io_;
    Rules& rules_;
    const protocol::Settings& settings_;
    const std::vector<Controller> controllers_;
    StoredAsDone storedAsDone_;
    transport::Client http_;
    std::map<std::string, std::shared_ptr<Worker>> workers_;
    std::set<protocol::Attempt> begunGangs_;  // task number 0 stands for the whole attempt
    std::map<std::string, std::uint64_t> starts_;
    std::uint64_t created_ = 0, newestToken_ = 0;
};

}  // namespace burlpoint::tests
