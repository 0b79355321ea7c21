#include "coordination/api/submission_validation.h"

#include <algorithm>

#include "storage/records.h"

namespace burlpoint::coordination {

using protocol::JobKind;
using protocol::JobSpec;
using protocol::MachineType;
using protocol::Settings;
using protocol::Team;

namespace {

constexpr double kRoundingError = 1e-9;  // tolerance when processors, accelerators or memory are compared

bool exceeds(double need, double quota) { return quota > 0 && need > quota + kRoundingError; }

bool exceedsTeamQuota(const JobSpec& spec, const Team& team) {
    // The tasks of an array need not run at the same time.
    const double tasks = spec.kind == JobKind::array ? 1 : spec.tasks;
    return exceeds(spec.cpus * tasks, team.maxCpus) || exceeds(spec.gpus * tasks, team.maxGpus);
}

bool fits(const JobSpec& spec, const MachineType& type) {
    const bool allowed =
        !spec.types || std::find(spec.types->begin(), spec.types->end(), type.name) != spec.types->end();
    return allowed && type.cpus + kRoundingError >= spec.cpus && type.gpus + kRoundingError >= spec.gpus &&
           type.memoryGb + kRoundingError >= spec.memoryGb;
}

}  // namespace

std::string_view textOf(RejectionReason reason) {
    switch (reason) {
        case RejectionReason::unknownTeam:
            return "unknown team";
        case RejectionReason::exceedsTeamQuota:
            return "more than the team's limit";
        case RejectionReason::fitsNoMachineType:
            return "fits no allowed machine type";
        case RejectionReason::recordTooLarge:
            return "larger than the state service takes";
    }
    return {};
}

std::optional<RejectionReason> findRejectionReason(const JobSpec& spec, const Settings& settings,
                                                   const std::vector<MachineType>& types) {
    const auto* team = settings.team(spec.team);
    if (!team) return RejectionReason::unknownTeam;
    if (exceedsTeamQuota(spec, *team)) return RejectionReason::exceedsTeamQuota;
    const bool fitsSomeType =
        std::any_of(types.begin(), types.end(), [&](const auto& type) { return fits(spec, type); });
    if (!fitsSomeType) return RejectionReason::fitsNoMachineType;
    // The record of a job that is not in a terminal state has to be stored whole.
    if (!storage::jobFits(spec, settings.maxValueBytes())) return RejectionReason::recordTooLarge;
    return std::nullopt;
}

}  // namespace burlpoint::coordination
