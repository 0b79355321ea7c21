// Cancellations that race with the end of jobs, and jobs with dependencies, under combined failures.
#include <gtest/gtest.h>

#include "base/clock.h"
#include "simulation/combined_failures/scenario.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using simulation::Faults;
using simulation::Occurrences;
using simulation::SimulatedCluster;

namespace {

Scenario pipelineScenario() {
    Scenario scenario;
    scenario.generateJob = randomJobWithDependencies;
    scenario.prepare = [](SimulatedCluster& cluster) { cluster.workers.maxRunTime = Seconds(6); };
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return occurrences.startsAfterDependencies;
    };
    return scenario;
}

void queryAllJobs(SimulatedCluster& cluster) {
    for (const auto& [id, spec] : cluster.jobs) cluster.users.queryStatus(id);
}

/// Cancels at most one job whose tasks have all completed and whose end is not stored yet. Each such job is
/// passed over with a probability of one half.
void cancelCompletedUnstoredJob(SimulatedCluster& cluster) {
    for (const auto& [id, spec] : cluster.jobs) {
        const bool completedButNotStored = spec.kind != protocol::JobKind::service &&
                                           cluster.environment.jobs.allTasksCompleted(id) &&
                                           cluster.store.terminalStateOf(id) == storage::TerminalState::none;
        if (completedButNotStored && cluster.random.below(2) == 0) return cluster.users.cancel(id);
    }
}

}  // namespace

TEST(History, InvariantsHoldWhenUsersCancelQueryAndResubmitAsTheLastTaskEnds) {
    Scenario scenario;
    scenario.faults = Faults::none();
    scenario.faults.userActionsAtJobEndProbability = 0.8;
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return occurrences.cancellationsAtJobEnd;
    };
    checkScenario(scenario);
}

// Dependencies finish while leaders change every 9 s and transactions are applied late.
TEST(History, DependentJobsStartOnlyAfterTheirDependenciesAreStored) {
    auto scenario = pipelineScenario();
    scenario.faults.unansweredWriteProbability = 0.1;
    scenario.faults.taskErrorProbability = 0.02;
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 9 == 4) cluster.leaders.endLeadership(cluster.random.seconds(0.1, 4));
        if (second % 5 == 0) queryAllJobs(cluster);
    };
    checkScenario(scenario);
}

// Jobs are cancelled when their last task has just completed, also while the leader has lost the store or
// there is none.
TEST(History, DependentsOfACancelledJobNeverStartAndAreCancelledOnEveryController) {
    auto scenario = pipelineScenario();
    scenario.faults.unansweredWriteProbability = 0.05;
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return occurrences.cancellationsByDependency;
    };
    scenario.script = [](SimulatedCluster& cluster, int second) {
        cancelCompletedUnstoredJob(cluster);
        if (second % 17 == 8) cluster.leaders.loseStore(Seconds(6));
        if (second % 23 == 11) cluster.leaders.endLeadership(cluster.random.seconds(0.1, 6));
        if (second % 31 == 20) cluster.beginStoreOutage(cluster.random.seconds(2, 15));
        queryAllJobs(cluster);
    };
    checkScenario(scenario);
}

TEST(History, PipelinesFinishAcrossStoreOutagesAndLoweredLimits) {
    auto scenario = pipelineScenario();
    scenario.prepare = [](SimulatedCluster& cluster) {
        cluster.workers.maxRunTime = Seconds(6);
        cluster.store.lowerLimits(Seconds(20 + cluster.random.below(50)), {3, 1024, 4});
        if (cluster.random.below(2) == 0) cluster.settings.nextStoreLimits = protocol::StoreLimits{4, 1, 3};
    };
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 30 == 12) cluster.beginStoreOutage(cluster.random.seconds(2, 20));
        if (second % 19 == 6) cluster.leaders.endLeadership(cluster.random.seconds(0.1, 6));
        if (second % 5 == 0) queryAllJobs(cluster);
    };
    checkScenario(scenario);
}
