// Upgrade tests of leader changes.
#include "upgrade/upgrade_fixture.h"

using namespace burlpoint::tests;
using burlpoint::protocol::JobKind;

// Leaders of both versions take over from each other while an array, a gang and a service are running. Guards
// against a version that loses jobs or runs tasks twice when it takes over from the other one.
TEST_P(Upgrade, LeadershipPassesBetweenVersionsWhileWorkRuns) {
    startOldCluster();
    const auto firstLeader = *cluster->leader();
    const auto newController = nextAfter(firstLeader), oldController = nextAfter(firstLeader, 2);
    const std::string array = "wk-2", gang = "wk-3";
    submit(makeJob(array, JobKind::array, 24), newController);
    submit(makeJob(gang, JobKind::gang, 3), oldController);
    waitUntilRunning(gang, 3);
    completeUpTo(array, 6);

    cluster->start(newController, kNewVersion);
    cluster->waitForLeader();
    completeUpTo(array, 9);
    completeAJobThroughEachController();

    cluster->makeLeader(newController);
    cluster->start(firstLeader, oldVersion());
    cluster->start(oldController, oldVersion());
    completeUpTo(array, 12);
    completeAJobThroughEachController();

    cluster->makeLeader(oldController);
    cluster->start(newController, kNewVersion);
    cluster->start(firstLeader, oldVersion());
    completeUpTo(array, 15);
    completeAJobThroughEachController();

    // The leader is killed, and another controller restarts just as the election begins. Either may win it.
    cluster->kill(oldController);
    cluster->start(firstLeader, oldVersion());
    cluster->waitUntil("the leader lease has expired", [&] { return !cluster->hasLeaderKey(); });
    cluster->start(firstLeader, oldVersion());
    cluster->waitForLeader();
    cluster->start(oldController, oldVersion());
    completeUpTo(array, 18);
    completeAJobThroughEachController();

    cluster->makeLeader(newController);
    cluster->start(firstLeader, oldVersion());
    cluster->start(oldController, kNewVersion);
    completeUpTo(array, 21);
    cluster->start(firstLeader, kNewVersion);
    completeAJobThroughEachController();
    finishAndCheck();
    EXPECT_GE(cluster->storeCheck.leaderTerms(), 4u);
}
