#include "coordination/autoscaling/zone_rules.h"

#include <algorithm>

namespace burlpoint::coordination {

using protocol::JobKind;
using protocol::JobSpec;

namespace {

bool isWorse(const GangZoneCandidate& a, const GangZoneCandidate& b) {
    if (a.tasksWithCapacity != b.tasksWithCapacity) return a.tasksWithCapacity < b.tasksWithCapacity;
    return a.requestedMachines > b.requestedMachines;
}

}  // namespace

std::uint32_t remainingTasksInZone(const JobSpec& spec, const TasksPerZone& tasksPerZone,
                                   const std::string& zone) {
    const auto found = tasksPerZone.find(zone);
    if (spec.singleZone && !tasksPerZone.empty() && found == tasksPerZone.end()) return 0;
    const std::uint32_t limit = spec.spreadZones ? (spec.tasks + 1) / 2 : spec.tasks;
    const std::uint32_t tasksInZone = found == tasksPerZone.end() ? 0 : found->second;
    return tasksInZone >= limit ? 0 : limit - tasksInZone;
}

bool isSingleZoneGang(const JobSpec& spec) {
    return spec.kind == JobKind::gang && spec.singleZone && spec.tasks > 1;
}

std::optional<std::string> selectGangZone(const std::vector<GangZoneCandidate>& candidates) {
    const auto best = std::max_element(candidates.begin(), candidates.end(), isWorse);
    if (best == candidates.end()) return std::nullopt;
    return best->zone;
}

}  // namespace burlpoint::coordination
