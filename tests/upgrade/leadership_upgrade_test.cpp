// Changes of the leader during an upgrade.
#include "upgrade/upgrade_fixture.h"

using namespace burlpoint::tests;
using burlpoint::protocol::JobKind;

TEST_P(Upgrade, LeadershipPassesBetweenVersionsWhileWorkRuns) {
    startOldCluster();
    const auto first = *cluster->leader();
    const auto newOne = nextAfter(first), oldOne = nextAfter(first, 2);
    const std::string array = "wk-2", gang = "wk-3";
    submit(makeJob(array, JobKind::array, 24), newOne);
    submit(makeJob(gang, JobKind::gang, 3), oldOne);
    waitUntilRunning(gang, 3);
    completeUpTo(array, 6);

    cluster->start(newOne, kNewVersion);
    cluster->awaitLeader();
    completeUpTo(array, 9);
    completeAJobThroughEachController();

    cluster->makeLeader(newOne);
    cluster->start(first, oldVersion());
    cluster->start(oldOne, oldVersion());
    completeUpTo(array, 12);
    completeAJobThroughEachController();

    cluster->makeLeader(oldOne);
    cluster->start(newOne, kNewVersion);
    cluster->start(first, oldVersion());
    completeUpTo(array, 15);
    completeAJobThroughEachController();

    // The leader dies, and another process dies and is back at once as the election begins. Either may win.
    cluster->kill(oldOne);
    cluster->start(first, oldVersion());
    cluster->until("the leader's lease has ended", [&] { return !cluster->hasLeaderKey(); });
    cluster->start(first, oldVersion());
    cluster->awaitLeader();
    cluster->start(oldOne, oldVersion());
    completeUpTo(array, 18);
    completeAJobThroughEachController();

    cluster->makeLeader(newOne);
    cluster->start(first, oldVersion());
    cluster->start(oldOne, kNewVersion);
    completeUpTo(array, 21);
    cluster->start(first, kNewVersion);
    completeAJobThroughEachController();
    finishAndCheck();
    EXPECT_GE(cluster->stored.leaderships(), 4u);
}
