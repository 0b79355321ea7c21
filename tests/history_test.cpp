#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/clock.h"
#include "histories.h"

using namespace burlpoint;
using namespace burlpoint::tests;

namespace {

std::uint64_t seed() { return *rc::gen::noShrink(rc::gen::resize(100, rc::gen::arbitrary<std::uint64_t>())); }

/// Jobs come and are cancelled while everything fails; then it calms down and the rest must get done.
void live(std::uint64_t seed, World::Faults faults, Seconds time, const Make& make = randomJob) {
    World world(seed, faults);
    RC_ASSERT(play(world, time, {}, make) == "");
}

}  // namespace

// Each failure that PROTOCOL names, drawn at random and together, over many leaderships.
RC_GTEST_PROP(History, RulesHoldUnderEveryFailure, ()) { live(seed(), {}, Seconds(150)); }

// Hardly a moment between take-overs, some within a fraction of a second.
RC_GTEST_PROP(History, RulesHoldWhileLeadersKeepCrashing, ()) {
    World::Faults faults;
    faults.crash = 0.12;
    live(seed(), faults, Seconds(100));
}

// Cut workers whose reports and orders arrive late, with tasks on them that nobody hears of.
RC_GTEST_PROP(History, RulesHoldWhileWorkersAreCutOff, ()) {
    World::Faults faults;
    faults.cut = 0.03;
    faults.hang = 0.02;
    faults.late = 0.12;
    faults.lose = 0.1;
    faults.crash = 0.03;
    live(seed(), faults, Seconds(100));
}

// Machines that heartbeat and hear nothing, copies of heartbeats that come long after, workers back at once,
// some counting from the beginning, and leaders that lose the store while workers still reach them.
RC_GTEST_PROP(History, RulesHoldWithUnreachableMachinesLateCopiesAndInstantReturns, ()) {
    World::Faults faults;
    faults.unreachable = 0.02;
    faults.copy = 0.4;
    faults.back = 0.01;
    faults.anew = 0.004;
    faults.sever = 0.03;
    faults.crash = 0.03;
    live(seed(), faults, Seconds(120));
}

// Jobs that need others, in chains, fans and diamonds, under all of the above.
RC_GTEST_PROP(History, RulesHoldForPipelinesUnderEveryFailure, ()) {
    live(seed(), {}, Seconds(150), partOfAGraph);
}

// The key-value store lowers its limits at some moment, announced in the settings or not, under all else. A
// history with few changes may not meet them, so that is counted over all.
TEST(History, RulesHoldAcrossLoweredLimits) {
    std::size_t large = 0, many = 0, spared = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        World world(seed * 0x9e3779b97f4a7c15u, {});
        const bool told = seed % 2 == 0;
        const StubLimits limits{told ? 3u : 2u, 1024, 3};
        if (told)
            world.settings.nextStoreLimits =
                protocol::StoreLimits{limits.changes, static_cast<double>(limits.maxValueBytes) / 1024,
                                      static_cast<unsigned>(limits.ops)};
        world.lowerLimits(Seconds(5 + world.below(85)), limits);
        ASSERT_EQ(play(world, Seconds(100), {}, seed % 4 < 2 ? Make(randomJob) : Make(partOfAGraph)), "")
            << "seed " << seed;
        many += world.store.tooMany;
        large += world.store.tooLarge;
        if (told) spared += world.store.tooLarge;
    }
    EXPECT_GE(many, 50u);
    EXPECT_GE(large, 50u);
    EXPECT_EQ(spared, 0u);  // what was announced is kept to from the start
}
