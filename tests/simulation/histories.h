#pragma once

// What all generated histories have in common: random jobs, a script of faults, and the check at the end that
// nothing is left undone. Holds no state; all random numbers come from the simulated cluster.

#include <functional>
#include <string>

#include "base/clock.h"
#include "simulation/simulated_cluster.h"

namespace burlpoint::tests {

/// Makes the job of that number; its id is `jobId(number)`.
using JobGenerator = std::function<protocol::JobSpec(simulation::SimulatedCluster&, int number)>;
/// Called once a simulated second; brings about the faults that a test is about.
using FaultScript = std::function<void(simulation::SimulatedCluster&, int second)>;

constexpr int kMaxJobs = 40;  // of a history, unless a test says otherwise

std::string jobId(int number);
/// The seed of the history of that number. Consecutive numbers give seeds far apart.
std::uint64_t seedOf(std::uint64_t number);

/// A service, a gang or an array of random size, owner and placement constraints.
protocol::JobSpec randomJob(simulation::SimulatedCluster& cluster, int number);
/// The same, with up to three dependencies on jobs that came before it.
protocol::JobSpec randomJobWithDependencies(simulation::SimulatedCluster& cluster, int number);

/// Lets users submit, cancel, ask and submit again for `time`, with the script's faults. Then ends all
/// faults: what was not cancelled has to get done, and no task may be left. Returns what went wrong; empty if
/// nothing did.
std::string playHistory(simulation::SimulatedCluster& cluster, Seconds time, const FaultScript& script,
                        const JobGenerator& generateJob = randomJob, int maxJobs = kMaxJobs);

}  // namespace burlpoint::tests
