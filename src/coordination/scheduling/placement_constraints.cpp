#include "coordination/scheduling/placement_constraints.h"

#include <algorithm>

#include "bookkeeping/machine_status.h"
#include "coordination/scheduling/job_queue.h"

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::MachineTypes;
using bookkeeping::Placement;
using bookkeeping::RegistrationState;
using bookkeeping::Resources;
using storage::TerminalState;

namespace {

// Users count a task that is stopped sooner as never started.
constexpr std::chrono::seconds kMinCountedRunTime{30};
// A machine is suspected if it has sent no heartbeat for this many intervals plus the margin.
constexpr double kHeartbeatTimeoutIntervals = 2;
constexpr Seconds kHeartbeatMargin{0.5};
// How long a job avoids a machine on which one of its tasks failed.
constexpr auto kFailureAvoidanceTime = kMaxSoftConstraintTime;

/// True if the job may not use the capacity that is reserved for `holder` on the machine.
bool mustRespectReservation(const Job& job, const Machine& machine, const Job& holder) {
    if (!holder.run || holder.run->waiting == 0) return false;
    if (rankOf(holder) >= rankOf(job)) return true;
    // Other jobs may use capacity that preemption freed only if their priority is higher, whatever their
    // rank. Otherwise tasks within a guaranteed quota would take it and be preempted again and again.
    return !machine.reservation.withoutPreemption && holder.priority() >= job.priority();
}

/// True if one of the job's tasks failed on the machine recently. A job that is the likely cause of its
/// failures avoids no machine: it would soon find none.
bool avoidsAfterFailure(const Job& job, const Machine& machine, Time now) {
    if (job.run->suspectedFaulty(now)) return false;
    const auto failedAt = job.run->failures.lastOf(machine.id, now);
    return failedAt && now - *failedAt < kFailureAvoidanceTime;
}

/// An upper bound of the team's use: machines that are not reconciled count as fully used by the team, since
/// an earlier leader may have filled them with its tasks.
Resources maxTeamUse(const std::string& team, const Fleet& fleet, const MachineTypes& types) {
    auto use = fleet.teamUse(team);
    for (const auto& [offering, count] : fleet.unreconciled()) {
        const auto* type = bookkeeping::findType(types, offering.type);
        if (!type) continue;
        use += {type->cpus * count, type->gpus * count, type->memoryGb * count};
    }
    return use;
}

}  // namespace

bool isUsable(const Machine& machine, Time now) {
    if (isLeaving(machine) || machine.agent.unreachableSince || machine.history.startBackoffUntil > now)
        return false;
    // The next leader would know neither a machine that is not in the stored registry nor the tasks on it.
    const bool known = machine.agent.acknowledged && machine.lease.active &&
                       machine.registry.state == RegistrationState::stored;
    return known && !isFaulty(machine, now) && machine.typeInfo;
}

Clock::duration heartbeatTimeout(const protocol::Settings& settings) {
    return toClockDuration(settings.heartbeatInterval * kHeartbeatTimeoutIntervals + kHeartbeatMargin);
}

bool hasFreeCpus(const Machine& machine, double cpus) {
    return machine.typeInfo && machine.typeInfo->cpus - machine.use.total.cpus >= cpus - kResourceTolerance;
}

std::uint32_t maxTasksInZone(const protocol::JobSpec& spec) {
    return spec.spreadZones ? (spec.tasks + 1) / 2 : spec.tasks;
}

bool zoneAllows(const Job& job, const std::string& zone) {
    const auto& zones = job.run->zones;
    if (job.spec.singleZone && !zones.empty() && (zones.size() > 1 || !zones.contains(zone))) return false;
    if (!job.spec.spreadZones) return true;
    const auto found = zones.find(zone);
    const std::uint32_t here = found == zones.end() ? 0 : found->second;
    return here < maxTasksInZone(job.spec);
}

bool blockedByUnreconciled(const Job& job, const Fleet& fleet) {
    if (job.run->origin != bookkeeping::JobOrigin::inherited) return false;
    const auto& offerings = fleet.unreconciled();
    return std::any_of(offerings.begin(), offerings.end(), [&](const auto& entry) {
        const auto& offering = entry.first;
        return bookkeeping::ownerAllows(job.spec, offering.type, offering.zone, offering.spot);
    });
}

bool withinTeamQuota(const Job& job, std::uint32_t tasks, const Fleet& fleet, const MachineTypes& types) {
    const auto* team = job.run->team;
    if (!team) return false;
    if (team->maxCpus <= 0 && team->maxGpus <= 0) return true;
    const auto use = maxTeamUse(team->name, fleet, types);
    const auto fits = [&](double used, double perTask, double quota) {
        return quota <= 0 || used + perTask * tasks <= quota + kResourceTolerance;
    };
    return fits(use.cpus, job.spec.cpus, team->maxCpus) && fits(use.gpus, job.spec.gpus, team->maxGpus);
}

bool hasFreeCapacity(const Machine& machine, const Job& job) {
    if (!machine.typeInfo) return false;
    const auto unused = bookkeeping::capacityOf(*machine.typeInfo) - machine.use.total;
    return unused.covers(bookkeeping::needOf(job.spec));
}

Resources availableCapacity(const Machine& machine, const Job& job, Time now) {
    if (!machine.typeInfo) return {};
    auto available = bookkeeping::capacityOf(*machine.typeInfo) - machine.use.total;
    const auto* holder = machine.reservation.job;
    if (holder != &job && machine.reservation.isActive(now) && mustRespectReservation(job, machine, *holder))
        available -= bookkeeping::needOf(holder->spec, machine.reservation.tasks);
    return available;
}

Resources capacityWithPreemption(const Machine& machine, const Job& job, Time now) {
    auto capacity = availableCapacity(machine, job, now);
    // A job within its team's guaranteed quota may preempt tasks of any priority, if their team exceeds its
    // own quota, which is not checked here.
    const auto priorities =
        job.run->guaranteed ? machine.use.preemptible.size() : static_cast<std::size_t>(job.priority());
    for (std::size_t priority = 0; priority < priorities; ++priority)
        capacity += machine.use.preemptible[priority];
    return capacity;
}

bool isReservedByPreemption(const Machine& machine, Time now) {
    return machine.reservation.isActive(now) && !machine.reservation.withoutPreemption;
}

bool startedRecently(const Placement& placement, Time now) {
    return placement.runningSince == Time{} || now - placement.runningSince < kMinCountedRunTime;
}

bool isProtectedStart(const Placement& placement, Time now) {
    return placement.job->run->firstOverdueTask == placement.task && startedRecently(placement, now);
}

PlacementConstraints::PlacementConstraints(const AcceleratorPolicy& accelerators,
                                           const ZoneReservations& zoneReservations)
    : accelerators_(accelerators), zoneReservations_(zoneReservations) {}

bool PlacementConstraints::mayStart(const Job& job, const Machine& machine, Time now) const {
    if (job.terminalState != TerminalState::none || !job.ready()) return false;
    if (job.run->waiting == 0 || job.run->backoffUntil > now) return false;
    if (!bookkeeping::ownerAllows(job.spec, machine.type, machine.zone, machine.spot)) return false;
    if (!zoneAllows(job, machine.zone)) return false;
    if (!accelerators_.allows(job, machine, now)) return false;
    if (zoneReservations_.excludes(job, machine, now)) return false;
    return !avoidsAfterFailure(job, machine, now);
}

}  // namespace burlpoint::coordination
