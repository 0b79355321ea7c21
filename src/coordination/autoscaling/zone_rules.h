#pragma once

// The zone rules of a job in capacity planning: how many of its tasks a zone may take, and the choice of the
// zone for a gang that must run in a single one. Pure functions; owns no state.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/job_messages.h"

namespace burlpoint::coordination {

/// The number of a job's tasks, running or planned, by zone. An entry with 0 tasks is a zone that the job has
/// been assigned to.
using TasksPerZone = std::map<std::string, std::uint32_t>;

/// How many more of the job's tasks may go to `zone`, given the zones of its other tasks. A job restricted to
/// a single zone may not use a second one. A job spread over zones may have at most half of its tasks,
/// rounded up, in one zone.
std::uint32_t remainingTasksInZone(const protocol::JobSpec& spec, const TasksPerZone& tasksPerZone,
                                   const std::string& zone);

/// True for a gang of several tasks that all have to be in the same zone.
bool isSingleZoneGang(const protocol::JobSpec& spec);

/// A zone that could take a whole gang, with newly requested machines if necessary.
struct GangZoneCandidate {
    std::string zone;
    std::uint32_t tasksWithCapacity = 0;  // tasks that fit on existing or requested machines
    std::uint32_t requestedMachines = 0;  // not up yet, and needed by earlier jobs of the plan
};

/// Returns the zone with capacity for most of the gang's tasks; of several, the one with the fewest requested
/// machines, then the first. Empty if there is no candidate.
std::optional<std::string> selectGangZone(const std::vector<GangZoneCandidate>& candidates);

}  // namespace burlpoint::coordination
