#include "upgrade/upgrade_fixture.h"

namespace burlpoint::tests {

using protocol::JobKind;
using protocol::JobSpec;
using protocol::JobState;
using protocol::TaskState;

const Version kNewVersion{"new", BURLPOINT_NEW_BINARY};

void PrintTo(const OldVersion& old, std::ostream* out) { *out << old.label; }

JobSpec makeJob(const std::string& id, JobKind kind, std::uint32_t tasks,
                std::vector<std::string> dependencies) {
    JobSpec spec;
    spec.id = id;
    spec.jobClass = "class";
    spec.team = "team";
    spec.kind = kind;
    if (kind == JobKind::service) spec.priority = protocol::Priority::production;
    spec.tasks = tasks;
    spec.cpus = 1;
    spec.memoryGb = 1;
    spec.image = "image-" + id;
    spec.imageGb = 1;
    spec.estimatedRunTime = Seconds(kind == JobKind::service ? 0 : 1);
    spec.dependencies = std::move(dependencies);
    return spec;
}

JobSpec makeArrayOfSmallTasks(const std::string& id, std::uint32_t tasks) {
    auto spec = makeJob(id, JobKind::array, tasks);
    spec.cpus = spec.memoryGb = 0.05;
    return spec;
}

JobSpec withHighPriority(JobSpec spec) {
    spec.priority = protocol::Priority::high;
    return spec;
}

void Upgrade::startOldCluster(StoreLimits limits) {
    cluster = std::make_unique<Cluster>(limits);
    cluster->startAll(oldVersion());
    cluster->waitUntil("a controller leads", [&] { return cluster->storeCheck.leaderTerms() > 0; });
    cluster->users.submit(makeJob(kServiceJob, JobKind::service, 3), 0);
    waitUntilRunning(kServiceJob, 3);
}

void Upgrade::upgradeAll() {
    for (std::size_t i = 0; i < Cluster::kControllers; ++i) {
        if (cluster->version(i) == kNewVersion && cluster->isRunning(i)) continue;
        cluster->start(i, kNewVersion);
        cluster->waitForLeader();
    }
}

void Upgrade::finishAndCheck() {
    auto& oracle = cluster->oracle;
    for (auto& [id, facts] : oracle.jobs) facts.completionLimit = kAllTasks;
    cluster->waitUntil("every job that was not cancelled is reported as done",
                       [&] { return allJobsEnded(); });
    waitUntilRunning(kServiceJob, 3);
    cluster->users.cancel(kServiceJob, *cluster->leader());
    waitUntilCancelled(kServiceJob);
    waitUntilNoActiveTasks(kServiceJob);
    cluster->users.forgetAnswers();
    cluster->waitUntil("all controllers report the same terminal states",
                       [&] { return allControllersAgreeOnTerminalStates(); });
    EXPECT_EQ(oracle.violations, std::vector<std::string>());
    for (const auto& [id, facts] : oracle.jobs) EXPECT_TRUE(cluster->machines.hasNoActiveTasks(id)) << id;
}

bool Upgrade::allJobsEnded() const {
    for (const auto& [id, facts] : cluster->oracle.jobs) {
        const bool keepsRunning = facts.spec.kind == JobKind::service && !facts.cancelRequested;
        if (!keepsRunning && !facts.terminalState) return false;
    }
    return true;
}

bool Upgrade::allControllersAgreeOnTerminalStates() const {
    for (const auto& [id, facts] : cluster->oracle.jobs)
        for (std::size_t i = 0; i < Cluster::kControllers; ++i)
            if (!facts.terminalState || !cluster->users.hasAnswered(i, id, *facts.terminalState))
                return false;
    return true;
}

void Upgrade::submit(const JobSpec& spec, std::size_t controller, std::uint32_t completionLimit) {
    cluster->users.submit(spec, controller);
    cluster->oracle.job(spec.id).completionLimit = completionLimit;
    cluster->waitUntil(spec.id + " is accepted", [&] { return cluster->oracle.job(spec.id).accepted; });
}

std::string Upgrade::submitRunningJob(std::size_t controller) {
    constexpr std::uint32_t kTasks = 4;
    auto id = newJobId();
    submit(makeJob(id, JobKind::array, kTasks), controller);
    waitUntilRunning(id, kTasks);
    return id;
}

void Upgrade::completeAJobThroughEachController() {
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < Cluster::kControllers; ++i) {
        if (!cluster->isRunning(i)) continue;
        ids.push_back(newJobId());
        submit(makeJob(ids.back(), JobKind::array, 2), i, kAllTasks);
    }
    for (const auto& id : ids) waitUntilDone(id);
}

void Upgrade::completeUpTo(const std::string& id, std::uint32_t tasks) {
    cluster->oracle.job(id).completionLimit = tasks;
    cluster->waitUntil(std::to_string(tasks) + " tasks of " + id + " are reported as done",
                       [&] { return cluster->users.highestDoneCount(id) >= tasks; });
}

void Upgrade::completeOnMachines(const std::string& id, std::uint32_t tasks) {
    cluster->oracle.job(id).completionLimit = tasks;
    cluster->waitUntil(std::to_string(tasks) + " tasks of " + id + " have completed",
                       [&] { return cluster->oracle.job(id).completed.size() >= tasks; });
}

void Upgrade::complete(const std::string& id) {
    cluster->oracle.job(id).completionLimit = kAllTasks;
    waitUntilDone(id);
}

void Upgrade::waitUntilRunning(const std::string& id, std::uint32_t tasks) {
    cluster->waitUntil(std::to_string(tasks) + " tasks of " + id + " run",
                       [&] { return cluster->machines.countTasks(id, TaskState::running) == tasks; });
}

void Upgrade::waitUntilDone(const std::string& id) {
    cluster->waitUntil(id + " is reported as done",
                       [&] { return cluster->oracle.job(id).terminalState == JobState::done; });
}

void Upgrade::waitUntilCancelled(const std::string& id) {
    cluster->waitUntil("the cancellation of " + id + " is confirmed",
                       [&] { return cluster->oracle.job(id).cancelConfirmed.has_value(); });
}

void Upgrade::waitUntilNoActiveTasks(const std::string& id) {
    cluster->waitUntil("no task of " + id + " is active",
                       [&] { return cluster->machines.hasNoActiveTasks(id); });
}

void Upgrade::waitUntilAllControllersAnswer(const std::string& id, JobState state) {
    cluster->waitUntil("all controllers report the expected state of " + id, [&] {
        for (std::size_t i = 0; i < Cluster::kControllers; ++i)
            if (!cluster->users.hasAnswered(i, id, state)) return false;
        return true;
    });
}

void Upgrade::expectNeverStarted(const std::vector<std::string>& ids) {
    for (const auto& id : ids) EXPECT_EQ(cluster->machines.startCount(id), 0u) << id;
}

}  // namespace burlpoint::tests
