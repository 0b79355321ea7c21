// Leader changes combined with other faults.
#include <gtest/gtest.h>

#include "base/clock.h"
#include "simulation/combined_failures/scenario.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using simulation::Occurrences;
using simulation::SimulatedCluster;

TEST(History, InvariantsHoldWhenLeaderEndsWhileBusyMachinesAreUnreachable) {
    Scenario scenario;
    scenario.prepare = useLongTasks;
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 25 != 20) return;
        auto& random = cluster.random;
        forHalfOfBusyMachines(cluster, [&](const std::string& machine) {
            if (random.below(2) == 0)
                cluster.workers.partition(machine, random.seconds(3, 40));
            else
                cluster.workers.breakInboundLink(machine, random.seconds(3, 40));
        });
        cluster.leaders.endLeadership(random.seconds(0.2, 6));
    };
    checkScenario(scenario);
}

TEST(History, InvariantsHoldWhenAllControllersAreDownForLongerThanALease) {
    Scenario scenario;
    scenario.prepare = useLongTasks;
    scenario.faults.heartbeatHeldForNextLeaderProbability = 0.1;
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 60 != 25) return;
        cluster.leaders.endLeadership(cluster.settings.workerLease + cluster.random.seconds(-1, 8));
        cancelRunningJobs(cluster, 2);
    };
    scenario.time = Seconds(120);
    checkScenario(scenario);
}

TEST(History, InvariantsHoldWhenLeadersChangeWithinASecondAndAllControllersStop) {
    Scenario scenario;
    scenario.prepare = useLongTasks;
    scenario.faults.heartbeatHeldForNextLeaderProbability = 0.1;
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 7 == 5) cluster.leaders.endLeadership(cluster.random.seconds(0.1, 0.9));
        if (second % 40 != 30) return;
        cluster.leaders.endLeadership(cluster.random.seconds(1, 16));
        cancelRunningJobs(cluster, 2);
    };
    checkScenario(scenario);
}

TEST(History, InvariantsHoldWhenLeadersChangeTenTimesInTwoMinutesWithStoreOutages) {
    Scenario scenario;
    scenario.prepare = useLongTasks;
    scenario.time = Seconds(125);
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 40 == 24) cluster.beginStoreOutage(cluster.random.seconds(3, 20));
        if (second % 12 == 4) cluster.leaders.endLeadership(cluster.random.seconds(0.2, 3));
        if (second % 12 == 3) cancelRunningJobs(cluster, 1);
    };
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return std::size_t{occurrences.failovers >= 10};
    };
    checkScenario(scenario);
}

TEST(History, InvariantsHoldWhenTasksOfSmallJobsEndBeforeAndAfterAFailover) {
    Scenario scenario;
    scenario.prepare = [](SimulatedCluster& cluster) {
        cluster.workers.minRunTime = Seconds(1);
        cluster.workers.maxRunTime = Seconds(45);
    };
    scenario.generateJob = [](SimulatedCluster& cluster, int number) {
        auto spec = randomJob(cluster, number);
        spec.kind = protocol::JobKind::array;
        spec.tasks = 2 + static_cast<std::uint32_t>(cluster.random.below(2));
        return spec;
    };
    scenario.faults.unansweredWriteProbability = 0.1;
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 15 == 10) cluster.leaders.endLeadership(cluster.random.seconds(0.2, 6));
    };
    checkScenario(scenario);
}

TEST(History, InvariantsHoldWhenLeaderChangesWithATeamNearItsQuotaAndMachinesUnreachable) {
    Scenario scenario;
    scenario.prepare = useLongTasks;
    scenario.generateJob = [](SimulatedCluster& cluster, int number) {
        auto spec = randomJob(cluster, number);
        spec.team = "small";
        spec.priority = static_cast<protocol::Priority>(cluster.random.below(3));
        return spec;
    };
    scenario.maxJobs = 15;
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 25 == 15) {
            forHalfOfBusyMachines(cluster, [&](const std::string& machine) {
                cluster.workers.partition(machine, cluster.random.seconds(2, 35));
            });
            cluster.leaders.endLeadership(cluster.random.seconds(0.2, 5));
        }
        if (second % 25 == 16 || second % 25 == 19) cancelRunningJobs(cluster, 1);
    };
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return occurrences.failoversNearTeamQuota;
    };
    checkScenario(scenario);
}
