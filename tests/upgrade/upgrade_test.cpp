// Upgrades from an older version: processes are replaced a few at a time, some die before their turn and come
// back old, and both versions serve side by side on the same data, whichever leads.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "upgrade/cluster.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using protocol::JobSpec;
using protocol::JobState;
using protocol::Kind;
using protocol::TaskState;

namespace {

/// The version that an upgrade starts from.
struct OldVersion {
    std::string label;
    Version version;
    bool knowsPipelines = false;  // and the state service's next limits
};

const Version kNew{"new", BURLPOINT_NEW_BINARY};
const OldVersion kOldVersions[] = {
    {"FromProduction", {"old", BURLPOINT_PRODUCTION_BINARY}, false},
    {"FromPipelines", {"old", BURLPOINT_PIPELINES_BINARY}, true},
};
constexpr auto kAll = protocol::kMostTasks;
constexpr char kService[] = "wk-1";  // runs during the whole test and keeps machines in use

JobSpec job(const std::string& id, Kind kind, std::uint32_t tasks, std::vector<std::string> needs = {}) {
    JobSpec spec;
    spec.id = id;
    spec.jobClass = "class";
    spec.team = "team";
    spec.kind = kind;
    spec.tasks = tasks;
    spec.cpus = 1;
    spec.memoryGb = 1;
    spec.image = "image-" + id;
    spec.imageGb = 1;
    spec.estimate = protocol::Seconds(kind == Kind::service ? 0 : 1);
    spec.dependencies = std::move(needs);
    return spec;
}

class Upgrade : public testing::TestWithParam<OldVersion> {
  protected:
    void begin(ValueLimits limits = {}) {
        cluster = std::make_unique<Cluster>(limits);
        cluster->startAll(old());
        cluster->until("a controller has taken the lead", [&] { return cluster->stored.leaderships() > 0; });
        cluster->users.submit(job(kService, Kind::service, 3), 0);
        untilRunning(kService, 3);
    }

    const Version& old() const { return GetParam().version; }
    std::size_t after(std::size_t controller, std::size_t steps = 1) const {
        return (controller + steps) % Cluster::kControllers;
    }

    /// Submits a job of which so many tasks end and the others go on until they may.
    void submit(const JobSpec& spec, std::size_t controller, std::uint32_t mayComplete = 0) {
        cluster->users.submit(spec, controller);
        cluster->rules.job(spec.id).mayComplete = mayComplete;
        cluster->until(spec.id + " is accepted", [&] { return cluster->rules.job(spec.id).accepted; });
    }
    void untilRunning(const std::string& id, std::uint32_t tasks) {
        cluster->until(std::to_string(tasks) + " tasks of " + id + " run",
                       [&] { return cluster->machines.count(id, TaskState::running) == tasks; });
    }
    /// Lets more tasks of the job end, and waits until users are told of all those.
    void completeUpTo(const std::string& id, std::uint32_t tasks) {
        cluster->rules.job(id).mayComplete = tasks;
        cluster->until(std::to_string(tasks) + " tasks of " + id + " are told to be done",
                       [&] { return cluster->users.toldDone(id) >= tasks; });
    }
    void untilDone(const std::string& id) {
        cluster->until(id + " is told to be done",
                       [&] { return cluster->rules.job(id).final == JobState::done; });
    }
    void untilCancelled(const std::string& id) {
        cluster->until("the cancellation of " + id + " is confirmed",
                       [&] { return cluster->rules.job(id).cancelConfirmed.has_value(); });
    }
    void untilGone(const std::string& id) {
        cluster->until("no task of " + id + " is left", [&] { return cluster->machines.isGone(id); });
    }
    /// A small job through each controller that runs goes from acceptance to its end.
    void submitThroughAll() {
        std::vector<std::string> ids;
        for (std::size_t i = 0; i < Cluster::kControllers; ++i) {
            if (!cluster->runs(i)) continue;
            ids.push_back(freshId());
            submit(job(ids.back(), Kind::array, 2), i, kAll);
        }
        for (const auto& id : ids) untilDone(id);
    }
    std::string freshId() { return "wk-" + std::to_string(++lastId_); }

    void upgradeAll() {
        for (std::size_t i = 0; i < Cluster::kControllers; ++i) {
            if (cluster->version(i) == kNew && cluster->runs(i)) continue;
            cluster->start(i, kNew);
            cluster->awaitLeader();
        }
    }
    /// Lets everything end, cancels the service, and waits until each controller tells the same ends.
    void finish() {
        auto& rules = cluster->rules;
        for (auto& [id, facts] : rules.jobs) facts.mayComplete = kAll;
        cluster->until("every job that nobody cancelled is told to be done", [&] { return allEnded(); });
        untilRunning(kService, 3);
        cluster->users.cancel(kService, *cluster->leader());
        untilCancelled(kService);
        untilGone(kService);
        cluster->users.forgetAnswers();
        cluster->until("all controllers tell the same ends", [&] { return allTellTheEnds(); });
        EXPECT_EQ(rules.broken, std::vector<std::string>());
        for (const auto& [id, facts] : rules.jobs) EXPECT_TRUE(cluster->machines.isGone(id)) << id;
    }

    std::unique_ptr<Cluster> cluster;

  private:
    bool allEnded() const {
        for (const auto& [id, facts] : cluster->rules.jobs) {
            const bool goesOn = facts.spec.kind == Kind::service && !facts.cancelRequested;
            if (!goesOn && !facts.final) return false;
        }
        return true;
    }
    bool allTellTheEnds() const {
        for (const auto& [id, facts] : cluster->rules.jobs)
            for (std::size_t i = 0; i < Cluster::kControllers; ++i)
                if (!facts.final || !cluster->users.toldBy(i, id, *facts.final)) return false;
        return true;
    }

    std::uint64_t lastId_ = 1000;
};

}  // namespace

TEST_P(Upgrade, LeadershipPassesBetweenVersionsWhileWorkRuns) {
    begin();
    const auto first = *cluster->leader();
    const auto newOne = after(first), oldOne = after(first, 2);
    const std::string array = "wk-2", gang = "wk-3";
    submit(job(array, Kind::array, 24), newOne);
    submit(job(gang, Kind::gang, 3), oldOne);
    untilRunning(gang, 3);
    completeUpTo(array, 6);

    cluster->start(newOne, kNew);
    cluster->awaitLeader();
    completeUpTo(array, 9);
    submitThroughAll();

    cluster->makeLeader(newOne);
    cluster->start(first, old());
    cluster->start(oldOne, old());
    completeUpTo(array, 12);
    submitThroughAll();

    cluster->makeLeader(oldOne);
    cluster->start(newOne, kNew);
    cluster->start(first, old());
    completeUpTo(array, 15);
    submitThroughAll();

    // The leader dies, and another process does and is back at once as the election begins. Whoever wins.
    cluster->kill(oldOne);
    cluster->start(first, old());
    cluster->until("the leader's lease has ended", [&] { return !cluster->hasLeaderKey(); });
    cluster->start(first, old());
    cluster->awaitLeader();
    cluster->start(oldOne, old());
    completeUpTo(array, 18);
    submitThroughAll();

    cluster->makeLeader(newOne);
    cluster->start(first, old());
    cluster->start(oldOne, kNew);
    completeUpTo(array, 21);
    cluster->start(first, kNew);
    submitThroughAll();
    finish();
    EXPECT_GE(cluster->stored.leaderships(), 4u);
}

INSTANTIATE_TEST_SUITE_P(, Upgrade, testing::ValuesIn(kOldVersions),
                         [](const auto& test) { return test.param.label; });

int main(int argc, char** argv) {
    spdlog::set_level(spdlog::level::off);
    testing::InitGoogleTest(&argc, argv);
    const int failed = RUN_ALL_TESTS();
    const bool filterMatchesNothing = testing::UnitTest::GetInstance()->test_to_run_count() == 0;
    return filterMatchesNothing ? EXIT_FAILURE : failed;
}
