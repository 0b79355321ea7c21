#pragma once

// A small deployment for the cases of this review: real controller processes on loopback, each behind proxies
// of its own, with the project's stubs of the key-value store, the cloud, the workers and the users.

#include <sys/types.h>

#include <array>
#include <asio.hpp>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cloud.h"
#include "storage/store_stub.h"
#include "upgrade/controller_process.h"
#include "upgrade/machines.h"
#include "upgrade/store_check.h"
#include "upgrade/test_oracle.h"
#include "upgrade/users.h"

namespace review {

using burlpoint::Clock;
using burlpoint::Duration;
using burlpoint::Seconds;
using burlpoint::Time;

/// A TCP proxy on loopback. While it is cut, nothing is forwarded: connections hang.
class Proxy {
  public:
    Proxy(asio::io_context& io, std::string target);
    std::string address() const;
    /// In a cut packets are held back, and delivered once it ends (`hold`), or connections are reset.
    void cut(bool hold);
    void heal();
    bool isCut() const { return cut_; }
    /// Number of packets that the client side has sent.
    std::size_t packets() const { return packets_; }
    /// Share of transactions ("POST /multi") that are held for 2 to 12 s and then delivered.
    double lateShare = 0;
    /// Share of the workers' reports of which a copy arrives 2 to 15 s later, at one of `copyTargets`.
    double copyShare = 0;
    std::vector<std::string> copyTargets;

  private:
    void sendCopy(std::string bytes);
    struct Link;
    void accept();
    void pump(const std::shared_ptr<Link>& link, int from);
    void connect(const std::shared_ptr<Link>& link);

    asio::io_context& io_;
    std::string target_;
    asio::ip::tcp::acceptor acceptor_;
    bool cut_ = false, hold_ = false;
    std::size_t packets_ = 0;
    std::vector<std::weak_ptr<Link>> links_;
    std::mt19937 random_{7};
};

/// A controller process with signals.
class Process {
  public:
    Process(const std::vector<std::string>& command, const std::string& settingsFile, const std::string& log);
    ~Process();
    void signal(int number) const;
    bool isRunning();
    /// The most memory that it has held so far, in MiB.
    double peakMemoryMb() const;

  private:
    pid_t pid_;
    bool exited_ = false;
};

struct Limits {
    double reportS = 1.5, leaseS = 10, gangWaitS = 45, gangPeerS = 8, cancelS = 30;
    double rps = 200, writeRps = 20, valueKb = 32;
    unsigned txnOps = 12;
    /// Name, guaranteed CPUs and the most CPUs of each team; 0 means none.
    struct Team {
        std::string name;
        double cpus = 0, cpusMax = 0;
    };
    std::vector<Team> teams{{"team", 0, 0}};
    double memoryMb = 72;
};

class Stage {
  public:
    static constexpr std::size_t kControllers = 3;
    Stage(std::vector<std::string> command, Limits limits);
    ~Stage();

    void start(std::size_t controller);
    void startAll();
    void kill(std::size_t controller) { processes_[controller].reset(); }
    bool isRunning(std::size_t controller) const { return processes_[controller] != nullptr; }
    double peakMemoryMb(std::size_t controller) const { return processes_[controller]->peakMemoryMb(); }
    void freeze(std::size_t controller);
    void resume(std::size_t controller);
    bool isFrozen(std::size_t controller) const { return frozen_[controller]; }
    std::optional<std::size_t> leader() const;

    Proxy& storeProxy(std::size_t controller) { return *storeProxies_[controller]; }
    Proxy& workerProxy(std::size_t controller) { return *workerProxies_[controller]; }
    Proxy& peerProxy(std::size_t from, std::size_t to) { return *peerProxies_[from][to]; }
    void cutPeers(std::size_t controller, bool hold);
    void healPeers(std::size_t controller);
    burlpoint::tests::StoreStub& storeEndpoint(std::size_t controller) { return *storeEndpoints_[controller]; }
    void setStoreOutage(bool outage);

    /// One step of some milliseconds.
    void step();
    void run(Seconds time);
    std::string address(std::size_t controller) const { return controllers_[controller].address; }
    static std::string nameOf(std::size_t controller) { return "controller-" + std::to_string(controller); }
    std::string logs() const;

    burlpoint::protocol::Settings settings;
    burlpoint::tests::TestOracle oracle;
    bool fakeUsers = true;  // the project's users, who ask and repeat all the time

  private:
    std::string settingsText(std::size_t controller) const;
    std::string path(std::size_t controller, const char* end) const;

    const std::vector<std::string> command_;
    const Limits limits_;
    const burlpoint::tests::TemporaryDirectory directory_;

  public:
    asio::io_context io{1};

  private:
    std::vector<std::unique_ptr<burlpoint::tests::ReservedPort>> ports_, peerPorts_;
    std::vector<burlpoint::tests::ControllerEndpoint> controllers_;
    std::vector<std::unique_ptr<burlpoint::tests::StoreStub>> storeEndpoints_;
    std::vector<std::unique_ptr<Proxy>> storeProxies_, workerProxies_;
    std::vector<std::vector<std::unique_ptr<Proxy>>> peerProxies_;
    bool outage_ = false;

  public:
    burlpoint::tests::StoreCheck storeCheck;
    burlpoint::tests::Machines machines;
    burlpoint::tests::Users users;

    Cloud cloud;

  private:
    std::vector<std::unique_ptr<Process>> processes_;
    std::vector<bool> frozen_;
};

}  // namespace review
