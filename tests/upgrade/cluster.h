#pragma once

// A cluster for the upgrade tests: controllers as real processes, and everything around them in this process.
// Used on the test's one thread.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "storage/store_stub.h"
#include "transport/executor.h"
#include "upgrade/cloud.h"
#include "upgrade/launcher.h"
#include "upgrade/machines.h"
#include "upgrade/rules.h"
#include "upgrade/store_check.h"
#include "upgrade/users.h"

namespace burlpoint::tests {

/// A version of the controller.
struct Version {
    std::string name, binary;
    bool operator==(const Version&) const = default;
};

/// Limits of the key-value store's values as the settings name them, now and next.
struct ValueLimits {
    double nowKb = 64, nextKb = 64;
    unsigned nowOperations = 64, nextOperations = 64;
};

/// Thrown as soon as a rule is broken; the message names it.
struct RuleBroken : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Three controllers as real processes, and the key-value store, the cloud, the workers and the users around
/// them. Nothing here depends on how fast the machine is: a test waits for what has to come, and the rules
/// that it checks hold at any speed.
class Cluster {
  public:
    static constexpr std::size_t kControllers = 3;

    explicit Cluster(ValueLimits limits = {});
    ~Cluster();

    /// Starts a controller, or kills it and starts it again at once.
    void start(std::size_t controller, const Version& version);
    void startAll(const Version& version);
    void kill(std::size_t controller) { processes_[controller].reset(); }
    bool runs(std::size_t controller) const { return processes_[controller] != nullptr; }
    const Version& version(std::size_t controller) const { return versions_[controller]; }

    bool hasLeaderKey() const {
        return storeEndpoints_.front()->store.values.contains(storage::keys::kLeader);
    }
    /// The controller that has stored the leader's key and whose fencing token a worker has accepted.
    std::optional<std::size_t> leader() const;
    /// Kills the others, so that this one has to lead, and waits until it does.
    void makeLeader(std::size_t controller);
    /// The same, and then starts the others again, each in its version.
    void makeLeaderAgain(std::size_t controller);
    /// Waits until some controller leads.
    std::size_t awaitLeader();

    /// The key-value store refuses this controller alone, or serves it again.
    void refuse(std::size_t controller, bool refused) { storeEndpoints_[controller]->outage = refused; }
    /// The key-value store refuses all controllers, or serves all of them again.
    void setOutage(bool outage);
    /// From now on the key-value store takes no more than the next limits.
    void lowerLimits();

    /// Goes on until the condition holds. Only the whole test's time is limited.
    void until(const std::string& what, const std::function<bool()>& holds);

    protocol::Settings settings;  // what all controllers have in common
    Rules rules;

  private:
    void step();
    void checkProcesses();
    std::string settingsFile(std::size_t controller) const;
    std::string settingsText(std::size_t controller) const;
    std::string logFile(std::size_t controller) const;
    void printLogs() const;

    const ValueLimits limits_;
    const TemporaryDirectory directory_;
    asio::io_context io_{1};
    std::vector<std::unique_ptr<ReservedPort>> ports_, peerPorts_;
    std::vector<Controller> controllers_;
    std::vector<std::unique_ptr<StoreStub>>
        storeEndpoints_;  // of the key-value store, one for each controller
    bool outage_ = false;

  public:
    StoreCheck stored;
    Machines machines;
    Users users;

  private:
    CloudStub cloud_;
    std::vector<Version> versions_;
    std::vector<std::unique_ptr<ControllerProcess>> processes_;
};

}  // namespace burlpoint::tests
