#pragma once

// A whole cluster in simulated time: leaders that come and go, workers, a cloud, a key-value store, users,
// and a network that loses, delays and reorders whatever the protocol lets it. The rules are checked at each
// step and at each start of a task. A history is a function of the seed, the faults and what the test does.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "simulation/environment.h"
#include "simulation/rule_checker.h"
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

    // What tests use most.
    protocol::Settings& settings{environment.settings};
    RandomSource& random{environment.random};
    const Occurrences& occurrences{environment.occurrences};
    const std::vector<std::string>& brokenRules{environment.brokenRules};
    const std::map<std::string, protocol::JobSpec>& jobs{environment.jobs.specs};

    void run(Seconds time);
    /// The store refuses everybody. A leader that has not lost it before goes on by its peers' votes.
    void beginStoreOutage(Seconds time);
    /// Cuts the zone off from everything else. With `leaderInside` the leader is in it, without the store.
    void cutZone(const std::string& zone, Seconds time, bool leaderInside);
    /// No further faults; those that began go on to their end. From a while later on nothing may wait for
    /// long.
    void endFaults();
    /// Why a job may not be getting on, for a failure's message.
    std::string explain(const std::string& job) const;

  private:
    void step();

    RuleChecker rules_{environment, store, workers};
    bool faultsEnded_ = false;
    Time nextWaitingCheck_{};
};

}  // namespace burlpoint::simulation
