#pragma once

// Checks whether a submitted job could ever run. Pure functions; owns no state.

#include <optional>
#include <string_view>
#include <vector>

#include "protocol/cloud_messages.h"
#include "protocol/job_messages.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// Why a job can never run here.
enum class RejectionReason {
    unknownTeam,
    exceedsTeamQuota,   // a task of an array, or all tasks of another job, need more than the maximum quota
    fitsNoMachineType,  // no machine type that the job may use is large enough for a task
    recordTooLarge,     // the job's record is larger than a value of the key-value store may be
};

/// The reason as users are told it in the body of the response.
std::string_view textOf(RejectionReason reason);

/// The reason why the job can never run under the settings and on the machine types; empty if it could.
std::optional<RejectionReason> whyItCanNeverRun(const protocol::JobSpec& spec,
                                                const protocol::Settings& settings,
                                                const std::vector<protocol::MachineType>& types);

}  // namespace burlpoint::coordination
