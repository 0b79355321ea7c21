// Upgrade tests of pipelines: jobs with dependencies.
#include "upgrade/upgrade_fixture.h"

using namespace burlpoint::tests;
using burlpoint::protocol::JobKind;
using burlpoint::protocol::JobState;

namespace {

constexpr std::uint32_t kTasks = 3;  // in each stage

/// The ids of an array, a gang that depends on it, and an array that depends on both. Their tasks keep
/// running until the test lets them complete.
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

/// Cancels the first stage through this controller, and waits until all controllers report every stage as
/// cancelled and no stage has active tasks.
void cancelPipeline(Upgrade& test, const Pipeline& pipeline, std::size_t controller) {
    test.cluster->users.cancel(pipeline.array, controller);
    test.waitUntilCancelled(pipeline.array);
    for (const auto& id : {pipeline.array, pipeline.gang, pipeline.last}) {
        test.waitUntilAllControllersAnswer(id, JobState::cancelled);
        test.waitUntilNoActiveTasks(id);
    }
}

/// Variant for an old version without pipelines: they are submitted only after all processes have been
/// upgraded.
void checkPipelinesAfterTheUpgrade(Upgrade& test) {
    test.startOldCluster();
    test.upgradeAll();
    const auto firstLeader = test.cluster->waitForLeader();
    const auto finished = submitPipeline(test, firstLeader);
    const auto cancelled = submitPipeline(test, Upgrade::nextAfter(firstLeader));
    test.waitUntilRunning(finished.array, kTasks);
    test.complete(finished.array);
    test.waitUntilRunning(finished.gang, kTasks);
    test.cluster->makeLeader(Upgrade::nextAfter(firstLeader));
    test.upgradeAll();
    test.complete(finished.gang);
    cancelPipeline(test, cancelled, Upgrade::nextAfter(firstLeader, 2));
    test.complete(finished.last);
    test.finishAndCheck();
    test.expectNeverStarted({cancelled.gang, cancelled.last});
}

}  // namespace

// Guards against a task that starts before its dependencies are done, or after one of them was cancelled,
// when the leader changes between the versions. Pipelines are submitted before and during the upgrade, to
// controllers of both versions.
TEST_P(Upgrade, PipelinesKeepTheirOrderWhicheverVersionLeads) {
    if (!GetParam().supportsPipelines) return checkPipelinesAfterTheUpgrade(*this);
    startOldCluster();
    const auto firstLeader = *cluster->leader();
    const auto newController = nextAfter(firstLeader), oldController = nextAfter(firstLeader, 2);
    const auto submittedBefore = submitPipeline(*this, firstLeader);
    const auto cancelled = submitPipeline(*this, oldController);
    cluster->start(newController, kNewVersion);
    cluster->waitForLeader();
    const auto submittedDuring = submitPipeline(*this, newController);
    const auto cancelledThroughNew = submitPipeline(*this, newController);
    waitUntilRunning(submittedBefore.array, kTasks);
    waitUntilRunning(cancelled.array, kTasks);

    // The old version starts the second stage, the new one the third.
    complete(submittedBefore.array);
    waitUntilRunning(submittedBefore.gang, kTasks);
    cluster->makeLeader(newController);
    cluster->start(firstLeader, oldVersion());
    cluster->start(oldController, oldVersion());
    complete(submittedBefore.gang);
    waitUntilRunning(submittedBefore.last, kTasks);
    cancelPipeline(*this, cancelled, oldController);

    // The new version starts the second stage, the old one the third.
    complete(submittedDuring.array);
    waitUntilRunning(submittedDuring.gang, kTasks);
    cluster->makeLeader(oldController);
    cluster->start(newController, kNewVersion);
    cluster->start(firstLeader, oldVersion());
    complete(submittedDuring.gang);
    waitUntilRunning(submittedDuring.last, kTasks);
    cancelPipeline(*this, cancelledThroughNew, newController);

    // Any controller that leads next knows which jobs are ready and which are cancelled.
    cluster->start(oldController, kNewVersion);
    cluster->waitForLeader();
    complete(submittedBefore.last);
    const auto lateJob = newJobId();
    submit(makeJob(lateJob, JobKind::array, 1, {submittedBefore.last, cancelled.array}), firstLeader);
    waitUntilAllControllersAnswer(lateJob, JobState::cancelled);
    cluster->start(firstLeader, kNewVersion);
    cluster->waitForLeader();
    finishAndCheck();
    expectNeverStarted(
        {cancelled.gang, cancelled.last, cancelledThroughNew.gang, cancelledThroughNew.last, lateJob});
}
