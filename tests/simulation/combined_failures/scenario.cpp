#include "simulation/combined_failures/scenario.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace burlpoint::tests {

using simulation::Faults;
using simulation::SimulatedCluster;

namespace {

constexpr int kHistories = 50;
constexpr std::size_t kMinOccurrences = 10;  // over all histories of a scenario

}  // namespace

Faults backgroundFaults() {
    auto faults = Faults::none();
    faults.messageLossProbability = 0.02;
    faults.lateExecutionProbability = 0.02;
    faults.heartbeatDuplicateProbability = 0.01;
    faults.workerDeathsPerSecond = 0.0005;
    faults.workerHangsPerSecond = 0.0005;
    faults.workerPartitionsPerSecond = 0.0005;
    faults.spotInterruptionsPerSecond = 0.0005;
    faults.taskErrorProbability = 0.01;
    return faults;
}

void checkScenario(const Scenario& scenario) {
    int histories = kHistories;
    if (const char* historyCount = std::getenv("BURLPOINT_SCENARIO_SEEDS"))
        histories = std::atoi(historyCount);
    auto numbers = scenario.regressionHistories;
    for (int number = 1; number <= histories; ++number) numbers.push_back(number);
    std::size_t occurrences = 0;
    for (const int number : numbers) {
        SimulatedCluster cluster(seedOf(static_cast<std::uint64_t>(number)), scenario.faults);
        if (number % 2 == 0) cluster.settings.workerLease = Seconds(30);
        if (scenario.prepare) scenario.prepare(cluster);
        const auto failure =
            runHistory(cluster, scenario.time, scenario.script, scenario.generateJob, scenario.maxJobs);
        ASSERT_EQ(failure, "") << "seed " << number;
        occurrences += scenario.countOccurrences(cluster.occurrences);
    }
    EXPECT_GE(occurrences, kMinOccurrences)
        << "the histories did not exercise the targeted situation often enough";
}

std::string chooseRunningJob(SimulatedCluster& cluster) {
    std::vector<std::string> running;
    for (const auto& [id, spec] : cluster.jobs)
        if (cluster.store.terminalStateOf(id) == storage::TerminalState::none &&
            !cluster.workers.workersWithTasks(id).empty())
            running.push_back(id);
    if (running.empty()) return "";
    return running[static_cast<std::size_t>(cluster.random.below(static_cast<int>(running.size())))];
}

void cancelRunningJobs(SimulatedCluster& cluster, int count) {
    for (int i = 0; i < count; ++i)
        if (const auto id = chooseRunningJob(cluster); !id.empty()) cluster.users.cancel(id);
}

void forHalfOfBusyMachines(SimulatedCluster& cluster,
                           const std::function<void(const std::string&)>& causeFault) {
    for (const auto& id : cluster.workers.workersWithTasks(""))
        if (cluster.random.below(2) == 0) causeFault(id);
}

void useLongTasks(SimulatedCluster& cluster) {
    cluster.workers.minRunTime = Seconds(10);
    cluster.workers.maxRunTime = Seconds(50);
}

}  // namespace burlpoint::tests
