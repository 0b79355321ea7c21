// Upgrade tests of the stored data: job records, and bitmaps of completed tasks.
#include "upgrade/upgrade_fixture.h"

using namespace burlpoint::tests;
using burlpoint::protocol::JobKind;

namespace {

/// Submits two jobs whose records exceed the next value limit, to a version that does not know this limit and
/// so accepts them. Returns their ids.
std::vector<std::string> submitJobsWithLargeRecords(Upgrade& test, std::size_t controller) {
    std::vector<std::string> ids{test.newJobId(), test.newJobId()};
    for (const auto& id : ids) {
        auto spec = withHighPriority(makeJob(id, JobKind::array, 2));
        spec.types = std::vector<std::string>{"plain"};
        for (int i = 0; i < 15; ++i) spec.types->push_back(std::string(90, 'a') + std::to_string(i));
        test.submit(spec, controller);
    }
    return ids;
}

}  // namespace

// Guards against records or bitmaps that one version writes and the other misreads, and against their loss
// when the key-value store lowers its limits. The bitmap of the large job exceeds the next value limit.
TEST_P(Upgrade, RecordsAndBitmapsAreReadByBothVersions) {
    StoreLimits limits;
    limits.currentValueKb = 4;
    limits.nextValueKb = 1;
    limits.nextTxnOps = 16;
    startOldCluster(limits);
    const auto firstLeader = *cluster->leader();
    const auto newController = nextAfter(firstLeader), oldController = nextAfter(firstLeader, 2);
    const std::string largeJob = "wk-2", smallJob = "wk-3";
    std::vector<std::string> largeRecords;
    if (!GetParam().supportsPipelines) largeRecords = submitJobsWithLargeRecords(*this, oldController);
    // The large job takes all remaining capacity, and its tasks keep it until the test lets them complete.
    submit(withHighPriority(makeArrayOfSmallTasks(smallJob, 40)), newController);
    submit(makeArrayOfSmallTasks(largeJob, 4400), firstLeader);
    completeUpTo(largeJob, 1500);
    completeUpTo(smallJob, 10);

    cluster->start(newController, kNewVersion);
    cluster->makeLeader(newController);
    cluster->start(firstLeader, oldVersion());
    cluster->start(oldController, oldVersion());
    completeUpTo(largeJob, 2500);
    completeUpTo(smallJob, 20);
    // A version that reads the next limits sizes its chunks for them from the start and writes no parts.
    EXPECT_EQ(cluster->storeCheck.partialChunksWritten() > 0, !GetParam().supportsPipelines);

    // The production version does not read partial chunks: it reruns their tasks, so it may report fewer
    // tasks as done.
    cluster->makeLeader(oldController);
    cluster->start(newController, kNewVersion);
    cluster->start(firstLeader, oldVersion());
    completeOnMachines(largeJob, 3500);
    completeUpTo(smallJob, 30);

    cluster->makeLeader(newController);
    upgradeAll();
    cluster->applyNextLimits();
    if (!largeRecords.empty()) {
        cluster->users.cancel(largeRecords.front(), firstLeader);
        waitUntilCancelled(largeRecords.front());
    }
    completeUpTo(largeJob, 4000);
    cluster->makeLeader(nextAfter(newController));
    upgradeAll();
    finishAndCheck();
}
