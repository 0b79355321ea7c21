#pragma once

// A complete cluster in simulated time: a sequence of leaders, workers, a cloud, a key-value store, users,
// and a network that loses, delays, duplicates and reorders messages as far as the protocol allows. The
// invariants are checked at each time step and at each start of a task. A history is deterministic: it
// depends only on the seed, the fault rates and the calls that the test makes.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "simulation/environment.h"
#include "simulation/invariant_checker.h"
#include "simulation/simulated_cloud.h"
#include "simulation/simulated_leaders.h"
#include "simulation/simulated_network.h"
#include "simulation/simulated_store.h"
#include "simulation/simulated_users.h"
#include "simulation/simulated_workers.h"

namespace burlpoint::simulation {

class SimulatedCluster {
  public:
    SimulatedCluster(std::uint64_t seed, const Faults& faults);
    SimulatedCluster(const SimulatedCluster&) = delete;
    SimulatedCluster& operator=(const SimulatedCluster&) = delete;

    Environment environment;
    SimulatedStore store{environment};
    SimulatedWorkers workers{environment};
    SimulatedUsers users{environment, store, workers};

  private:
    SimulatedNetwork network_{environment, workers};
    SimulatedCloud cloud_{environment, workers};

  public:
    SimulatedLeaders leaders{environment, store, workers, network_, cloud_};

    // Shortcuts to members that tests use often.
    protocol::Settings& settings{environment.settings};
    RandomSource& random{environment.random};
    const Occurrences& occurrences{environment.occurrences};
    const std::vector<std::string>& violations{environment.violations};
    const std::map<std::string, protocol::JobSpec>& jobs{environment.jobs.specs};

    void run(Seconds time);
    /// The store refuses all requests. A leader that could reach it until now keeps its leadership, as it
    /// would by the votes of its peers.
    void beginStoreOutage(Seconds time);
    /// Partitions the zone from the rest of the cluster. With `leaderInside` the leader is in the partitioned
    /// zone and loses the store.
    void partitionZone(const std::string& zone, Seconds time, bool leaderInside);
    /// Injects no further faults; those that have begun run to their end. From now on jobs that could start
    /// must not wait for long.
    void endFaults();
    /// Describes the state of a job for a failure message.
    std::string explain(const std::string& job) const;

  private:
    void step();

    InvariantChecker invariantChecker_{environment, store, workers};
    bool faultsEnded_ = false;
    Time nextWaitingCheck_{};
};

}  // namespace burlpoint::simulation
