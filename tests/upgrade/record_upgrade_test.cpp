// What is stored during an upgrade: records of jobs, and bitmaps of their completed tasks.
#include "upgrade/upgrade_fixture.h"

using namespace burlpoint::tests;
using burlpoint::protocol::JobKind;

namespace {

/// Two jobs whose records are larger than the next limit, accepted by a version that does not know it.
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

// Records and bitmaps that one version writes are read by the other, and nothing is lost when the key-value
// store takes less than before. The bitmap of the large job is larger than the next limit.
TEST_P(Upgrade, RecordsAndBitmapsAreReadByBothVersions) {
    ValueLimits limits;
    limits.nowKb = 4;
    limits.nextKb = 1;
    limits.nextOperations = 16;
    startOldCluster(limits);
    const auto first = *cluster->leader();
    const auto newOne = nextAfter(first), oldOne = nextAfter(first, 2);
    const std::string large = "wk-2", small = "wk-3";
    std::vector<std::string> largeRecords;
    if (!GetParam().knowsPipelines) largeRecords = submitJobsWithLargeRecords(*this, oldOne);
    // The large job takes all room that there is, and its tasks hold it until they may complete.
    submit(withHighPriority(makeArrayOfSmallTasks(small, 40)), newOne);
    submit(makeArrayOfSmallTasks(large, 4400), first);
    completeUpTo(large, 1500);
    completeUpTo(small, 10);

    cluster->start(newOne, kNewVersion);
    cluster->makeLeader(newOne);
    cluster->start(first, oldVersion());
    cluster->start(oldOne, oldVersion());
    completeUpTo(large, 2500);
    completeUpTo(small, 20);
    // A version that knows the next limits cuts bitmaps for these from the start.
    EXPECT_EQ(cluster->stored.partsWritten() > 0, !GetParam().knowsPipelines);

    // Production knows no parts: it runs such tasks once more, so it may count fewer of them as done.
    cluster->makeLeader(oldOne);
    cluster->start(newOne, kNewVersion);
    cluster->start(first, oldVersion());
    completeOnMachines(large, 3500);
    completeUpTo(small, 30);

    cluster->makeLeader(newOne);
    upgradeAll();
    cluster->lowerLimits();
    if (!largeRecords.empty()) {
        cluster->users.cancel(largeRecords.front(), first);
        waitUntilCancelled(largeRecords.front());
    }
    completeUpTo(large, 4000);
    cluster->makeLeader(nextAfter(newOne));
    upgradeAll();
    finishAndCheck();
}
