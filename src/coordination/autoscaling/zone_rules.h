#pragma once

// A job's rules on zones while capacity is planned: how many of its tasks a zone may take, and which zone a
// gang goes to that has to stay in one. Pure functions; owns no state.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/job_messages.h"

namespace burlpoint::coordination {

/// A job's tasks, running or planned, by zone. A zone with 0 tasks is one that the job has been assigned to.
using TasksPerZone = std::map<std::string, std::uint32_t>;

/// How many more of the job's tasks may go to `zone`, given where the others are. A job in a single zone may
/// use no second one; a job spread over zones may have half of its tasks, rounded up, in a zone.
std::uint32_t remainingTasksInZone(const protocol::JobSpec& spec, const TasksPerZone& tasksPerZone,
                                   const std::string& zone);

/// True for a gang of several tasks that all have to be in the same zone.
bool isSingleZoneGang(const protocol::JobSpec& spec);

/// A zone that could take a whole gang, with new machines if need be.
struct GangZoneCandidate {
    std::string zone;
    std::uint32_t tasksWithRoom = 0;  // the gang's tasks that existing or requested machines have room for
    std::uint32_t requestedMachines = 0;  // not up yet, and planned for jobs before this one
};

/// The zone that has room for most of the gang; among equals the one with fewest requested machines, then the
/// first. Empty if there is no candidate.
std::optional<std::string> selectGangZone(const std::vector<GangZoneCandidate>& candidates);

}  // namespace burlpoint::coordination
