#pragma once

// Generates and runs histories of a simulated cluster: submits random jobs, injects faults by a script, and
// checks at the end that all jobs have ended. Holds no state; all random numbers come from the cluster's own
// source.

#include <functional>
#include <string>

#include "base/clock.h"
#include "simulation/simulated_cluster.h"

namespace burlpoint::tests {

/// Generates the job with the given number; its id is `jobId(number)`.
using JobGenerator = std::function<protocol::JobSpec(simulation::SimulatedCluster&, int number)>;
/// Called once per simulated second to inject the faults that a test targets.
using FaultScript = std::function<void(simulation::SimulatedCluster&, int second)>;

constexpr int kMaxJobs = 40;  // per history, by default

std::string jobId(int number);
/// The seed of the history with the given number. Consecutive numbers give widely spaced seeds.
std::uint64_t seedOf(std::uint64_t number);

/// Generates a service, a gang or an array with random size, team and placement constraints.
protocol::JobSpec randomJob(simulation::SimulatedCluster& cluster, int number);
/// Like `randomJob`, with up to three dependencies on jobs submitted earlier.
protocol::JobSpec randomJobWithDependencies(simulation::SimulatedCluster& cluster, int number);

/// Runs the cluster for `time` while users submit, cancel, query and resubmit jobs and the script injects
/// faults. Then ends all faults, cancels the services, and requires that every job ends and that no task is
/// left running. Returns a description of the failure, or an empty string on success.
std::string runHistory(simulation::SimulatedCluster& cluster, Seconds time, const FaultScript& script,
                       const JobGenerator& generateJob = randomJob, int maxJobs = kMaxJobs);

}  // namespace burlpoint::tests
