// Failures that come together. Each test plays one combination many times over, from fixed seeds, with little
// else going wrong; `World` and `verdict` check the rules.
#include <gtest/gtest.h>

#include <cstdlib>

#include "base/clock.h"
#include "histories.h"

using namespace burlpoint;
using namespace burlpoint::tests;

namespace {

/// A little of the usual, so that no two histories are alike.
World::Faults light() {
    World::Faults f;
    f.lose = 0.02;
    f.late = 0.02;
    f.crash = 0;
    f.die = f.hang = f.cut = f.drainForInterruption = 0.0005;
    f.error = 0.01;
    f.unreachable = f.back = f.anew = f.sever = 0;
    f.copy = 0.01;
    return f;
}

struct Scenario {
    World::Faults faults = light();
    Seconds time{100};
    Script script;
    Make make = randomJob;
    std::function<void(World&)> prepare;
    int mostJobs = 40;
    /// That the scenario took place, counted over all histories.
    std::function<std::size_t(const World&)> met = [](const World& world) { return world.takeOvers; };
    std::vector<int> seeds = {};  // beside the first few: those that have shown a fault
};

constexpr int kSeeds = 50;
constexpr std::size_t kMet = 10;

/// Half of the histories have a lease that is long against the time in which a cancelled task must be gone.
void hold(const Scenario& scenario) {
    int most = kSeeds;
    if (const char* more = std::getenv("BURLPOINT_SCENARIO_SEEDS"))
        most = std::atoi(more);  // to look further
    auto seeds = scenario.seeds;
    for (int seed = 1; seed <= most; ++seed) seeds.push_back(seed);
    std::size_t met = 0;
    for (const int seed : seeds) {
        World world(static_cast<std::uint64_t>(seed) * 0x9e3779b97f4a7c15u, scenario.faults);
        if (seed % 2 == 0) world.settings.workerLease = Seconds(30);
        if (scenario.prepare) scenario.prepare(world);
        const auto wrong = play(world, scenario.time, scenario.script, scenario.make, scenario.mostJobs);
        ASSERT_EQ(wrong, "") << "seed " << seed;
        met += scenario.met(world);
    }
    EXPECT_GE(met, kMet) << "the histories miss what they are about";
}

Seconds between(World& world, double from, double to) {
    return Seconds(from + (to - from) * world.random01());
}

/// A job that runs and is not over, or none.
std::string someRunning(World& world) {
    std::vector<std::string> running;
    for (const auto& [id, spec] : world.jobs())
        if (world.terminalStateOf(id) == storage::TerminalState::none && !world.holding(id).empty())
            running.push_back(id);
    return running.empty() ? ""
                           : running[static_cast<std::size_t>(world.below(static_cast<int>(running.size())))];
}

/// Calls off some jobs that run.
void cancelSome(World& world, int count) {
    for (int i = 0; i < count; ++i)
        if (const auto id = someRunning(world); !id.empty()) world.cancel(id);
}

/// Does that to about half of the machines with tasks on them.
void half(World& world, const std::function<void(const std::string&)>& trouble) {
    for (const auto& id : world.holding(""))
        if (world.below(2) == 0) trouble(id);
}

void longTasks(World& world) {
    world.shortestRun = Seconds(10);
    world.longestRun = Seconds(50);
}

}  // namespace

TEST(History, ALeaderEndsWhileMachinesWithLongTasksCannotBeReached) {
    Scenario m;
    m.prepare = longTasks;
    m.script = [](World& world, int second) {
        if (second % 25 != 20) return;
        half(world, [&](const std::string& id) {
            if (world.below(2) == 0)
                world.cut(id, between(world, 3, 40));
            else
                world.makeUnreachable(id, between(world, 3, 40));
        });
        world.endLeader(between(world, 0.2, 6));
    };
    hold(m);
}

TEST(History, OldHeartbeatsOfEarlierSessionsAndAttemptsArriveAfterNewerOnes) {
    Scenario m;
    m.faults.copy = 0.4;
    m.faults.heldBack = 0.2;
    m.faults.back = 0.02;
    m.faults.crash = 0.03;
    m.faults.error = 0.1;
    m.met = [](const World& world) { return world.met.earlierSessions; };
    hold(m);
}

TEST(History, MoreWorkThanRoomUrgentAndNotOverSlowLinks) {
    Scenario m;
    m.mostJobs = 25;
    m.make = [](World& world, int number) {
        auto spec = randomJob(world, number);
        if (spec.gpus <= 0 && world.below(4) == 0) spec.types = std::vector<std::string>{"gpu"};
        return spec;
    };
    m.prepare = [](World& world) {
        world.mostMachines = 4;
        world.slowestFetch = Seconds(15);
    };
    m.faults.crash = 0.01;
    hold(m);
}

TEST(History, TransactionsAreCarriedOutAfterNewerOnesOfTheSameController) {
    Scenario m;
    m.faults.afterwards = 0.35;
    m.faults.die = 0.01;
    m.faults.back = 0.01;
    m.faults.crash = 0.01;
    m.seeds = {136};
    m.met = [](const World& world) { return world.met.lateWritesFailed; };
    hold(m);
}

TEST(History, AllControllersAreAwayForLongerThanALease) {
    Scenario m;
    m.prepare = longTasks;
    m.faults.heldBack = 0.1;
    m.script = [](World& world, int second) {
        if (second % 60 != 25) return;
        world.endLeader(world.settings.workerLease * 1.0 + between(world, -1, 8));
        cancelSome(world, 2);
    };
    m.time = Seconds(120);
    hold(m);
}

TEST(History, ControllersHandOverAllEndAndOneReturnsWithinASecond) {
    Scenario m;
    m.prepare = longTasks;
    m.faults.heldBack = 0.1;
    m.script = [](World& world, int second) {
        if (second % 7 == 5) world.endLeader(between(world, 0.1, 0.9));
        if (second % 40 == 30) {
            world.endLeader(between(world, 1, 16));
            cancelSome(world, 2);
        }
    };
    hold(m);
}

TEST(History, LeadersChangeTenTimesInTwoMinutesAlsoInsideAnOutage) {
    Scenario m;
    m.prepare = longTasks;
    m.time = Seconds(125);
    m.script = [](World& world, int second) {
        if (second % 40 == 24) world.storeOutage(between(world, 3, 20));
        if (second % 12 == 4) world.endLeader(between(world, 0.2, 3));
        if (second % 12 == 3) cancelSome(world, 1);
    };
    m.met = [](const World& world) { return std::size_t{world.takeOvers >= 10}; };
    hold(m);
}

TEST(History, CancellationsQuestionsAndRepetitionsMeetTheEndOfTheLastTask) {
    Scenario m;
    m.faults = {};
    m.faults.lose = m.faults.late = m.faults.crash = m.faults.die = m.faults.hang = m.faults.cut = 0;
    m.faults.error = m.faults.drainForInterruption = m.faults.unreachable = m.faults.copy = m.faults.back = 0;
    m.faults.anew = m.faults.sever = 0;
    m.faults.atEnd = 0.8;
    m.met = [](const World& world) { return world.met.endCancels; };
    hold(m);
}

TEST(History, CommandsAndAnswersAreHeldUpAndTheMachineGoesOn) {
    Scenario m;
    m.prepare = longTasks;
    m.faults.heldUp = 0.8;
    m.faults.hang = 0.02;
    m.faults.cut = 0.01;
    m.script = [](World& world, int second) {
        if (second % 15 != 12) return;
        for (int i = 0; i < 4; ++i) {  // called off as their machines stop
            const auto id = someRunning(world);
            if (id.empty()) return;
            for (const auto& machine : world.holding(id))
                world.hang(machine, between(world, 1, world.settings.workerLease.count() * 1.1));
            world.cancel(id);
        }
    };
    m.met = [](const World& world) { return std::min(world.met.heldCommands, world.met.hungCancels); };
    hold(m);
}

TEST(History, ALeaderWithoutTheStoreGoesOnWhileTheNextOneHearsOfCancellations) {
    Scenario m;
    m.prepare = longTasks;
    m.faults.heldBack = 0.1;
    m.script = [](World& world, int second) {
        if (second % 20 != 15) return;
        world.refuseLeader(Seconds(8));
        cancelSome(world, 3);
        half(world, [&](const std::string& id) { world.cut(id, between(world, 1, 12)); });
    };
    m.met = [](const World& world) { return world.met.hungCancels; };
    hold(m);
}

TEST(History, TasksOfSmallJobsEndFarApartAcrossAChangeOfLeader) {
    Scenario m;
    m.prepare = [](World& world) {
        world.shortestRun = Seconds(1);
        world.longestRun = Seconds(45);
    };
    m.make = [](World& world, int number) {
        auto spec = randomJob(world, number);
        spec.kind = JobKind::array;
        spec.tasks = 2 + static_cast<std::uint32_t>(world.below(2));
        return spec;
    };
    m.faults.afterwards = 0.1;
    m.script = [](World& world, int second) {
        if (second % 15 == 10) world.endLeader(between(world, 0.2, 6));
    };
    hold(m);
}

TEST(History, TheStoreIsSlowThenRefusesTheLeaderAndThenEverybodyForLong) {
    Scenario m;
    m.prepare = longTasks;
    m.time = Seconds(130);
    m.faults.atEnd = 0.3;
    m.script = [](World& world, int second) {
        if (second == 20) world.slowStore(Seconds(1.3));
        if (second == 40) world.slowStore(Seconds(0));
        if (second == 50) world.refuseLeader(Seconds(6));
        if (second == 52) world.storeOutage(world.settings.cancelTimeout + Seconds(10));
        if (second >= 48 && second < 56) cancelSome(world, 1);
        if (second > 56 && second % 10 == 0) cancelSome(world, 1);
    };
    m.met = [](const World& world) { return world.met.unstored; };
    hold(m);
}

TEST(History, JobsBoundToOneZoneLoseMachines) {
    Scenario m;
    m.make = [](World& world, int number) {
        auto spec = randomJob(world, number);
        spec.spreadZones = false;
        spec.singleZone = world.below(3) > 0;
        if (!spec.singleZone) spec.zone = world.below(2) == 0 ? "a" : "b";
        return spec;
    };
    m.faults.crash = 0.01;
    m.seeds = {235};
    m.script = [](World& world, int second) {
        if (second % 8 != 6) return;
        half(world, [&](const std::string& id) {
            if (world.below(2) == 0)
                world.lose(id);
            else
                world.cut(id, between(world, 1, 40));
        });
    };
    hold(m);
}

TEST(History, ATeamAtItsLimitMeetsAChangeOfLeaderSilentMachinesAndACancellation) {
    Scenario m;
    m.prepare = longTasks;
    m.make = [](World& world, int number) {
        auto spec = randomJob(world, number);
        spec.team = "small";
        spec.priority = static_cast<protocol::Priority>(world.below(3));
        return spec;
    };
    m.mostJobs = 15;
    m.script = [](World& world, int second) {
        if (second % 25 == 15) {
            half(world, [&](const std::string& id) { world.cut(id, between(world, 2, 35)); });
            world.endLeader(between(world, 0.2, 5));
        }
        if (second % 25 == 16 || second % 25 == 19) cancelSome(world, 1);
    };
    m.met = [](const World& world) { return world.met.fullTeams; };
    hold(m);
}

TEST(History, WorkersThatReachNoControllerTakeDirectCommands) {
    Scenario m;
    m.prepare = longTasks;
    m.faults.mute = 0.02;
    m.faults.crash = 0.02;
    m.script = [](World& world, int second) {
        if (second % 20 != 15) return;
        half(world, [&](const std::string& id) { world.mute(id, between(world, 5, 45)); });
        cancelSome(world, 2);
    };
    m.met = [](const World& world) { return world.met.muteCommands; };
    hold(m);
}

TEST(History, AZoneWithWorkersAndAControllerIsCutOffForLongerThanALease) {
    Scenario m;
    m.prepare = longTasks;
    m.time = Seconds(130);
    m.faults.heldBack = 0.1;
    m.script = [](World& world, int second) {
        if (second % 60 != 20) return;
        world.cutZone(world.below(2) == 0 ? "a" : "b", world.settings.workerLease + between(world, 1, 12),
                      world.below(2) == 0);
        cancelSome(world, 2);
    };
    m.met = [](const World& world) { return world.met.insideAnswers; };
    hold(m);
}

TEST(History, JobsAreCancelledAsTheStoreRefusesTheLeaderAndIsOutASecondLater) {
    Scenario m;
    m.prepare = longTasks;
    m.time = Seconds(130);
    m.script = [](World& world, int second) {
        if (second == 30) {
            world.refuseLeader(Seconds(6));
            cancelSome(world, 6);
        }
        if (second == 31) world.storeOutage(world.settings.cancelTimeout + Seconds(12));
    };
    hold(m);
}

TEST(History, AHeartbeatIsHeldBackUntilANewLeaderHasActed) {
    Scenario m;
    m.faults.heldBack = 0.6;
    m.faults.back = 0.01;
    m.faults.crash = 0.05;
    m.faults.error = 0.1;
    m.met = [](const World& world) { return world.met.heldHeartbeats; };
    hold(m);
}

// --- jobs that need others, while the same troubles meet ---

namespace {

Scenario pipelines(const std::function<std::size_t(const World&)>& met) {
    Scenario m;
    m.make = partOfAGraph;
    m.met = met;
    m.prepare = [](World& world) { world.longestRun = Seconds(6); };
    return m;
}
std::size_t freedStarts(const World& world) { return world.met.freedStarts; }
std::size_t derivedCancellations(const World& world) { return world.met.derived; }

void askAll(World& world) {
    for (const auto& [id, spec] : world.jobs()) world.ask(id);
}

}  // namespace

// The end of what a job needs meets leaders that come and go, and transactions that are carried out late.
TEST(History, WhatIsFreedStartsOnlyAfterItsDependenciesAreStored) {
    auto m = pipelines(freedStarts);
    m.faults.afterwards = 0.1;
    m.faults.error = 0.02;
    m.script = [](World& world, int second) {
        if (second % 9 == 4) world.endLeader(between(world, 0.1, 4));
        if (second % 5 == 0) askAll(world);
    };
    hold(m);
}

// Jobs are cancelled at the moment at which their last task ends, and while no leader hears of it.
TEST(History, WhatNeedsACancelledJobNeverStartsAndIsCancelledOnEveryNode) {
    auto m = pipelines(derivedCancellations);
    m.faults.afterwards = 0.05;
    m.script = [](World& world, int second) {
        for (const auto& [id, spec] : world.jobs()) {
            const bool ending = spec.kind != JobKind::service && world.allDone(id) &&
                                world.terminalStateOf(id) == storage::TerminalState::none;
            if (ending && world.below(2) == 0) {
                world.cancel(id);
                break;
            }
        }
        if (second % 17 == 8) world.refuseLeader(Seconds(6));
        if (second % 23 == 11) world.endLeader(between(world, 0.1, 6));
        if (second % 31 == 20) world.storeOutage(between(world, 2, 15));
        askAll(world);
    };
    hold(m);
}

// Outages and lowered limits together.
TEST(History, PipelinesGoOnAcrossOutagesAndLoweredLimits) {
    auto m = pipelines(freedStarts);
    m.prepare = [](World& world) {
        world.longestRun = Seconds(6);
        world.lowerLimits(Seconds(20 + world.below(50)), {3, 1024, 4});
        if (world.below(2) == 0) world.settings.nextStoreLimits = protocol::StoreLimits{4, 1, 3};
    };
    m.script = [](World& world, int second) {
        if (second % 30 == 12) world.storeOutage(between(world, 2, 20));
        if (second % 19 == 6) world.endLeader(between(world, 0.1, 6));
        if (second % 5 == 0) askAll(world);
    };
    hold(m);
}
