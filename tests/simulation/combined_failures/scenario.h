#pragma once

// Scenarios that combine specific faults. Each test runs one scenario in many histories from fixed seeds,
// with only rare faults of other kinds. The simulated cluster checks the invariants throughout. Holds no
// state.

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "simulation/histories.h"

namespace burlpoint::tests {

/// Low rates of common faults, which make the histories of a scenario differ.
simulation::Faults backgroundFaults();

struct Scenario {
    simulation::Faults faults = backgroundFaults();
    Seconds time{100};
    FaultScript script;
    JobGenerator generateJob = randomJob;
    std::function<void(simulation::SimulatedCluster&)> prepare;
    int maxJobs = kMaxJobs;
    /// Counts how often the targeted situation occurred in a history.
    std::function<std::size_t(const simulation::Occurrences&)> countOccurrences =
        [](const simulation::Occurrences& occurrences) { return occurrences.failovers; };
    /// Numbers of further histories to run, which have exposed defects before.
    std::vector<int> regressionHistories = {};
};

/// Runs the scenario's histories. Half of them use a worker lease of 30 s instead of 12 s, which leaves
/// little of the `cancelTimeout` of 45 s. Fails the test if an invariant is violated or if the targeted
/// situation occurred too rarely. The environment variable BURLPOINT_SCENARIO_SEEDS overrides the number of
/// histories.
void checkScenario(const Scenario& scenario);

// Helper functions for fault scripts.

/// Cancels up to `count` random jobs that have a task on a machine.
void cancelRunningJobs(simulation::SimulatedCluster& cluster, int count);
/// A random job that has a task on a machine and has not ended; empty if there is none.
std::string chooseRunningJob(simulation::SimulatedCluster& cluster);
/// Calls `causeFault` for each machine with tasks, with a probability of one half.
void forHalfOfBusyMachines(simulation::SimulatedCluster& cluster,
                           const std::function<void(const std::string& machine)>& causeFault);
/// Lets tasks run for 10 to 50 s.
void useLongTasks(simulation::SimulatedCluster& cluster);

}  // namespace burlpoint::tests
