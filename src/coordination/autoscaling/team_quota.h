#pragma once

// Limits the tasks that a capacity plan may include for each team to the team's maximum quota. Owns the
// resources planned per team so far.

#include <cstdint>
#include <string>
#include <unordered_map>

#include "bookkeeping/fleet.h"
#include "protocol/job_messages.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// Charges planned tasks to the teams' maximum quotas, in addition to the resources that the teams already
/// use.
class TeamQuota {
  public:
    /// Both references must outlive this object.
    TeamQuota(const protocol::Settings& settings, const bookkeeping::Fleet& fleet)
        : settings_(settings), fleet_(fleet) {}

    /// Returns how many of the job's `tasks` fit within the maximum quota of its team, and charges them to
    /// it. A team that the settings do not list has no limit.
    std::uint32_t admit(const protocol::JobSpec& spec, std::uint32_t tasks);

  private:
    const protocol::Settings& settings_;
    const bookkeeping::Fleet& fleet_;
    std::unordered_map<std::string, bookkeeping::Resources> planned_;  // by team
};

}  // namespace burlpoint::coordination
