// Upgrades from an older version: processes are replaced a few at a time, some die before their turn and come
// back old, and both versions serve side by side on the same data, whichever leads.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "base/clock.h"
#include "upgrade/cluster.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::JobState;
using protocol::TaskState;

namespace {

/// The version that an upgrade starts from.
struct OldVersion {
    std::string label;
    Version version;
    bool knowsPipelines = false;  // and the key-value store's next limits
};

// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest calls
void PrintTo(const OldVersion& old, std::ostream* out) { *out << old.label; }

const Version kNew{"new", BURLPOINT_NEW_BINARY};
const OldVersion kOldVersions[] = {
    {"FromProduction", {"old", BURLPOINT_PRODUCTION_BINARY}, false},
    {"FromPipelines", {"old", BURLPOINT_PIPELINES_BINARY}, true},
};
constexpr auto kAll = protocol::kMaxTasks;
constexpr char kService[] = "wk-1";  // runs during the whole test and keeps machines in use

JobSpec job(const std::string& id, JobKind kind, std::uint32_t tasks, std::vector<std::string> needs = {}) {
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
    spec.dependencies = std::move(needs);
    return spec;
}

class Upgrade : public testing::TestWithParam<OldVersion> {
  protected:
    void begin(ValueLimits limits = {}) {
        cluster = std::make_unique<Cluster>(limits);
        cluster->startAll(old());
        cluster->until("a controller has taken the lead", [&] { return cluster->stored.leaderships() > 0; });
        cluster->users.submit(job(kService, JobKind::service, 3), 0);
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
                       [&] { return cluster->rules.job(id).terminalState == JobState::done; });
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
            submit(job(ids.back(), JobKind::array, 2), i, kAll);
        }
        for (const auto& id : ids) untilDone(id);
    }
    std::string freshId() { return "wk-" + std::to_string(++lastId_); }

    /// An array, a gang that needs it, and an array that needs both. Their tasks go on until they may end.
    struct Pipeline {
        static constexpr std::uint32_t kTasks = 3;
        std::string array, gang, last;
    };
    Pipeline submitPipeline(std::size_t controller) {
        Pipeline pipeline{freshId(), freshId(), freshId()};
        submit(job(pipeline.array, JobKind::array, Pipeline::kTasks), controller);
        submit(job(pipeline.gang, JobKind::gang, Pipeline::kTasks, {pipeline.array}), controller);
        submit(job(pipeline.last, JobKind::array, Pipeline::kTasks, {pipeline.gang, pipeline.array}),
               controller);
        return pipeline;
    }
    void complete(const std::string& id) {
        cluster->rules.job(id).mayComplete = kAll;
        untilDone(id);
    }
    void untilToldByAll(const std::string& id, JobState state) {
        cluster->until("all controllers have told the state of " + id, [&] {
            for (std::size_t i = 0; i < Cluster::kControllers; ++i)
                if (!cluster->users.toldBy(i, id, state)) return false;
            return true;
        });
    }
    /// Cancels the first stage through this controller.
    void cancelPipeline(const Pipeline& pipeline, std::size_t controller) {
        cluster->users.cancel(pipeline.array, controller);
        untilCancelled(pipeline.array);
        for (const auto& id : {pipeline.array, pipeline.gang, pipeline.last}) {
            untilToldByAll(id, JobState::cancelled);
            untilGone(id);
        }
    }
    void expectNeverStarted(const std::vector<std::string>& ids) {
        for (const auto& id : ids) EXPECT_EQ(cluster->machines.starts(id), 0u) << id;
    }
    /// The version in production has no pipelines: they are submitted only once all processes are new.
    void pipelinesAfterTheUpgrade() {
        begin();
        upgradeAll();
        const auto first = cluster->awaitLeader();
        const auto finished = submitPipeline(first), cancelled = submitPipeline(after(first));
        untilRunning(finished.array, Pipeline::kTasks);
        complete(finished.array);
        untilRunning(finished.gang, Pipeline::kTasks);
        cluster->makeLeader(after(first));
        upgradeAll();
        complete(finished.gang);
        cancelPipeline(cancelled, after(first, 2));
        complete(finished.last);
        finish();
        expectNeverStarted({cancelled.gang, cancelled.last});
    }

    /// One controller leads, another one of the other version confirms the cancellations.
    void obeyCancellations(std::size_t leading, std::size_t confirming) {
        const auto id = submitHeld(confirming);
        cluster->users.cancel(id, confirming);
        untilCancelled(id);
        untilGone(id);

        while (!obeyedInAnOutage(leading, confirming)) cluster->makeLeaderAgain(leading);

        // Refused alone, the leader ends its term, and the next one obeys.
        const auto other = submitHeld(confirming);
        cluster->refuse(leading, true);
        cluster->users.cancel(other, confirming);
        untilCancelled(other);
        untilGone(other);
        cluster->until("another controller leads",
                       [&] { return cluster->leader() && cluster->leader() != leading; });
        cluster->refuse(leading, false);
        untilRunning(kService, 3);
    }
    std::string submitHeld(std::size_t controller) {
        constexpr std::uint32_t kTasks = 4;
        auto id = freshId();
        submit(job(id, JobKind::array, kTasks), controller);
        untilRunning(id, kTasks);
        return id;
    }
    /// The key-value store refuses the leader, another node confirms a cancellation, and then nobody is
    /// served. The leader goes on by the votes of the others, which tell it the cancellation. False if its
    /// term had ended before: then nobody can lead until the outage is over.
    bool obeyedInAnOutage(std::size_t leading, std::size_t confirming) {
        untilRunning(kService, 3);
        const auto id = submitHeld(confirming);
        cluster->refuse(leading, true);
        cluster->users.cancel(id, confirming);
        untilCancelled(id);
        cluster->setOutage(true);
        const auto atFirst = cluster->machines.renewals(kService);
        // Heartbeats are half a second apart at least, so this takes longer than the leader's own lease.
        constexpr std::uint64_t kRenewals = 16;
        bool carried = true;
        cluster->until("the leader has gone on for long in an outage, or its term has ended", [&] {
            const auto now = cluster->machines.renewals(kService);
            carried = now.size() == atFirst.size();
            bool enough = true;
            for (const auto& [incarnation, renewals] : atFirst) {
                const auto found = now.find(incarnation);
                carried &= found != now.end();
                enough &= found != now.end() && found->second >= renewals + kRenewals;
            }
            return !carried || (enough && cluster->machines.isGone(id));
        });
        cluster->setOutage(false);
        return carried;
    }

    /// Tasks that take so little that a machine runs some hundreds of them.
    JobSpec tiny(const std::string& id, std::uint32_t tasks) {
        auto spec = job(id, JobKind::array, tasks);
        spec.cpus = spec.memoryGb = 0.05;
        return spec;
    }
    JobSpec urgent(JobSpec spec) {
        spec.priority = protocol::Priority::high;
        return spec;
    }
    /// Two jobs whose records are larger than the next limit, accepted by a version that does not know it.
    std::vector<std::string> submitJobsWithLongTexts(std::size_t controller) {
        std::vector<std::string> ids{freshId(), freshId()};
        for (const auto& id : ids) {
            auto spec = urgent(job(id, JobKind::array, 2));
            spec.types = std::vector<std::string>{"plain"};
            for (int i = 0; i < 15; ++i) spec.types->push_back(std::string(90, 'a') + std::to_string(i));
            submit(spec, controller);
        }
        return ids;
    }
    void completeSomehow(const std::string& id, std::uint32_t tasks) {
        cluster->rules.job(id).mayComplete = tasks;
        cluster->until(std::to_string(tasks) + " tasks of " + id + " have completed",
                       [&] { return cluster->rules.job(id).completed.size() >= tasks; });
    }

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
            const bool goesOn = facts.spec.kind == JobKind::service && !facts.cancelRequested;
            if (!goesOn && !facts.terminalState) return false;
        }
        return true;
    }
    bool allTellTheEnds() const {
        for (const auto& [id, facts] : cluster->rules.jobs)
            for (std::size_t i = 0; i < Cluster::kControllers; ++i)
                if (!facts.terminalState || !cluster->users.toldBy(i, id, *facts.terminalState)) return false;
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
    submit(job(array, JobKind::array, 24), newOne);
    submit(job(gang, JobKind::gang, 3), oldOne);
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

// From a version that knows pipelines: submitted before and during the upgrade, they go on under either
// version.
TEST_P(Upgrade, PipelinesKeepTheirOrderWhicheverVersionLeads) {
    if (!GetParam().knowsPipelines) return pipelinesAfterTheUpgrade();
    begin();
    const auto first = *cluster->leader();
    const auto newOne = after(first), oldOne = after(first, 2);
    const auto before = submitPipeline(first), cancelled = submitPipeline(oldOne);
    cluster->start(newOne, kNew);
    cluster->awaitLeader();
    const auto during = submitPipeline(newOne), cancelledByNew = submitPipeline(newOne);
    untilRunning(before.array, Pipeline::kTasks);
    untilRunning(cancelled.array, Pipeline::kTasks);

    // The old version starts the second stage, the new one the third.
    complete(before.array);
    untilRunning(before.gang, Pipeline::kTasks);
    cluster->makeLeader(newOne);
    cluster->start(first, old());
    cluster->start(oldOne, old());
    complete(before.gang);
    untilRunning(before.last, Pipeline::kTasks);
    cancelPipeline(cancelled, oldOne);

    // The other way around.
    complete(during.array);
    untilRunning(during.gang, Pipeline::kTasks);
    cluster->makeLeader(oldOne);
    cluster->start(newOne, kNew);
    cluster->start(first, old());
    complete(during.gang);
    untilRunning(during.last, Pipeline::kTasks);
    cancelPipeline(cancelledByNew, newOne);

    // Whoever leads next knows what is free and what is cancelled.
    cluster->start(oldOne, kNew);
    cluster->awaitLeader();
    complete(before.last);
    const auto late = freshId();
    submit(job(late, JobKind::array, 1, {before.last, cancelled.array}), first);
    untilToldByAll(late, JobState::cancelled);
    cluster->start(first, kNew);
    cluster->awaitLeader();
    finish();
    expectNeverStarted({cancelled.gang, cancelled.last, cancelledByNew.gang, cancelledByNew.last, late});
}

// Cancellations that a node of one version confirms are obeyed by a leader of the other: when all is well,
// when the key-value store refuses the leader alone, and when an outage follows at once.
TEST_P(Upgrade, CancellationsOfOneVersionAreObeyedByTheOther) {
    begin();
    const auto first = *cluster->leader();
    const auto newOne = after(first);
    cluster->start(newOne, kNew);
    obeyCancellations(first, newOne);

    cluster->makeLeader(newOne);
    cluster->start(first, old());
    cluster->start(after(first, 2), old());
    obeyCancellations(newOne, first);
    upgradeAll();
    finish();
}

// Records and bitmaps that one version writes are read by the other, and nothing is lost when the state
// service takes less than before. The bitmap of the large job takes more than the next limit.
TEST_P(Upgrade, RecordsAndBitmapsAreReadByBothVersions) {
    ValueLimits limits;
    limits.nowKb = 4;
    limits.nextKb = 1;
    limits.nextOperations = 16;
    begin(limits);
    const auto first = *cluster->leader();
    const auto newOne = after(first), oldOne = after(first, 2);
    const std::string large = "wk-2", small = "wk-3";
    std::vector<std::string> longTexts;
    if (!GetParam().knowsPipelines) longTexts = submitJobsWithLongTexts(oldOne);
    // The large job takes all room that there is, and its tasks hold it until they may end.
    submit(urgent(tiny(small, 40)), newOne);
    submit(tiny(large, 4400), first);
    completeUpTo(large, 1500);
    completeUpTo(small, 10);

    cluster->start(newOne, kNew);
    cluster->makeLeader(newOne);
    cluster->start(first, old());
    cluster->start(oldOne, old());
    completeUpTo(large, 2500);
    completeUpTo(small, 20);
    // A version that knows the next limits cuts bitmaps for these from the start.
    EXPECT_EQ(cluster->stored.partsWritten() > 0, !GetParam().knowsPipelines);

    // Production knows no parts: it has such tasks run once more, so it may tell fewer of them.
    cluster->makeLeader(oldOne);
    cluster->start(newOne, kNew);
    cluster->start(first, old());
    completeSomehow(large, 3500);
    completeUpTo(small, 30);

    cluster->makeLeader(newOne);
    upgradeAll();
    cluster->lowerLimits();
    if (!longTexts.empty()) {
        cluster->users.cancel(longTexts.front(), first);
        untilCancelled(longTexts.front());
    }
    completeUpTo(large, 4000);
    cluster->makeLeader(after(newOne));
    upgradeAll();
    finish();
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
