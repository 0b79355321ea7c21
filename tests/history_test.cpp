#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "world.h"

using namespace burlpoint;
using namespace burlpoint::tests;

namespace {

JobSpec randomJob(World& world, int number) {
    JobSpec s;
    s.id = "wk-" + std::to_string(number);
    s.jobClass = "c";
    s.team = world.settings.teams[static_cast<std::size_t>(world.below(3))].name;
    s.image = "image-" + std::to_string(world.below(3));
    s.imageGb = 1 + world.below(4);
    s.priority = static_cast<protocol::Priority>(world.below(4));
    s.memoryGb = 1;
    s.cpus = 1 + world.below(3);
    s.estimate = Seconds(5);
    s.spot = world.below(2) == 0;
    switch (world.below(4)) {
        case 0:
            s.kind = Kind::service;
            s.tasks = 1 + static_cast<std::uint32_t>(world.below(3));
            s.spread = world.below(2) == 0;
            s.spot = false;
            break;
        case 1:
            s.kind = Kind::gang;
            s.tasks = 1 + static_cast<std::uint32_t>(world.below(3));
            s.oneZone = world.below(2) == 0;
            s.cpus = 2;
            s.gpus = s.team == "third" ? 0 : world.below(2);
            s.checkpoint = Seconds(world.below(2) * 2);
            s.save = Seconds(1);
            break;
        default:
            s.tasks = 1 + static_cast<std::uint32_t>(world.below(12));
            s.oneZone = world.below(4) == 0;
            s.spread = !s.oneZone && world.below(4) == 0;
            if (world.below(4) == 0) s.zone = world.settings.zones[static_cast<std::size_t>(world.below(2))];
            if (world.below(4) == 0) s.types = std::vector<std::string>{"cpu"};
    }
    return s;
}

std::uint64_t seed() { return *rc::gen::noShrink(rc::gen::resize(100, rc::gen::arbitrary<std::uint64_t>())); }

std::string joined(const std::vector<std::string>& texts) {
    std::string out;
    for (const auto& text : texts) out += text + "\n";
    return out;
}

/// Limits of the state service that drop at some second.
struct Drop {
    int at = -1;  // never
    bool told = false;
    tests::StoreLimits limits;  // changes: a second
};

/// Jobs come and are cancelled while everything fails; then it calms down and the rest must get done.
void live(std::uint64_t seed, World::Faults faults, Seconds time, Drop drop = {}) {
    World world(seed, faults);
    if (drop.told)
        world.settings.nextState =
            protocol::StateLimits{drop.limits.changes, static_cast<double>(drop.limits.valueBytes) / 1024,
                                  static_cast<unsigned>(drop.limits.ops)};
    int jobs = 0;
    int elapsed = 0;
    const auto second = [&] {  // and what the service takes in it
        if (drop.at >= 0 && elapsed >= drop.at) world.store.limits = drop.limits;
        ++elapsed;
        world.run(Seconds(1));
    };
    const int steps = static_cast<int>(time.count());
    while (elapsed < steps && world.broken.empty()) {
        if (jobs < 40 && world.below(4) == 0) world.submit(randomJob(world, ++jobs));
        if (jobs > 0 && world.below(25) == 0) world.cancel("wk-" + std::to_string(1 + world.below(jobs)));
        second();
    }
    RC_ASSERT(joined(world.broken) == "");
    RC_ASSERT(world.starts > 0u);
    world.calm();
    for (const auto& [id, spec] : world.jobs())
        if (spec.kind == Kind::service) world.cancel(id);
    for (int i = 0; i < 30; ++i) {
        for (int j = 0; j < 10; ++j) second();
        bool over = true;
        for (const auto& [id, spec] : world.jobs()) over &= world.finalOf(id) != storage::Final::open;
        if (over) break;
    }
    for (int j = 0; j < world.settings.cancel.count(); ++j) second();
    if (drop.at >= 0) RC_ASSERT(world.store.tooMany + (drop.told ? 1 : world.store.tooLarge) > 0u);
    RC_ASSERT(!drop.told || world.store.tooLarge == 0u);
    RC_ASSERT(joined(world.broken) == "");
    for (const auto& [id, spec] : world.jobs()) {
        const auto final = world.finalOf(id);
        if (final == storage::Final::open) RC_FAIL("not over: " + world.explain(id));
        if (final != storage::Final::done) continue;
        for (std::uint32_t t = 0; t < spec.tasks; ++t)
            if (!world.completed.contains(id + "/" + std::to_string(t))) RC_FAIL("not_done: " + id);
    }
    RC_ASSERT(world.runningOn() == "");
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

// The state service lowers its limits at some moment, announced in the settings or not, under all else.
RC_GTEST_PROP(History, RulesHoldAcrossLoweredLimits, ()) {
    const bool told = *rc::gen::arbitrary<bool>();
    live(seed(), {}, Seconds(100), {*rc::gen::inRange(5, 90), told, {told ? 3u : 2u, 1024, 3}});
}
