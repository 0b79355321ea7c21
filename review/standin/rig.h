#pragma once

// A small deployment on loopback addresses for the review's cases: real controllers, and stand-ins of the
// state service, the cloud, the workers and the users. Every stand-in follows the operators' pages and gives
// the sound answer where these are silent. Single-threaded: everything but the controllers runs in this
// process, in `Rig::step`.

#include <sys/types.h>

#include <asio/io_context.hpp>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/job_messages.h"
#include "storage/store_stub.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "upgrade/controller_process.h"

namespace review {

using burlpoint::Clock;
using burlpoint::Seconds;
using burlpoint::Time;
using burlpoint::protocol::JobSpec;

/// A machine type as the cloud describes it.
struct MachineType {
    std::string label;
    double cores = 0, accelerators = 0, ramGb = 0, cacheGb = 0, pullGbPerS = 0, rate = 0, marketPrice = 0,
           readyS = 0;
    std::vector<std::string> quays;
};

/// The deployment, in the terms of DEPLOY.
struct Site {
    unsigned nodes = 3;
    std::vector<std::string> zones;
    std::vector<std::string> teams;
    double teamCpus = 0, teamCpusMax = 0;
    std::string objectives;  // TOML
    double reportS = 3, leaseS = 24, gangWaitS = 40, gangPeerS = 8, cancelS = 44;
    double rps = 200, writeRps = 40, valueKb = 8;
    unsigned txnOps = 32;
    double cloudRps = 2, listLagS = 12;
    double coreShare = 0.16, memMb = 104;
    unsigned maxConnections = 1500;
    std::vector<MachineType> types;
    std::map<std::string, std::size_t> capacity;  // machines that the cloud has, by "type zone"
    double bootS = 2;                             // "at times machines are up within a second or two"
};

/// A job, and what the stand-ins know of it.
struct Job {
    JobSpec spec;
    double runS = 10;      // run time of each task
    double image_s = 1;    // time that a machine needs to fetch its image
    bool submitted = false, accepted = false, cancelled = false;
    std::optional<Time> acceptedAt{}, cancelledAt{};
    std::string bearing;  // in the last answer to a poll
    std::set<std::uint32_t> done{};
    std::size_t starts = 0;  // start commands that workers carried out
    std::optional<Time> lastStart{};
};

class Rig;

/// A worker: PROTOCOL, "Workers -> controller nodes".
class Worker : public std::enable_shared_from_this<Worker> {
  public:
    enum class Bearing { fetching, waiting, running, saving, exited };
    struct Key {
        std::string job;
        std::uint32_t task = 0;
        std::uint64_t launch = 0;
        auto operator<=>(const Key&) const = default;
    };
    struct Task {
        Bearing bearing = Bearing::fetching;
        std::string wreck;
        bool stored = false;
        bool fails = false;  // it started while the machine was faulty
        Time since{};
    };

    Worker(Rig& rig, std::string id, const MachineType& type, std::string zone, bool spot, Time reportsFrom);

    void step(Time now);
    std::string address() const;
    double freeCores() const;
    bool holds(const std::string& job) const;

    const std::string id, zone;
    const MachineType type;
    const bool spot;
    bool faulty = false;                     // it fails every task that it starts
    double failAfterS = 1;                   // such a task fails this long after it began to run
    std::optional<Time> failAt{};            // such tasks fail at this time instead
    std::map<Key, Task> tasks;
    std::uint64_t watch = 1, knot = 0, helm = 0;
    Time lastReportAt{};                     // when the last report was sent
    bool reportHasRunning = false;           // the last report listed a running task

    void exit(const Key& key, const std::string& why, Time now);
    void setBearing(const Key& key, Bearing bearing, Time now);

  private:
    void expireLease(Time now);
    void report(Time now);
    void answered(const burlpoint::transport::HttpResult& result, Time sent, std::uint64_t session);
    void nextNode(Time now);
    void changed(Time now);
    void execute(const msgpack::object& body, Time reportSent, Time now);
    void start(const Key& key, Time reportSent, Time now);
    std::string refusal(const Key& key) const;
    std::string body();
    void serve(const burlpoint::transport::Request& request, const burlpoint::transport::Reply& reply);
    const Key* active(const std::string& job, std::uint32_t task) const;

    Rig& rig_;
    Time leaseFrom_, earliest_{}, next_;
    bool inFlight_ = false;
    std::size_t node_ = 0;
    std::map<std::string, Time> fetchedAt_;  // by image, when its fetch is complete
    burlpoint::transport::HttpServer server_;
};

/// The cloud: PROTOCOL, "Controller nodes -> cloud".
class Cloud {
  public:
    explicit Cloud(Rig& rig);
    std::string address() const;
    void step(Time now);
    /// A machine that is up at the start of the day. Its worker reports from `reportsFrom` on.
    std::shared_ptr<Worker> addRunning(const std::string& type, const std::string& zone, Time reportsFrom);

    struct Machine {
        std::string type, zone;
        bool spot = false;
        Time rentedAt{}, upAt{};
        std::optional<Time> goneAt{};
        std::shared_ptr<Worker> worker;
    };
    std::map<std::string, Machine> machines;
    std::size_t rentalRequests = 0, machinesRented = 0, machinesReleased = 0, listsServed = 0;
    std::optional<Time> lastRentalRequest{};

  private:
    void serve(const burlpoint::transport::Request& request, const burlpoint::transport::Reply& reply);
    burlpoint::transport::Response rent(const std::string& body);
    std::string list(const std::string& query) const;
    const MachineType& type(const std::string& label) const;

    Rig& rig_;
    std::map<std::string, std::vector<std::string>> charters_;
    std::size_t created_ = 0;
    burlpoint::transport::HttpServer server_;
};

/// A controller as a process, started with the command of the deploy file. Killed at the end, also by the
/// kernel if this process dies.
class Controller {
  public:
    Controller(const std::string& binary, const std::string& settingsFile, const std::string& log);
    ~Controller();
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    /// False once it has ended by itself.
    bool isRunning();
    /// What the process alone holds in memory, in KiB: RssAnon, so without the shared libraries.
    std::size_t memoryKb() const;

  private:
    pid_t pid_;
    bool exited_ = false;
};

/// The whole deployment.
class Rig {
  public:
    Rig(Site site, const std::string& binary, const std::string& recordFile);
    ~Rig();

    void startControllers();
    /// Starts a controller; one that runs is killed first.
    void startController(std::size_t node);
    void killController(std::size_t node) { controllers_[node].reset(); }
    /// Null if it was killed.
    const Controller* controller(std::size_t node) const { return controllers_[node].get(); }
    /// Steps until the condition holds; false if that takes longer than `limitS`.
    bool waitFor(const std::string& what, double limitS, const std::function<bool()>& condition);
    void runFor(double seconds);
    /// Runs until `seconds` after the start of the script.
    void runUntil(double seconds);
    double elapsed() const { return Seconds(Clock::now() - startedAt).count(); }
    void note(const std::string& line);
    /// The verdict, as the last line of the record. Returns the exit status.
    int conclude(bool broken, const std::string& why);

    Job& job(const std::string& id) { return jobs.at(id); }
    Job& add(const JobSpec& spec, double runS, double imageS);
    /// Submits the job at the node, and repeats that at the next node after 1 s until it is accepted.
    void submit(const std::string& id, std::size_t node);
    /// Cancels the job at the node, and repeats that at the same node after 1 s until it is confirmed.
    void cancel(const std::string& id, std::size_t node);
    /// The number of the controller that leads by the leader's key in the state service.
    std::optional<std::size_t> leader() const;
    std::string nodeName(std::size_t node) const { return "bollard-" + std::to_string(node); }
    bool controllersRun();
    /// Running tasks of the job on all machines.
    std::size_t running(const std::string& id) const;
    std::size_t onMachines(const std::string& id) const;

    const Site site;
    const Time startedAt = Clock::now();
    asio::io_context io{1};
    std::map<std::string, Job> jobs;
    std::vector<std::unique_ptr<burlpoint::tests::StoreStub>> store;  // one endpoint for each controller
    burlpoint::transport::HttpClient http{io, 2000};
    std::vector<std::string> nodeAddresses;
    std::unique_ptr<Cloud> cloud;
    std::mt19937 random{12345};
    bool pollUsers = true;
    /// Called for each start command that a worker gets with the answer to a report.
    std::function<void(Worker&, const Worker::Key&, Time reportSent)> onStartCommand;

  private:
    void step();
    void stepGangs(Time now);
    void poll(Time now);
    std::string settings(std::size_t node) const;

    const std::string binary_;
    std::ofstream record_;
    burlpoint::tests::TemporaryDirectory directory_;
    std::vector<std::unique_ptr<burlpoint::tests::ReservedPort>> ports_, peerPorts_;
    std::vector<std::unique_ptr<Controller>> controllers_;
    std::set<std::pair<std::string, std::uint64_t>> startedGangs_;
    std::map<std::string, Time> nextPoll_;
    std::size_t pollNode_ = 0;
};

/// A job with usual values.
JobSpec makeJob(const std::string& id, const std::string& jobClass, const std::string& team);

/// The arguments of a case's program: the controller's program, the record, and whether the disruption comes.
struct Arguments {
    std::string binary, record;
    bool trouble = true;
};
Arguments readArguments(int argc, char** argv);

}  // namespace review
