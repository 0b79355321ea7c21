#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "world.h"

// What all histories have in common: the jobs, a script of troubles, and the verdict once they are over.
namespace burlpoint::tests {

inline JobSpec randomJob(World& world, int number) {
    JobSpec s;
    s.id = "wk-" + std::to_string(number);
    s.jobClass = "c";
    s.team = world.settings.teams[static_cast<std::size_t>(world.below(3))].name;
    s.image = "image-" + std::to_string(world.below(3));
    s.imageGb = 1 + world.below(4);
    s.priority = static_cast<protocol::Priority>(world.below(4));
    s.memoryGb = 1;
    s.cpus = 1 + world.below(3);
    s.estimatedRunTime = Seconds(5);
    s.spot = world.below(2) == 0;
    switch (world.below(4)) {
        case 0:
            s.kind = JobKind::service;
            s.tasks = 1 + static_cast<std::uint32_t>(world.below(3));
            s.spreadZones = world.below(2) == 0;
            s.spot = false;
            break;
        case 1:
            s.kind = JobKind::gang;
            s.tasks = 1 + static_cast<std::uint32_t>(world.below(3));
            s.singleZone = world.below(2) == 0;
            s.cpus = 2;
            s.gpus = s.team == "third" ? 0 : world.below(2);
            s.checkpointInterval = Seconds(world.below(2) * 2);
            s.saveTime = Seconds(1);
            break;
        default:
            s.tasks = 1 + static_cast<std::uint32_t>(world.below(12));
            s.singleZone = world.below(4) == 0;
            s.spreadZones = !s.singleZone && world.below(4) == 0;
            if (world.below(4) == 0) s.zone = world.settings.zones[static_cast<std::size_t>(world.below(2))];
            if (world.below(4) == 0) s.types = std::vector<std::string>{"cpu"};
    }
    return s;
}

/// A job that may need up to three that came before it.
inline JobSpec partOfAGraph(World& world, int number) {
    auto spec = randomJob(world, number);
    if (spec.kind == JobKind::service || world.below(3) == 0) return spec;
    for (int i = 0; i < 3 && number > 1; ++i) {
        const auto id = "wk-" + std::to_string(std::max(1, number - 1 - world.below(8)));
        const auto known = world.jobs().find(id);
        if (id == spec.id || world.below(2) == 0 || known == world.jobs().end()) continue;
        const auto& needs = spec.dependencies;
        if (known->second.kind == JobKind::service || std::count(needs.begin(), needs.end(), id)) continue;
        spec.dependencies.push_back(id);
    }
    return spec;
}

inline std::string joined(const std::vector<std::string>& texts) {
    std::string out;
    for (const auto& text : texts) out += text + "\n";
    return out;
}

/// Calms everything down: what was not cancelled must get done, and nothing of the rest may be left. Says
/// what went wrong; empty if nothing did.
inline std::string verdict(World& world) {
    if (!world.broken.empty()) return joined(world.broken);
    if (world.starts == 0) return "nothing_ran";
    world.calm();
    for (const auto& [id, spec] : world.jobs())
        if (spec.kind == JobKind::service) world.cancel(id);
    // Long tasks, one after the other at a team's limit, take that much longer.
    const int turns = static_cast<int>(30 * std::max(1.0, world.longestRun / Seconds(12)));
    for (int i = 0; i < turns; ++i) {
        world.run(Seconds(10));
        bool over = true;
        for (const auto& [id, spec] : world.jobs())
            over &= world.terminalStateOf(id) != storage::TerminalState::none;
        if (over) break;
    }
    world.run(world.settings.cancelTimeout);
    if (!world.broken.empty()) return joined(world.broken);
    for (const auto& [id, spec] : world.jobs()) {
        const auto terminalState = world.terminalStateOf(id);
        if (terminalState == storage::TerminalState::none) return "not over: " + world.explain(id);
        if (terminalState != storage::TerminalState::done) continue;
        for (std::uint32_t t = 0; t < spec.tasks; ++t)
            if (!world.completed.contains(id + "/" + std::to_string(t))) return "not_done: " + id;
    }
    if (const auto left = world.runningOn(); !left.empty()) return "still running: " + left;
    return "";
}

using Make = std::function<JobSpec(World&, int)>;
using Script = std::function<void(World&, int second)>;

/// Jobs come and are cancelled for a while, and the script's troubles with them.
inline std::string play(World& world, Seconds time, const Script& script, const Make& make = randomJob,
                        int mostJobs = 40) {
    int jobs = 0;
    const int steps = static_cast<int>(time.count());
    for (int second = 0; second < steps && world.broken.empty(); ++second) {
        if (jobs < mostJobs && world.below(4) == 0) world.submit(make(world, ++jobs));
        if (jobs > 0 && world.below(25) == 0) world.cancel("wk-" + std::to_string(1 + world.below(jobs)));
        if (jobs > 0) {  // users ask and repeat themselves all the time
            const auto id = "wk-" + std::to_string(1 + second % jobs);
            world.ask(id);
            if (const auto known = world.jobs().find(id); known != world.jobs().end() && second % 3 == 0)
                world.submit(JobSpec(known->second));
        }
        if (script) script(world, second);
        world.run(Seconds(1));
    }
    return verdict(world);
}

}  // namespace burlpoint::tests
