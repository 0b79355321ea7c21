#include "simulation/histories.h"

#include <algorithm>
#include <cmath>

namespace burlpoint::tests {

using protocol::JobKind;
using protocol::JobSpec;
using simulation::SimulatedCluster;
using storage::TerminalState;

namespace {

std::uint32_t randomCount(SimulatedCluster& cluster, int maxCount) {
    return 1 + static_cast<std::uint32_t>(cluster.random.below(maxCount));
}

void makeService(SimulatedCluster& cluster, JobSpec& spec) {
    spec.kind = JobKind::service;
    spec.tasks = randomCount(cluster, 3);
    spec.spreadZones = cluster.random.below(2) == 0;
    spec.spot = false;
}

void makeGang(SimulatedCluster& cluster, JobSpec& spec) {
    spec.kind = JobKind::gang;
    spec.tasks = randomCount(cluster, 3);
    spec.singleZone = cluster.random.below(2) == 0;
    spec.cpus = 2;
    spec.gpus = spec.team == "third" ? 0 : cluster.random.below(2);
    spec.checkpointInterval = Seconds(cluster.random.below(2) * 2);
    spec.saveTime = Seconds(1);
}

void makeArray(SimulatedCluster& cluster, JobSpec& spec) {
    auto& random = cluster.random;
    spec.tasks = randomCount(cluster, 12);
    spec.singleZone = random.below(4) == 0;
    spec.spreadZones = !spec.singleZone && random.below(4) == 0;
    if (random.below(4) == 0) spec.zone = cluster.settings.zones[static_cast<std::size_t>(random.below(2))];
    if (random.below(4) == 0) spec.types = std::vector<std::string>{"cpu"};
}

std::string joinLines(const std::vector<std::string>& lines) {
    std::string text;
    for (const auto& line : lines) text += line + "\n";
    return text;
}

bool allJobsEnded(const SimulatedCluster& cluster) {
    return std::all_of(cluster.jobs.begin(), cluster.jobs.end(), [&](const auto& job) {
        return cluster.store.terminalStateOf(job.first) != TerminalState::none;
    });
}

/// Describes a job that has not ended, or that is stored as done although a task has not completed; empty if
/// there is none.
std::string findUnfinishedJob(const SimulatedCluster& cluster) {
    for (const auto& [id, spec] : cluster.jobs) {
        const auto state = cluster.store.terminalStateOf(id);
        if (state == TerminalState::none) return "not ended: " + cluster.explain(id);
        if (state == TerminalState::done && !cluster.environment.jobs.allTasksCompleted(id))
            return "not_done: " + id;
    }
    return "";
}

/// Ends the faults, cancels the services and waits until all jobs have ended. Returns a description of the
/// failure; empty on success.
std::string endFaultsAndFinish(SimulatedCluster& cluster) {
    if (!cluster.violations.empty()) return joinLines(cluster.violations);
    if (cluster.occurrences.startedTasks == 0) return "nothing_ran";
    cluster.endFaults();
    for (const auto& [id, spec] : cluster.jobs)
        if (spec.kind == JobKind::service) cluster.users.cancel(id);
    // A team's quota may force tasks to run one after the other, so the limit grows with their run time.
    const int rounds = static_cast<int>(30 * std::max(1.0, cluster.workers.maxRunTime / Seconds(12)));
    for (int round = 0; round < rounds; ++round) {
        cluster.run(Seconds(10));
        if (allJobsEnded(cluster)) break;
    }
    cluster.run(cluster.settings.cancelTimeout);
    if (!cluster.violations.empty()) return joinLines(cluster.violations);
    if (auto unfinished = findUnfinishedJob(cluster); !unfinished.empty()) return unfinished;
    if (const auto remainingTasks = cluster.workers.describeRunningTasks(); !remainingTasks.empty())
        return "still running: " + remainingTasks;
    return "";
}

}  // namespace

std::string jobId(int number) { return "wk-" + std::to_string(number); }

std::uint64_t seedOf(std::uint64_t number) { return number * 0x9e3779b97f4a7c15u; }

JobSpec randomJob(SimulatedCluster& cluster, int number) {
    auto& random = cluster.random;
    JobSpec spec;
    spec.id = jobId(number);
    spec.jobClass = std::string("c");  // GCC 12 gives a false warning for an assigned literal
    spec.team = cluster.settings.teams[static_cast<std::size_t>(random.below(3))].name;
    spec.image = "image-" + std::to_string(random.below(3));
    spec.imageGb = 1 + random.below(4);
    spec.priority = static_cast<protocol::Priority>(random.below(4));
    spec.memoryGb = 1;
    spec.cpus = 1 + random.below(3);
    spec.estimatedRunTime = Seconds(5);
    spec.spot = random.below(2) == 0;
    switch (random.below(4)) {
        case 0:
            makeService(cluster, spec);
            break;
        case 1:
            makeGang(cluster, spec);
            break;
        default:  // arrays are twice as frequent as each of the others
            makeArray(cluster, spec);
    }
    return spec;
}

JobSpec randomJobWithDependencies(SimulatedCluster& cluster, int number) {
    auto& random = cluster.random;
    auto spec = randomJob(cluster, number);
    if (spec.kind == JobKind::service || random.below(3) == 0) return spec;
    auto& dependencies = spec.dependencies;
    for (int i = 0; i < 3 && number > 1; ++i) {
        const auto id = jobId(std::max(1, number - 1 - random.below(8)));
        const auto known = cluster.jobs.find(id);
        if (id == spec.id || random.below(2) == 0 || known == cluster.jobs.end()) continue;
        if (known->second.kind == JobKind::service) continue;
        if (std::count(dependencies.begin(), dependencies.end(), id) == 0) dependencies.push_back(id);
    }
    return spec;
}

std::string runHistory(SimulatedCluster& cluster, Seconds time, const FaultScript& script,
                       const JobGenerator& generateJob, int maxJobs) {
    auto& random = cluster.random;
    auto& users = cluster.users;
    int submitted = 0;
    const int seconds = static_cast<int>(time.count());
    for (int second = 0; second < seconds && cluster.violations.empty(); ++second) {
        if (submitted < maxJobs && random.below(4) == 0) users.submit(generateJob(cluster, ++submitted));
        if (submitted > 0 && random.below(25) == 0) users.cancel(jobId(1 + random.below(submitted)));
        if (submitted > 0) {
            const auto id = jobId(1 + second % submitted);
            users.queryStatus(id);
            const auto known = cluster.jobs.find(id);
            if (known != cluster.jobs.end() && second % 3 == 0) users.submit(JobSpec(known->second));
        }
        if (script) script(cluster, second);
        cluster.run(Seconds(1));
    }
    return endFaultsAndFinish(cluster);
}

}  // namespace burlpoint::tests
