// A key-value store that is slow, or that refuses the leader or all clients, while jobs are cancelled.
#include <gtest/gtest.h>

#include "base/clock.h"
#include "simulation/combined_failures/scenario.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using simulation::Occurrences;
using simulation::SimulatedCluster;

TEST(History, InvariantsHoldWhenJobsAreCancelledWhileTheLeaderHasLostTheStore) {
    Scenario scenario;
    scenario.prepare = useLongTasks;
    scenario.faults.heartbeatHeldForNextLeaderProbability = 0.1;
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 20 != 15) return;
        cluster.leaders.loseStore(Seconds(8));
        cancelRunningJobs(cluster, 3);
        forHalfOfBusyMachines(cluster, [&](const std::string& machine) {
            cluster.workers.partition(machine, cluster.random.seconds(1, 12));
        });
    };
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return occurrences.cancellationsOnUnreachableMachines;
    };
    checkScenario(scenario);
}

TEST(History, InvariantsHoldWhenTheStoreIsSlowThenRefusesTheLeaderThenAllClients) {
    Scenario scenario;
    scenario.prepare = useLongTasks;
    scenario.time = Seconds(130);
    scenario.faults.userActionsAtJobEndProbability = 0.3;
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second == 20) cluster.store.setLatency(Seconds(1.3));
        if (second == 40) cluster.store.setLatency(Seconds(0));
        if (second == 50) cluster.leaders.loseStore(Seconds(6));
        if (second == 52) cluster.beginStoreOutage(cluster.settings.cancelTimeout + Seconds(10));
        if (second >= 48 && second < 56) cancelRunningJobs(cluster, 1);
        if (second > 56 && second % 10 == 0) cancelRunningJobs(cluster, 1);
    };
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return occurrences.cancellationsDelayedByOutage;
    };
    checkScenario(scenario);
}

TEST(History, InvariantsHoldWhenJobsAreCancelledAsTheLeaderLosesTheStoreASecondBeforeAnOutage) {
    Scenario scenario;
    scenario.prepare = useLongTasks;
    scenario.time = Seconds(130);
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second == 30) {
            cluster.leaders.loseStore(Seconds(6));
            cancelRunningJobs(cluster, 6);
        }
        if (second == 31) cluster.beginStoreOutage(cluster.settings.cancelTimeout + Seconds(12));
    };
    checkScenario(scenario);
}
