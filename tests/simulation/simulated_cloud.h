#pragma once

// The cloud provider of a simulated cluster. Creates, deletes and lists machines on request; some requests
// are executed long after the leader's timeout.

#include <map>
#include <string>
#include <vector>

#include "simulation/environment.h"
#include "simulation/requester.h"
#include "simulation/simulated_workers.h"

namespace burlpoint::simulation {

class SimulatedCloud {
  public:
    SimulatedCloud(Environment& environment, SimulatedWorkers& workers)
        : environment_(environment), workers_(workers) {}

    void scaleOut(const coordination::ScaleOut& action, const Requester& leader);
    void scaleIn(const coordination::ScaleIn& action, const Requester& leader);
    void listMachines(const Requester& leader);
    void listTypes(const Requester& leader);

  private:
    /// Creates the requested machines unless that was done before, and returns their ids.
    const std::vector<std::string>& fulfil(const protocol::InstanceRequest& request);

    Environment& environment_;
    SimulatedWorkers& workers_;
    std::map<std::string, std::vector<std::string>> machinesOfRequests_;  // by request name
};

}  // namespace burlpoint::simulation
