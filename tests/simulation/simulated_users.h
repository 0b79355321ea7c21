#pragma once

// The users of a simulated cluster. They submit, cancel and query jobs through a controller that reaches the
// store, and check that terminal states reported to them never change.

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

    /// The job is accepted unless the store is unavailable or a dependency is unknown. Submitting it again
    /// finds the record and changes nothing.
    void submit(const protocol::JobSpec& spec);
    /// Cancels the job unless it has ended. Retries each second while the store is unavailable.
    void cancel(const std::string& job);
    /// Checks that the job's record exists, that a controller's replica derives the stored state from it, and
    /// that a terminal state reported before has not changed.
    void queryStatus(const std::string& job);
    /// Cancels the job, queries its status and resubmits it at random times: most within 1.5 s, some queries
    /// within 60 s.
    void cancelQueryAndResubmit(const std::string& job);

  private:
    Environment& environment_;
    SimulatedStore& store_;
    SimulatedWorkers& workers_;
    std::map<std::string, storage::TerminalState> lastAnswers_;  // by job id
    bookkeeping::StateReplica replica_;                          // of a controller that is not the leader
    std::size_t replicaPosition_ = 0;                            // up to which the store's log was read
};

}  // namespace burlpoint::simulation
