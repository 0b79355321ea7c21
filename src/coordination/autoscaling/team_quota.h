#pragma once

// How many more tasks each team may have within its maximum quota, while a capacity plan is being made. Owns
// the resources planned per team so far.

#include <cstdint>
#include <string>
#include <unordered_map>

#include "bookkeeping/fleet.h"
#include "protocol/job_messages.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// Charges planned tasks to the teams' maximum quotas, on top of what the teams use already.
class TeamQuota {
  public:
    /// Both must outlive this object.
    TeamQuota(const protocol::Settings& settings, const bookkeeping::Fleet& fleet)
        : settings_(settings), fleet_(fleet) {}

    /// Returns how many of the job's `tasks` the maximum quota of its team allows, and charges these. A team
    /// that the settings do not list has no limit.
    std::uint32_t admit(const protocol::JobSpec& spec, std::uint32_t tasks);

  private:
    const protocol::Settings& settings_;
    const bookkeeping::Fleet& fleet_;
    std::unordered_map<std::string, bookkeeping::Resources> planned_;  // by team
};

}  // namespace burlpoint::coordination
