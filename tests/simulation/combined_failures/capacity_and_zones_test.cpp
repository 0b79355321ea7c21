// Insufficient capacity, and zones that lose machines or are partitioned.
#include <gtest/gtest.h>

#include "base/clock.h"
#include "simulation/combined_failures/scenario.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using simulation::Occurrences;
using simulation::SimulatedCluster;

TEST(History, InvariantsHoldWhenWorkOfAllPrioritiesExceedsCapacityAndFetchesAreSlow) {
    Scenario scenario;
    scenario.maxJobs = 25;
    scenario.generateJob = [](SimulatedCluster& cluster, int number) {
        auto spec = randomJob(cluster, number);
        if (spec.gpus <= 0 && cluster.random.below(4) == 0) spec.types = std::vector<std::string>{"gpu"};
        return spec;
    };
    scenario.prepare = [](SimulatedCluster& cluster) {
        cluster.workers.maxMachines = 4;
        cluster.workers.maxFetchTime = Seconds(15);
    };
    scenario.faults.leaderCrashesPerSecond = 0.01;
    checkScenario(scenario);
}

TEST(History, InvariantsHoldWhenJobsBoundToOneZoneLoseMachines) {
    Scenario scenario;
    scenario.generateJob = [](SimulatedCluster& cluster, int number) {
        auto spec = randomJob(cluster, number);
        spec.spreadZones = false;
        spec.singleZone = cluster.random.below(3) > 0;
        if (!spec.singleZone)
            spec.zone = cluster.settings.zones[static_cast<std::size_t>(cluster.random.below(2))];
        return spec;
    };
    scenario.faults.leaderCrashesPerSecond = 0.01;
    scenario.regressionHistories = {235};
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 8 != 6) return;
        forHalfOfBusyMachines(cluster, [&](const std::string& machine) {
            if (cluster.random.below(2) == 0)
                cluster.workers.kill(machine);
            else
                cluster.workers.partition(machine, cluster.random.seconds(1, 40));
        });
    };
    checkScenario(scenario);
}

TEST(History, InvariantsHoldWhenAZoneWithWorkersAndAControllerIsPartitionedForLongerThanALease) {
    Scenario scenario;
    scenario.prepare = useLongTasks;
    scenario.time = Seconds(130);
    scenario.faults.heartbeatHeldForNextLeaderProbability = 0.1;
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 60 != 20) return;
        auto& random = cluster.random;
        cluster.partitionZone(random.below(2) == 0 ? "a" : "b",
                              cluster.settings.workerLease + random.seconds(1, 12), random.below(2) == 0);
        cancelRunningJobs(cluster, 2);
    };
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return occurrences.answersInsidePartitionedZone;
    };
    checkScenario(scenario);
}
