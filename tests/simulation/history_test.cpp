// Histories in which faults are drawn at random. Some tests draw the seeds too (rapidcheck); the simulated
// cluster checks the rules all the time.
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
    RC_ASSERT(playHistory(cluster, time, {}, generateJob) == "");
}

}  // namespace

// Each failure that PROTOCOL names, drawn at random and together, over many leaderships.
RC_GTEST_PROP(History, RulesHoldUnderEveryFailure, ()) { checkRandomHistory({}, Seconds(150)); }

// Leaders follow each other at once, some within a fraction of a second.
RC_GTEST_PROP(History, RulesHoldWhileLeadersKeepCrashing, ()) {
    Faults faults;
    faults.leaderCrashesPerSecond = 0.12;
    checkRandomHistory(faults, Seconds(100));
}

// Workers are cut off with tasks that no leader hears of; their heartbeats and commands arrive late.
RC_GTEST_PROP(History, RulesHoldWhileWorkersAreCutOff, ()) {
    Faults faults;
    faults.workerPartitionsPerSecond = 0.03;
    faults.workerHangsPerSecond = 0.02;
    faults.lateExecutionProbability = 0.12;
    faults.messageLossProbability = 0.1;
    faults.leaderCrashesPerSecond = 0.03;
    checkRandomHistory(faults, Seconds(100));
}

// Machines that send heartbeats and receive nothing, copies of heartbeats that come long after, workers that
// restart, some with their counters reset, and leaders that lose the store while workers still reach them.
RC_GTEST_PROP(History, RulesHoldWithUnreachableMachinesDuplicateHeartbeatsAndRestarts, ()) {
    Faults faults;
    faults.inboundLinkFailuresPerSecond = 0.02;
    faults.heartbeatDuplicateProbability = 0.4;
    faults.workerRestartsPerSecond = 0.01;
    faults.workerCounterResetsPerSecond = 0.004;
    faults.leaderStoreLossesPerSecond = 0.03;
    faults.leaderCrashesPerSecond = 0.03;
    checkRandomHistory(faults, Seconds(120));
}

// Jobs with dependencies, in chains, fans and diamonds, under all of the above.
RC_GTEST_PROP(History, RulesHoldForPipelinesUnderEveryFailure, ()) {
    checkRandomHistory({}, Seconds(150), randomJobWithDependencies);
}

// The key-value store lowers its limits at some moment, announced in the settings or not, under all else. A
// history with few changes may not meet the limits, so that is counted over all histories.
TEST(History, RulesHoldAcrossLoweredLimits) {
    constexpr std::uint64_t kHistories = 100;
    constexpr std::size_t kEnoughRefusals = 50;
    std::size_t tooLarge = 0, tooMany = 0, tooLargeThoughAnnounced = 0;
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
        ASSERT_EQ(playHistory(cluster, Seconds(100), {}, generateJob), "") << "seed " << number;
        const auto& store = cluster.store.contents();
        tooMany += store.tooMany;
        tooLarge += store.tooLarge;
        if (announced) tooLargeThoughAnnounced += store.tooLarge;
    }
    EXPECT_GE(tooMany, kEnoughRefusals);
    EXPECT_GE(tooLarge, kEnoughRefusals);
    EXPECT_EQ(tooLargeThoughAnnounced, 0u);  // an announced limit is kept to from the start
}
