// Messages that arrive late or in one direction only, and transactions that are applied late.
#include <gtest/gtest.h>

#include <algorithm>

#include "base/clock.h"
#include "simulation/combined_failures/scenario.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using simulation::Occurrences;
using simulation::SimulatedCluster;

TEST(History, InvariantsHoldWhenHeartbeatsOfEarlierIncarnationsArriveAfterNewerOnes) {
    Scenario scenario;
    scenario.faults.heartbeatDuplicateProbability = 0.4;
    scenario.faults.heartbeatHeldForNextLeaderProbability = 0.2;
    scenario.faults.workerRestartsPerSecond = 0.02;
    scenario.faults.leaderCrashesPerSecond = 0.03;
    scenario.faults.taskErrorProbability = 0.1;
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return occurrences.heartbeatsOfEarlierIncarnations;
    };
    checkScenario(scenario);
}

TEST(History, InvariantsHoldWhenHeartbeatsArriveOnlyAfterANewLeaderHasActed) {
    Scenario scenario;
    scenario.faults.heartbeatHeldForNextLeaderProbability = 0.6;
    scenario.faults.workerRestartsPerSecond = 0.01;
    scenario.faults.leaderCrashesPerSecond = 0.05;
    scenario.faults.taskErrorProbability = 0.1;
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return occurrences.heartbeatsSeenByNextLeader;
    };
    checkScenario(scenario);
}

TEST(History, InvariantsHoldWhenTransactionsAreAppliedAfterNewerOnesOfTheSameController) {
    Scenario scenario;
    scenario.faults.unansweredWriteProbability = 0.35;
    scenario.faults.workerDeathsPerSecond = 0.01;
    scenario.faults.workerRestartsPerSecond = 0.01;
    scenario.faults.leaderCrashesPerSecond = 0.01;
    scenario.regressionHistories = {136};
    scenario.countOccurrences = [](const Occurrences& occurrences) { return occurrences.lateWritesRejected; };
    checkScenario(scenario);
}

TEST(History, InvariantsHoldWhenMessagesAreHeldUntilTheirMachineRecovers) {
    Scenario scenario;
    scenario.prepare = useLongTasks;
    scenario.faults.messageHeldUntilRecoveryProbability = 0.8;
    scenario.faults.workerHangsPerSecond = 0.02;
    scenario.faults.workerPartitionsPerSecond = 0.01;
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 15 != 12) return;
        const double longestHang = cluster.settings.workerLease.count() * 1.1;
        for (int i = 0; i < 4; ++i) {  // their machines start to hang as the jobs are cancelled
            const auto id = chooseRunningJob(cluster);
            if (id.empty()) return;
            for (const auto& machine : cluster.workers.workersWithTasks(id))
                cluster.workers.hang(machine, cluster.random.seconds(1, longestHang));
            cluster.users.cancel(id);
        }
    };
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return std::min(occurrences.commandsAfterRecovery, occurrences.cancellationsOnUnreachableMachines);
    };
    checkScenario(scenario);
}

TEST(History, InvariantsHoldWhenWorkersReachNoControllerButReceiveDirectCommands) {
    Scenario scenario;
    scenario.prepare = useLongTasks;
    scenario.faults.outboundLinkFailuresPerSecond = 0.02;
    scenario.faults.leaderCrashesPerSecond = 0.02;
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 20 != 15) return;
        forHalfOfBusyMachines(cluster, [&](const std::string& machine) {
            cluster.workers.breakOutboundLink(machine, cluster.random.seconds(5, 45));
        });
        cancelRunningJobs(cluster, 2);
    };
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return occurrences.commandsWithoutOutboundLink;
    };
    checkScenario(scenario);
}

// Guards against tasks that run twice, or after their job's cancellation, as a late copy of a direct command
// reaches a machine that is back within a second, or under a leader that is.
TEST(History, InvariantsHoldWhenDirectCommandsArriveAgainAfterQuickRestarts) {
    Scenario scenario;
    scenario.faults.directCommandCopyProbability = 0.8;
    scenario.faults.workerRestartsPerSecond = 0.01;
    scenario.faults.workerCounterResetsPerSecond = 0.005;
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 10 == 5) cancelRunningJobs(cluster, 2);
        if (second % 20 == 7) cluster.leaders.endLeadership(Seconds(0.2));
    };
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return occurrences.copiesOfDirectCommands;
    };
    checkScenario(scenario);
}

// The same for copies of the starts in heartbeat responses, which were executed before: also of attempts that
// have ended since, and whose tasks have moved or whose jobs were cancelled.
TEST(History, InvariantsHoldWhenStartsArriveAgainAfterTheyWereExecuted) {
    Scenario scenario;
    scenario.faults.responseCopyProbability = 0.8;
    scenario.faults.workerRestartsPerSecond = 0.01;
    scenario.faults.taskErrorProbability = 0.2;
    scenario.prepare = [](SimulatedCluster& cluster) {
        cluster.workers.minRunTime = Seconds(0.1);
        cluster.workers.maxRunTime = Seconds(3);
        cluster.workers.maxFetchTime = Seconds(0.5);
    };
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 5 == 2) cancelRunningJobs(cluster, 2);
        if (second % 20 == 7) cluster.leaders.endLeadership(Seconds(0.2));
    };
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return occurrences.copiesOfStartsOfEndedAttempts;
    };
    checkScenario(scenario);
}
