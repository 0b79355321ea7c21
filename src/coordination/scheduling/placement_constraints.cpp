#include "coordination/scheduling/placement_constraints.h"

#include <algorithm>

#include "bookkeeping/machine_status.h"
#include "coordination/scheduling/job_queue.h"

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::Placement;
using bookkeeping::RegistrationState;
using bookkeeping::Resources;

namespace {

// Processors and accelerators that a sum of decimals may be off by.
constexpr double kSlack = 1e-6;
// A start that is stopped sooner is none to its users.
constexpr std::chrono::seconds kMinCountedStart{30};

/// Must the job leave alone what the machine keeps for `holder`?
bool isKeptFrom(const Job& job, const Machine& machine, const Job& holder) {
    if (!holder.run || holder.run->waiting == 0) return false;
    if (rankOf(holder) >= rankOf(job)) return true;
    // Room that work was stopped for is not for other work of no higher priority, whatever its rank:
    // guaranteed tasks would fill it again and again, to be stopped once more.
    return !machine.holding && holder.priority() >= job.priority();
}

}  // namespace

bool usable(const Machine& machine, Time now) {
    const bool leaving =
        machine.draining || machine.deletionRequested || machine.failed || machine.interruptionAt;
    if (leaving || machine.unreachableSince || machine.startBackoffUntil > now) return false;
    // A machine without a stored machine registry entry would be unknown to the next leader, tasks and all.
    const bool known =
        machine.acknowledged && machine.sendsHeartbeats && machine.registration == RegistrationState::stored;
    return known && !isFaulty(machine) && machine.typeInfo;
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
        return bookkeeping::ownerAllows(job.spec, entry.first.type, entry.first.zone, entry.first.spot);
    });
}

bool withinTeamLimit(const Job& job, std::uint32_t tasks, const Fleet& fleet, const MachineTypes& types) {
    const auto* team = job.run->team;
    if (!team) return false;
    if (team->maxCpus <= 0 && team->maxGpus <= 0) return true;
    auto use = fleet.teamUse(team->name);
    // Until a machine has been heard, it may be full of this team's tasks.
    for (const auto& [offering, count] : fleet.unreconciled()) {
        const auto found = types.find(offering.type);
        if (found == types.end()) continue;
        const auto& type = found->second;
        use += {type.cpus * count, type.gpus * count, type.memoryGb * count};
    }
    const auto fits = [&](double used, double need, double most) {
        return most <= 0 || used + need * tasks <= most + kSlack;
    };
    return fits(use.cpus, job.spec.cpus, team->maxCpus) && fits(use.gpus, job.spec.gpus, team->maxGpus);
}

bool hasFreeRoom(const Machine& machine, const Job& job) {
    if (!machine.typeInfo) return false;
    return (bookkeeping::sizeOf(*machine.typeInfo) - machine.used).covers(bookkeeping::needOf(job.spec));
}

Resources availableRoom(const Machine& machine, const Job& job, Time now) {
    if (!machine.typeInfo) return {};
    auto room = bookkeeping::sizeOf(*machine.typeInfo) - machine.used;
    const auto* holder = machine.reservedFor;
    if (holder != &job && machine.isReserved(now) && isKeptFrom(job, machine, *holder))
        room -= bookkeeping::needOf(holder->spec, machine.reserved);
    return room;
}

Resources maxRoom(const Machine& machine, const Job& job, Time now) {
    auto room = availableRoom(machine, job, now);
    // A guarantee may be given back by work of any priority.
    const auto below =
        job.run->guaranteed ? machine.stoppable.size() : static_cast<std::size_t>(job.priority());
    for (std::size_t priority = 0; priority < below; ++priority) room += machine.stoppable[priority];
    return room;
}

bool startedRecently(const Placement& placement, Time now) {
    return placement.runningSince == Time{} || now - placement.runningSince < kMinCountedStart;
}

bool isProtectedStart(const Placement& placement, Time now) {
    return placement.job->run->firstOverdueTask == placement.task && startedRecently(placement, now);
}

}  // namespace burlpoint::coordination
