// Machines that fail every task that they start, for a limited time.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "base/clock.h"
#include "simulation/combined_failures/scenario.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using namespace std::chrono_literals;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::TaskState;
using simulation::Faults;
using simulation::Occurrences;
using simulation::SimulatedCluster;

namespace {

// Users count a job as starved that waits for this long although a machine fits it.
constexpr auto kMaxWait = 90s;
constexpr auto kFaultyTime = 15s;  // from when the first machine is up
constexpr Seconds kStep{0.1};
constexpr int kMaxStepsToBoot = 200;

/// A job of `tasks` tasks, each of which takes a whole machine.
JobSpec wholeMachineJob(JobKind kind, std::uint32_t tasks) {
    JobSpec spec;
    spec.id = jobId(1);
    spec.jobClass = spec.image = std::string("c");  // GCC 12 gives a false warning for an assigned literal
    spec.team = "large";
    spec.kind = kind;
    spec.tasks = tasks;
    spec.cpus = 8;
    spec.memoryGb = 1;
    spec.imageGb = 1;
    spec.estimatedRunTime = kind == JobKind::service ? Seconds(0) : Seconds(10);
    if (kind == JobKind::service) spec.priority = protocol::Priority::production;
    return spec;
}

JobSpec inOneZone(JobSpec spec) {
    spec.singleZone = true;
    return spec;
}

JobSpec overZones(JobSpec spec) {
    spec.spreadZones = true;
    return spec;
}

JobSpec boundToZone(JobSpec spec, const std::string& zone) {
    spec.zone = zone;
    return spec;
}

std::vector<std::string> machinesUp(const SimulatedCluster& cluster) {
    std::vector<std::string> ids;
    for (const auto& [id, worker] : cluster.workers.all())
        if (worker.booted && !worker.dead) ids.push_back(id);
    return ids;
}

/// True if a task of the job is running, or the job is done. A gang's tasks begin to run together.
bool runsOrIsDone(const SimulatedCluster& cluster, const std::string& job) {
    if (cluster.environment.jobs.allTasksCompleted(job)) return true;
    const auto ids = cluster.workers.workersWithTasks(job);
    return std::any_of(ids.begin(), ids.end(), [&](const std::string& id) {
        const auto& tasks = cluster.workers.at(id).tasks;
        return std::any_of(tasks.begin(), tasks.end(), [&](const auto& entry) {
            return entry.first.job == job && entry.second.state == TaskState::running;
        });
    });
}

/// Submits the job and lets all machines be faulty from when they are up. Returns the time from when they are
/// repaired until a task of the job runs, or `limit` if that takes longer.
Clock::duration waitAfterRepair(SimulatedCluster& cluster, const JobSpec& spec, Clock::duration limit) {
    cluster.run(Seconds(1));
    cluster.users.submit(spec);
    const auto& environment = cluster.environment;
    for (int step = 0; step < kMaxStepsToBoot && machinesUp(cluster).empty(); ++step) cluster.run(kStep);
    const auto repairAt = environment.now() + kFaultyTime;
    while (environment.now() < repairAt) {
        for (const auto& id : machinesUp(cluster)) cluster.workers.makeFaulty(id, kStep * 2);
        cluster.run(kStep);
    }
    while (environment.now() - repairAt < limit && !runsOrIsDone(cluster, spec.id)) cluster.run(kStep);
    return environment.now() - repairAt;
}

}  // namespace

// Guards against an accepted job that waits without end: its tasks had failed on three machines or more, no
// capacity was planned for it from then on, and its idle machines were deleted.
TEST(History, JobFailsOnManyFaultyMachinesThenRunsAfterTheirRepair) {
    const std::vector<std::pair<std::string, JobSpec>> jobs{
        {"array", wholeMachineJob(JobKind::array, 8)},
        {"array bound to a zone", boundToZone(wholeMachineJob(JobKind::array, 8), "b")},
        {"array in one zone", inOneZone(wholeMachineJob(JobKind::array, 8))},
        {"array over zones", overZones(wholeMachineJob(JobKind::array, 8))},
        {"gang", wholeMachineJob(JobKind::gang, 4)},
        {"gang in one zone", inOneZone(wholeMachineJob(JobKind::gang, 4))},
        {"gang over zones", overZones(wholeMachineJob(JobKind::gang, 4))},
        {"service", wholeMachineJob(JobKind::service, 8)},
        {"service over zones", overZones(wholeMachineJob(JobKind::service, 8))},
    };
    for (const auto& [name, spec] : jobs) {
        SCOPED_TRACE(name);
        for (std::uint64_t number = 1; number <= 10; ++number) {
            SimulatedCluster cluster(seedOf(number), Faults::none());
            cluster.environment.policy.idleRetention = cluster.environment.policy.minRetention = Seconds(5);
            EXPECT_LT(waitAfterRepair(cluster, spec, kMaxWait), kMaxWait) << "seed " << number;
            EXPECT_GE(cluster.occurrences.failuresOnFaultyMachines, 3u) << "seed " << number;
        }
    }
}

// In about half of the histories the cloud has only four machines, so that jobs have to use those that were
// faulty, beside the services that run there.
TEST(History, InvariantsHoldWhenMachinesFailEveryTaskForAWhile) {
    Scenario scenario;
    scenario.faults.leaderCrashesPerSecond = 0.005;
    scenario.prepare = [](SimulatedCluster& cluster) {
        if (cluster.random.below(2) == 0) cluster.workers.maxMachines = 4;
    };
    scenario.script = [](SimulatedCluster& cluster, int second) {
        if (second % 10 != 5) return;
        for (const auto& id : machinesUp(cluster))
            if (cluster.random.below(2) == 0) cluster.workers.makeFaulty(id, cluster.random.seconds(2, 40));
    };
    scenario.countOccurrences = [](const Occurrences& occurrences) {
        return occurrences.failuresOnFaultyMachines;
    };
    checkScenario(scenario);
}
