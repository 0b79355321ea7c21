// Cancellations during an upgrade.
#include "upgrade/upgrade_fixture.h"

using namespace burlpoint::tests;

namespace {

/// The key-value store refuses the leader, another controller confirms a cancellation, and then an outage
/// begins. The leader goes on by the votes of the others, which tell it of the cancellation. False if its
/// leader lease had ended before: then no controller can lead until the outage is over.
bool isObeyedInAnOutage(Upgrade& test, std::size_t leading, std::size_t confirming) {
    auto& cluster = *test.cluster;
    test.waitUntilRunning(kService, 3);
    const auto id = test.submitRunningJob(confirming);
    cluster.refuse(leading, true);
    cluster.users.cancel(id, confirming);
    test.waitUntilCancelled(id);
    cluster.setOutage(true);
    const auto renewalsBefore = cluster.machines.renewals(kService);
    // Heartbeats are half a second apart at least, so this takes longer than the leader's own lease.
    constexpr std::uint64_t kRenewals = 16;
    bool leaderGoesOn = true;
    cluster.until("the leader has gone on for long in an outage, or its lease has ended", [&] {
        const auto renewals = cluster.machines.renewals(kService);
        leaderGoesOn = renewals.size() == renewalsBefore.size();
        bool enough = true;
        for (const auto& [incarnation, before] : renewalsBefore) {
            const auto found = renewals.find(incarnation);
            leaderGoesOn &= found != renewals.end();
            enough &= found != renewals.end() && found->second >= before + kRenewals;
        }
        return !leaderGoesOn || (enough && cluster.machines.isGone(id));
    });
    cluster.setOutage(false);
    return leaderGoesOn;
}

/// One controller leads, and one of the other version confirms the cancellations.
void checkCancellationsAreObeyed(Upgrade& test, std::size_t leading, std::size_t confirming) {
    auto& cluster = *test.cluster;
    const auto id = test.submitRunningJob(confirming);
    cluster.users.cancel(id, confirming);
    test.waitUntilCancelled(id);
    test.waitUntilGone(id);

    while (!isObeyedInAnOutage(test, leading, confirming)) cluster.makeLeaderAgain(leading);

    // Refused alone, the leader ends with its lease, and the next one obeys.
    const auto other = test.submitRunningJob(confirming);
    cluster.refuse(leading, true);
    cluster.users.cancel(other, confirming);
    test.waitUntilCancelled(other);
    test.waitUntilGone(other);
    cluster.until("another controller leads",
                  [&] { return cluster.leader() && cluster.leader() != leading; });
    cluster.refuse(leading, false);
    test.waitUntilRunning(kService, 3);
}

}  // namespace

// Cancellations that a controller of one version confirms are obeyed by a leader of the other: when all is
// well, when the key-value store refuses the leader alone, and when an outage follows at once.
TEST_P(Upgrade, CancellationsOfOneVersionAreObeyedByTheOther) {
    startOldCluster();
    const auto first = *cluster->leader();
    const auto newOne = nextAfter(first);
    cluster->start(newOne, kNewVersion);
    checkCancellationsAreObeyed(*this, first, newOne);

    cluster->makeLeader(newOne);
    cluster->start(first, oldVersion());
    cluster->start(nextAfter(first, 2), oldVersion());
    checkCancellationsAreObeyed(*this, newOne, first);
    upgradeAll();
    finishAndCheck();
}
