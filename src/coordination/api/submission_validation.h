#pragma once

// Checks whether a submitted job could ever run. Pure functions; owns no state.

#include <optional>
#include <string_view>
#include <vector>

#include "protocol/cloud_messages.h"
#include "protocol/job_messages.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// Why a job can never run in this cluster.
enum class RejectionReason {
    unknownTeam,
    exceedsTeamQuota,   // a task of an array, or all tasks of any other job, need more than the team's quota
    fitsNoMachineType,  // no machine type that the job may use is large enough for a task
    recordTooLarge,     // the job's record is larger than a value of the key-value store may be
};

/// The text of the reason for users, in the body of the response.
std::string_view textOf(RejectionReason reason);

/// Returns why the job can never run with the given settings and machine types; empty if it can run.
std::optional<RejectionReason> findRejectionReason(const protocol::JobSpec& spec,
                                                   const protocol::Settings& settings,
                                                   const std::vector<protocol::MachineType>& types);

}  // namespace burlpoint::coordination
