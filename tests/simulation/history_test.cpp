// Histories with random faults. The property tests draw the seeds with rapidcheck. The simulated cluster
// checks the invariants throughout.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/clock.h"
#include "simulation/histories.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using simulation::Faults;
using simulation::SimulatedCluster;

namespace {

std::uint64_t randomSeed() {
    return *rc::gen::noShrink(rc::gen::resize(100, rc::gen::arbitrary<std::uint64_t>()));
}

void checkRandomHistory(const Faults& faults, Seconds time, const JobGenerator& generateJob = randomJob) {
    SimulatedCluster cluster(randomSeed(), faults);
    RC_ASSERT(runHistory(cluster, time, {}, generateJob) == "");
}

}  // namespace

// The default fault rates, which cover the failures named in the protocol description. All of them occur at
// random in the same history, over several leaderships.
RC_GTEST_PROP(History, InvariantsHoldUnderEveryFailure, ()) { checkRandomHistory({}, Seconds(150)); }

// Leaders crash every 8 s on average; the next one is elected 0.2 to 8 s later.
RC_GTEST_PROP(History, InvariantsHoldWhileLeadersKeepCrashing, ()) {
    Faults faults;
    faults.leaderCrashesPerSecond = 0.12;
    checkRandomHistory(faults, Seconds(100));
}

// Workers are partitioned or hang while their tasks run, so no leader learns of the tasks; heartbeats and
// commands arrive late.
RC_GTEST_PROP(History, InvariantsHoldWhileWorkersArePartitioned, ()) {
    Faults faults;
    faults.workerPartitionsPerSecond = 0.03;
    faults.workerHangsPerSecond = 0.02;
    faults.lateExecutionProbability = 0.12;
    faults.messageLossProbability = 0.1;
    faults.leaderCrashesPerSecond = 0.03;
    checkRandomHistory(faults, Seconds(100));
}

// Workers send heartbeats but receive nothing, copies of heartbeats arrive up to 50 s late, workers restart,
// some with their counters reset, and leaders lose the store while workers still reach them.
RC_GTEST_PROP(History, InvariantsHoldWithUnreachableMachinesDuplicateHeartbeatsAndRestarts, ()) {
    Faults faults;
    faults.inboundLinkFailuresPerSecond = 0.02;
    faults.heartbeatDuplicateProbability = 0.4;
    faults.workerRestartsPerSecond = 0.01;
    faults.workerCounterResetsPerSecond = 0.004;
    faults.leaderStoreLossesPerSecond = 0.03;
    faults.leaderCrashesPerSecond = 0.03;
    checkRandomHistory(faults, Seconds(120));
}

// Jobs with dependencies, in chains, fans and diamonds, under the default faults.
RC_GTEST_PROP(History, InvariantsHoldForPipelinesUnderEveryFailure, ()) {
    checkRandomHistory({}, Seconds(150), randomJobWithDependencies);
}

// The key-value store lowers its limits during the history, in half of the histories announced in the
// settings, under the default faults. A history with few writes may not reach the limits, so refusals are
// counted over all histories.
TEST(History, InvariantsHoldAcrossLoweredLimits) {
    constexpr std::uint64_t kHistories = 100;
    constexpr std::size_t kMinRefusals = 50;
    std::size_t tooLarge = 0, rateLimited = 0, tooLargeThoughAnnounced = 0;
    for (std::uint64_t number = 1; number <= kHistories; ++number) {
        SimulatedCluster cluster(seedOf(number), {});
        const bool announced = number % 2 == 0;
        const StubLimits limits{announced ? 3u : 2u, 1024, 3};
        if (announced)
            cluster.settings.nextStoreLimits =
                protocol::StoreLimits{limits.changes, static_cast<double>(limits.maxValueBytes) / 1024,
                                      static_cast<unsigned>(limits.ops)};
        cluster.store.lowerLimits(Seconds(5 + cluster.random.below(85)), limits);
        const auto generateJob =
            number % 4 < 2 ? JobGenerator(randomJob) : JobGenerator(randomJobWithDependencies);
        ASSERT_EQ(runHistory(cluster, Seconds(100), {}, generateJob), "") << "seed " << number;
        const auto& store = cluster.store.contents();
        rateLimited += store.rateLimited;
        tooLarge += store.tooLarge;
        if (announced) tooLargeThoughAnnounced += store.tooLarge;
    }
    EXPECT_GE(rateLimited, kMinRefusals);
    EXPECT_GE(tooLarge, kMinRefusals);
    EXPECT_EQ(tooLargeThoughAnnounced, 0u);  // an announced limit is respected from the start
}
