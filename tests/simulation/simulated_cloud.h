#pragma once

// The cloud of a simulated cluster: makes and deletes machines on request, sometimes long after the leader
// has stopped waiting, and lists them.

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
    /// The machines of the request, which are created only once.
    const std::vector<std::string>& fulfil(const protocol::InstanceRequest& request);

    Environment& environment_;
    SimulatedWorkers& workers_;
    std::map<std::string, std::vector<std::string>> machinesOfRequests_;  // by the request's name
};

}  // namespace burlpoint::simulation
