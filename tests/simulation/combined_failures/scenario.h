#pragma once

// Combinations of failures. Each test plays one combination in many histories from fixed seeds, with little
// else going wrong; the simulated cluster checks the rules all the time. Holds no state.

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "simulation/histories.h"

namespace burlpoint::tests {

/// A few of the usual faults, so that no two histories are alike.
simulation::Faults fewFaults();

struct Scenario {
    simulation::Faults faults = fewFaults();
    Seconds time{100};
    FaultScript script;
    JobGenerator generateJob = randomJob;
    std::function<void(simulation::SimulatedCluster&)> prepare;
    int maxJobs = kMaxJobs;
    /// How often what the scenario is about took place in a history.
    std::function<std::size_t(const simulation::Occurrences&)> countOccurrences =
        [](const simulation::Occurrences& occurrences) { return occurrences.failovers; };
    /// Numbers of histories that once showed a fault, beside the first few.
    std::vector<int> moreHistories = {};
};

/// Plays the scenario's histories, half of them with a worker lease that is long against the time in which a
/// cancelled task must be gone. Fails the test if a rule is broken, or if what the scenario is about took
/// place too seldom. BURLPOINT_SCENARIO_SEEDS sets another number of histories.
void checkScenario(const Scenario& scenario);

// --- what scripts do ---

/// Cancels so many random jobs that have a task on a machine.
void cancelRunningJobs(simulation::SimulatedCluster& cluster, int count);
/// A job that has a task on a machine and has not ended; empty if there is none.
std::string chooseRunningJob(simulation::SimulatedCluster& cluster);
/// Does that to about half of the machines with tasks on them.
void forHalfOfBusyMachines(simulation::SimulatedCluster& cluster,
                           const std::function<void(const std::string& machine)>& causeFault);
/// Lets tasks run for 10 to 50 s.
void useLongTasks(simulation::SimulatedCluster& cluster);

}  // namespace burlpoint::tests
