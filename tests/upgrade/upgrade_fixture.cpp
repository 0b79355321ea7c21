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

// --- the cluster ------------------------------------------------------------------------------------------

void Upgrade::startOldCluster(ValueLimits limits) {
    cluster = std::make_unique<Cluster>(limits);
    cluster->startAll(oldVersion());
    cluster->until("a controller leads", [&] { return cluster->stored.leaderships() > 0; });
    cluster->users.submit(makeJob(kService, JobKind::service, 3), 0);
    waitUntilRunning(kService, 3);
}

void Upgrade::upgradeAll() {
    for (std::size_t i = 0; i < Cluster::kControllers; ++i) {
        if (cluster->version(i) == kNewVersion && cluster->runs(i)) continue;
        cluster->start(i, kNewVersion);
        cluster->awaitLeader();
    }
}

void Upgrade::finishAndCheck() {
    auto& rules = cluster->rules;
    for (auto& [id, facts] : rules.jobs) facts.completionLimit = kAllTasks;
    cluster->until("every job that nobody cancelled is answered to be done", [&] { return allJobsEnded(); });
    waitUntilRunning(kService, 3);
    cluster->users.cancel(kService, *cluster->leader());
    waitUntilCancelled(kService);
    waitUntilGone(kService);
    cluster->users.forgetAnswers();
    cluster->until("all controllers answer with the same terminal states",
                   [&] { return allControllersAgreeOnEnds(); });
    EXPECT_EQ(rules.broken, std::vector<std::string>());
    for (const auto& [id, facts] : rules.jobs) EXPECT_TRUE(cluster->machines.isGone(id)) << id;
}

bool Upgrade::allJobsEnded() const {
    for (const auto& [id, facts] : cluster->rules.jobs) {
        const bool goesOn = facts.spec.kind == JobKind::service && !facts.cancelRequested;
        if (!goesOn && !facts.terminalState) return false;
    }
    return true;
}

bool Upgrade::allControllersAgreeOnEnds() const {
    for (const auto& [id, facts] : cluster->rules.jobs)
        for (std::size_t i = 0; i < Cluster::kControllers; ++i)
            if (!facts.terminalState || !cluster->users.wasAnswered(i, id, *facts.terminalState))
                return false;
    return true;
}

// --- jobs -------------------------------------------------------------------------------------------------

void Upgrade::submit(const JobSpec& spec, std::size_t controller, std::uint32_t completionLimit) {
    cluster->users.submit(spec, controller);
    cluster->rules.job(spec.id).completionLimit = completionLimit;
    cluster->until(spec.id + " is accepted", [&] { return cluster->rules.job(spec.id).accepted; });
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
        if (!cluster->runs(i)) continue;
        ids.push_back(newJobId());
        submit(makeJob(ids.back(), JobKind::array, 2), i, kAllTasks);
    }
    for (const auto& id : ids) waitUntilDone(id);
}

void Upgrade::completeUpTo(const std::string& id, std::uint32_t tasks) {
    cluster->rules.job(id).completionLimit = tasks;
    cluster->until(std::to_string(tasks) + " tasks of " + id + " are answered to be done",
                   [&] { return cluster->users.highestDoneCount(id) >= tasks; });
}

void Upgrade::completeOnMachines(const std::string& id, std::uint32_t tasks) {
    cluster->rules.job(id).completionLimit = tasks;
    cluster->until(std::to_string(tasks) + " tasks of " + id + " have completed",
                   [&] { return cluster->rules.job(id).completed.size() >= tasks; });
}

void Upgrade::complete(const std::string& id) {
    cluster->rules.job(id).completionLimit = kAllTasks;
    waitUntilDone(id);
}

void Upgrade::waitUntilRunning(const std::string& id, std::uint32_t tasks) {
    cluster->until(std::to_string(tasks) + " tasks of " + id + " run",
                   [&] { return cluster->machines.count(id, TaskState::running) == tasks; });
}

void Upgrade::waitUntilDone(const std::string& id) {
    cluster->until(id + " is answered to be done",
                   [&] { return cluster->rules.job(id).terminalState == JobState::done; });
}

void Upgrade::waitUntilCancelled(const std::string& id) {
    cluster->until("the cancellation of " + id + " is confirmed",
                   [&] { return cluster->rules.job(id).cancelConfirmed.has_value(); });
}

void Upgrade::waitUntilGone(const std::string& id) {
    cluster->until("no task of " + id + " is left", [&] { return cluster->machines.isGone(id); });
}

void Upgrade::waitUntilAllControllersAnswer(const std::string& id, JobState state) {
    cluster->until("all controllers answer with the state of " + id, [&] {
        for (std::size_t i = 0; i < Cluster::kControllers; ++i)
            if (!cluster->users.wasAnswered(i, id, state)) return false;
        return true;
    });
}

void Upgrade::expectNeverStarted(const std::vector<std::string>& ids) {
    for (const auto& id : ids) EXPECT_EQ(cluster->machines.starts(id), 0u) << id;
}

}  // namespace burlpoint::tests
