#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "histories.h"

using namespace burlpoint;
using namespace burlpoint::tests;

namespace {

std::uint64_t seed() { return *rc::gen::noShrink(rc::gen::resize(100, rc::gen::arbitrary<std::uint64_t>())); }

/// Jobs come and are cancelled while everything fails; then it calms down and the rest must get done.
void live(std::uint64_t seed, World::Faults faults, Seconds time) {
    World world(seed, faults);
    RC_ASSERT(play(world, time, {}) == "");
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

// Machines that report and hear nothing, copies of reports that come long after, workers back at once, some
// counting from the beginning, and leaders that lose the store while workers still reach them.
RC_GTEST_PROP(History, RulesHoldWithDeafMachinesLateCopiesAndInstantReturns, ()) {
    World::Faults faults;
    faults.deaf = 0.02;
    faults.copy = 0.4;
    faults.back = 0.01;
    faults.anew = 0.004;
    faults.sever = 0.03;
    faults.crash = 0.03;
    live(seed(), faults, Seconds(120));
}
