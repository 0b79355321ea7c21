// Jobs with dependencies during an upgrade.
#include "upgrade/upgrade_fixture.h"

using namespace burlpoint::tests;
using burlpoint::protocol::JobKind;
using burlpoint::protocol::JobState;

namespace {

constexpr std::uint32_t kTasks = 3;  // of each stage

/// The ids of an array, a gang that depends on it, and an array that depends on both. Their tasks run on
/// until they may complete.
struct Pipeline {
    std::string array, gang, last;
};

Pipeline submitPipeline(Upgrade& test, std::size_t controller) {
    Pipeline pipeline{test.newJobId(), test.newJobId(), test.newJobId()};
    test.submit(makeJob(pipeline.array, JobKind::array, kTasks), controller);
    test.submit(makeJob(pipeline.gang, JobKind::gang, kTasks, {pipeline.array}), controller);
    test.submit(makeJob(pipeline.last, JobKind::array, kTasks, {pipeline.gang, pipeline.array}), controller);
    return pipeline;
}

/// Cancels the first stage through this controller, and waits until every stage is answered to be cancelled
/// and gone.
void cancelPipeline(Upgrade& test, const Pipeline& pipeline, std::size_t controller) {
    test.cluster->users.cancel(pipeline.array, controller);
    test.waitUntilCancelled(pipeline.array);
    for (const auto& id : {pipeline.array, pipeline.gang, pipeline.last}) {
        test.waitUntilAllControllersAnswer(id, JobState::cancelled);
        test.waitUntilGone(id);
    }
}

/// The version in production has no pipelines: they are submitted only once all processes are new.
void checkPipelinesAfterTheUpgrade(Upgrade& test) {
    test.startOldCluster();
    test.upgradeAll();
    const auto first = test.cluster->awaitLeader();
    const auto finished = submitPipeline(test, first);
    const auto cancelled = submitPipeline(test, Upgrade::nextAfter(first));
    test.waitUntilRunning(finished.array, kTasks);
    test.complete(finished.array);
    test.waitUntilRunning(finished.gang, kTasks);
    test.cluster->makeLeader(Upgrade::nextAfter(first));
    test.upgradeAll();
    test.complete(finished.gang);
    cancelPipeline(test, cancelled, Upgrade::nextAfter(first, 2));
    test.complete(finished.last);
    test.finishAndCheck();
    test.expectNeverStarted({cancelled.gang, cancelled.last});
}

}  // namespace

// From a version that knows pipelines: submitted before and during the upgrade, they go on under either
// version.
TEST_P(Upgrade, PipelinesKeepTheirOrderWhicheverVersionLeads) {
    if (!GetParam().knowsPipelines) return checkPipelinesAfterTheUpgrade(*this);
    startOldCluster();
    const auto first = *cluster->leader();
    const auto newOne = nextAfter(first), oldOne = nextAfter(first, 2);
    const auto before = submitPipeline(*this, first);
    const auto cancelled = submitPipeline(*this, oldOne);
    cluster->start(newOne, kNewVersion);
    cluster->awaitLeader();
    const auto during = submitPipeline(*this, newOne);
    const auto cancelledByNew = submitPipeline(*this, newOne);
    waitUntilRunning(before.array, kTasks);
    waitUntilRunning(cancelled.array, kTasks);

    // The old version starts the second stage, the new one the third.
    complete(before.array);
    waitUntilRunning(before.gang, kTasks);
    cluster->makeLeader(newOne);
    cluster->start(first, oldVersion());
    cluster->start(oldOne, oldVersion());
    complete(before.gang);
    waitUntilRunning(before.last, kTasks);
    cancelPipeline(*this, cancelled, oldOne);

    // The new version starts the second stage, the old one the third.
    complete(during.array);
    waitUntilRunning(during.gang, kTasks);
    cluster->makeLeader(oldOne);
    cluster->start(newOne, kNewVersion);
    cluster->start(first, oldVersion());
    complete(during.gang);
    waitUntilRunning(during.last, kTasks);
    cancelPipeline(*this, cancelledByNew, newOne);

    // Whichever controller leads next knows which jobs are ready and which are cancelled.
    cluster->start(oldOne, kNewVersion);
    cluster->awaitLeader();
    complete(before.last);
    const auto late = newJobId();
    submit(makeJob(late, JobKind::array, 1, {before.last, cancelled.array}), first);
    waitUntilAllControllersAnswer(late, JobState::cancelled);
    cluster->start(first, kNewVersion);
    cluster->awaitLeader();
    finishAndCheck();
    expectNeverStarted({cancelled.gang, cancelled.last, cancelledByNew.gang, cancelledByNew.last, late});
}
