#pragma once

// A cluster for the upgrade tests: the controllers are real processes, and all their peers (key-value store,
// cloud, workers, users) are stubs in the test process. Single-threaded: used only on the test's thread.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "storage/store_stub.h"
#include "transport/executor.h"
#include "upgrade/cloud_stub.h"
#include "upgrade/controller_process.h"
#include "upgrade/machines.h"
#include "upgrade/store_check.h"
#include "upgrade/test_oracle.h"
#include "upgrade/users.h"

namespace burlpoint::tests {

/// A version of the controller: its name in log lines, and the path of its executable.
struct Version {
    std::string name, binary;
    bool operator==(const Version&) const = default;
};

/// The key-value store's limits on the size of a value and on the writes in a transaction, as the settings
/// state them: the current limits, and the announced next ones.
struct StoreLimits {
    double currentValueKb = 64, nextValueKb = 64;
    unsigned currentTxnOps = 64, nextTxnOps = 64;
};

/// Thrown at the first invariant violation; the message describes the violation.
struct InvariantViolation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Three controllers as real processes, with stubs of the key-value store, the cloud, the workers and the
/// users. Results do not depend on the speed of the host: a test waits for conditions without a time limit of
/// its own, and the invariants that it checks hold at any speed.
class Cluster {
  public:
    static constexpr std::size_t kControllers = 3;

    explicit Cluster(StoreLimits limits = {});
    ~Cluster();

    /// Starts a controller in this version. A running controller is killed first.
    void start(std::size_t controller, const Version& version);
    void startAll(const Version& version);
    void kill(std::size_t controller) { processes_[controller].reset(); }
    /// Whether the controller has been started and has not been killed since.
    bool isRunning(std::size_t controller) const { return processes_[controller] != nullptr; }
    /// The most memory that the controller's process has held since its start, in bytes.
    std::size_t peakMemoryBytes(std::size_t controller) const {
        return processes_[controller]->peakMemoryBytes();
    }
    const Version& version(std::size_t controller) const { return versions_[controller]; }

    /// Whether the leader's key exists in the key-value store; it is deleted when the leader lease expires.
    bool hasLeaderKey() const {
        return storeEndpoints_.front()->store.values.contains(storage::keys::kLeader);
    }
    /// The running controller named by the leader's key, if a worker has accepted that leader's fencing
    /// token.
    std::optional<std::size_t> leader() const;
    /// Kills the other controllers, so that only this one can lead, and waits until it does.
    void makeLeader(std::size_t controller);
    /// Ends the store outage of this controller, makes it the leader, and restarts the others in their
    /// versions.
    void restoreLeader(std::size_t controller);
    /// Waits until a controller leads, and returns it.
    std::size_t waitForLeader();

    /// Makes the key-value store refuse the requests of this controller only, or serve them again.
    void setStoreOutageFor(std::size_t controller, bool outage) {
        storeEndpoints_[controller]->outage = outage;
    }
    /// Makes the key-value store refuse the requests of all controllers, or serve them again. After an
    /// outage, all leases in the store have their full duration again.
    void setStoreOutage(bool outage);
    /// Makes the key-value store enforce the next limits from now on.
    void applyNextLimits();

    /// Steps the cluster until the condition holds. There is no time limit other than the ctest timeout of
    /// the whole test.
    void waitUntil(const std::string& description, const std::function<bool()>& condition);

    protocol::Settings settings;  // shared by all controllers
    TestOracle oracle;

  private:
    void step();
    void checkProcesses();
    std::string settingsFile(std::size_t controller) const;
    std::string settingsText(std::size_t controller) const;
    std::string logFile(std::size_t controller) const;
    void printLogs() const;

    const StoreLimits limits_;
    const TemporaryDirectory directory_;
    asio::io_context io_{1};
    std::vector<std::unique_ptr<ReservedPort>> ports_, peerPorts_;
    std::vector<ControllerEndpoint> controllers_;
    /// One endpoint of the same key-value store per controller.
    std::vector<std::unique_ptr<StoreStub>> storeEndpoints_;
    bool outage_ = false;

  public:
    StoreCheck storeCheck;
    Machines machines;
    Users users;

  private:
    CloudStub cloud_;
    std::vector<Version> versions_;
    std::vector<std::unique_ptr<ControllerProcess>> processes_;
};

}  // namespace burlpoint::tests
