#pragma once

// The users of a simulated cluster: they submit and cancel jobs through any controller that the store
// answers, and compare what they are told with what they were told before.

#include <cstddef>
#include <map>
#include <string>

#include "bookkeeping/state_replica.h"
#include "simulation/environment.h"
#include "simulation/simulated_store.h"
#include "simulation/simulated_workers.h"

namespace burlpoint::simulation {

class SimulatedUsers {
  public:
    SimulatedUsers(Environment& environment, SimulatedStore& store, SimulatedWorkers& workers)
        : environment_(environment), store_(store), workers_(workers) {}

    /// Accepted unless the store is out. A repetition finds the record and changes nothing.
    void submit(const protocol::JobSpec& spec);
    /// Repeated until it is confirmed.
    void cancel(const std::string& job);
    /// Nobody is told the contrary of a terminal state that somebody was told.
    void ask(const std::string& job);
    /// Cancels the job, asks about it and submits it again, about now.
    void actAtJobEnd(const std::string& job);

  private:
    Environment& environment_;
    SimulatedStore& store_;
    SimulatedWorkers& workers_;
    std::map<std::string, storage::TerminalState> answers_;  // the last of each job
    bookkeeping::StateReplica replica_;                      // of a controller that only answers users
    std::size_t replicaPosition_ = 0;                        // in the store's log
};

}  // namespace burlpoint::simulation
