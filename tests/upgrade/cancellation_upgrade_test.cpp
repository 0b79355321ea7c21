// Upgrade tests of cancellations.
#include "upgrade/upgrade_fixture.h"

using namespace burlpoint::tests;

namespace {

/// The key-value store refuses the leader, another controller confirms a cancellation, and then the store
/// fails for all controllers. The leader can stay leader on the votes of its peers, which also report the
/// cancellation. Waits until the cancelled job has no active tasks under this leader, and returns true.
/// Returns false if the leader lease expired first: then no controller can lead until the outage is over.
bool cancellationIsObeyedDuringOutage(Upgrade& test, std::size_t leading, std::size_t confirming) {
    auto& cluster = *test.cluster;
    test.waitUntilRunning(kServiceJob, 3);
    const auto id = test.submitRunningJob(confirming);
    cluster.setStoreOutageFor(leading, true);
    cluster.users.cancel(id, confirming);
    test.waitUntilCancelled(id);
    cluster.setStoreOutage(true);
    const auto renewalsBefore = cluster.machines.leaseRenewals(kServiceJob);
    // Heartbeats are at least 0.5 s apart, so these renewals take longer than the leader lease.
    constexpr std::uint64_t kMinRenewals = 16;
    bool leaderContinues = true;
    cluster.waitUntil("the leader has outlasted its lease in an outage, or its lease has expired", [&] {
        const auto renewals = cluster.machines.leaseRenewals(kServiceJob);
        leaderContinues = renewals.size() == renewalsBefore.size();
        bool renewedOftenEnough = true;
        for (const auto& [incarnation, previousCount] : renewalsBefore) {
            const auto found = renewals.find(incarnation);
            leaderContinues &= found != renewals.end();
            renewedOftenEnough &= found != renewals.end() && found->second >= previousCount + kMinRenewals;
        }
        return !leaderContinues || (renewedOftenEnough && cluster.machines.hasNoActiveTasks(id));
    });
    cluster.setStoreOutage(false);
    return leaderContinues;
}

/// Checks that the controller `leading` obeys cancellations that `confirming`, which runs the other version,
/// has confirmed.
void checkCancellationsAreObeyed(Upgrade& test, std::size_t leading, std::size_t confirming) {
    auto& cluster = *test.cluster;
    const auto id = test.submitRunningJob(confirming);
    cluster.users.cancel(id, confirming);
    test.waitUntilCancelled(id);
    test.waitUntilNoActiveTasks(id);

    while (!cancellationIsObeyedDuringOutage(test, leading, confirming)) cluster.restoreLeader(leading);

    // If the store refuses the leader only, its lease expires, and the next leader obeys the cancellation.
    const auto other = test.submitRunningJob(confirming);
    cluster.setStoreOutageFor(leading, true);
    cluster.users.cancel(other, confirming);
    test.waitUntilCancelled(other);
    test.waitUntilNoActiveTasks(other);
    cluster.waitUntil("another controller leads",
                      [&] { return cluster.leader() && cluster.leader() != leading; });
    cluster.setStoreOutageFor(leading, false);
    test.waitUntilRunning(kServiceJob, 3);
}

}  // namespace

// Guards against a leader of one version that keeps tasks of a job running after a controller of the other
// version has confirmed the job's cancellation: in normal operation, when the key-value store refuses only
// the leader, and when the store then fails for all controllers.
TEST_P(Upgrade, CancellationsOfOneVersionAreObeyedByTheOther) {
    startOldCluster();
    const auto firstLeader = *cluster->leader();
    const auto newController = nextAfter(firstLeader);
    cluster->start(newController, kNewVersion);
    checkCancellationsAreObeyed(*this, firstLeader, newController);

    cluster->makeLeader(newController);
    cluster->start(firstLeader, oldVersion());
    cluster->start(nextAfter(firstLeader, 2), oldVersion());
    checkCancellationsAreObeyed(*this, newController, firstLeader);
    upgradeAll();
    finishAndCheck();
}
