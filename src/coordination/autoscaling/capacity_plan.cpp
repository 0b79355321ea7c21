#include "coordination/autoscaling/capacity_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "bookkeeping/machine_status.h"

namespace burlpoint::coordination {

using bookkeeping::needOf;
using bookkeeping::sizeOf;
using protocol::JobKind;
using storage::TerminalState;

namespace {

constexpr std::size_t kFailsEverywhere = 3;  // machines on which a job failed: the job is the likely cause
// What was refused lately is asked for a few only, and the rest elsewhere.
constexpr std::uint32_t kMaxAfterRefusal = 3;
// Of the time that is left; the rest is for booting, fetching and longer runs than estimated.
constexpr double kShareOfTimeLeft = 0.5;
constexpr double kSlack = 1e-6;  // processors; sums of decimals are not exact

/// What a zone offers to a gang; the greater, the better.
struct ZoneMerit {
    std::uint32_t room = 0;  // of the gang's tasks
    int notAsked = 0;        // minus the machines there that others wait for
    auto operator<=>(const ZoneMerit&) const = default;
};

/// How many tasks of `each` a team may still have; a limit of 0 means none.
std::uint32_t tasksWithin(double limit, double used, double each) {
    if (limit <= 0 || each <= 0) return std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::max(0.0, (limit - used) / each));
}

/// How many more of the job's tasks its rules of zones let into the zone, given those per zone.
std::uint32_t zoneRoom(const JobSpec& spec, const std::map<std::string, std::uint32_t>& zones,
                       const std::string& zone) {
    const auto found = zones.find(zone);
    if (spec.singleZone && !zones.empty() && found == zones.end()) return 0;
    const std::uint32_t most = spec.spreadZones ? (spec.tasks + 1) / 2 : spec.tasks;
    const std::uint32_t here = found == zones.end() ? 0 : found->second;
    return here >= most ? 0 : most - here;
}

bool isOneZoneGang(const JobSpec& spec) {
    return spec.kind == JobKind::gang && spec.singleZone && spec.tasks > 1;
}

}  // namespace

CapacityPlan::CapacityPlan(PlanInputs inputs) : in_(std::move(inputs)) {
    addMachines();
    addPendingRequests();
}

void CapacityPlan::addMachines() {
    for (const auto& [id, machine] : in_.fleet.machines()) {
        if (!isThere(*machine)) continue;
        Bin bin{{machine->type, machine->zone, machine->spot},
                machine->typeInfo,
                sizeOf(*machine->typeInfo) - machine->used,
                machine.get()};
        if (machine->isReserved(in_.now)) bin.reservedFor = machine->reservedFor;
        bins_.push_back(std::move(bin));
    }
}

/// It has room for tasks, or will have once it is up.
bool CapacityPlan::isThere(const Machine& machine) const {
    if (!machine.typeInfo || machine.unreachableSince || machine.draining || machine.deletionRequested ||
        machine.failed || machine.interruptionAt || isFaulty(machine))
        return false;
    const bool lost = machine.reconciled && !machine.sendsHeartbeats && wasUp(machine, in_.replica);
    return !lost;
}

void CapacityPlan::addPendingRequests() {
    in_.pending.forEachPending([&](const InstanceRequest& request) {
        const auto* type = bookkeeping::findType(in_.types, request.type);
        if (!type) return;
        for (std::uint32_t i = 0; i < request.count; ++i)
            bins_.push_back({offeringOf(request), type, sizeOf(*type)});
    });
}

void CapacityPlan::add(const Job& job) {
    if (job.terminalState != TerminalState::none || job.run->waiting == 0) return;
    if (job.run->errorMachines.size() >= kFailsEverywhere) return;  // nothing is rented for such a job
    const auto& spec = job.spec;
    const auto allowed = withinTeamLimits(spec, job.run->waiting);
    Demand demand{job, needOf(spec), atOnce(job, allowed), job.run->zones};
    if (isOneZoneGang(spec) && demand.zones.empty()) {
        const auto zone = gangZone(demand);
        if (!zone) return;
        demand.zones[*zone] = 0;
    }
    for (auto& bin : bins_) {
        if (demand.waiting == 0) return;
        fill(demand, bin);
    }
    requestMachinesFor(demand);
}

std::set<std::string> CapacityPlan::neededMachines() const {
    std::set<std::string> needed;
    for (const auto& bin : bins_)
        if (bin.used && bin.machine) needed.insert(bin.machine->id);
    return needed;
}

/// How many of the tasks the team may have beside what it uses and what is planned for it. Notes them as
/// planned.
std::uint32_t CapacityPlan::withinTeamLimits(const JobSpec& spec, std::uint32_t tasks) {
    const auto* team = in_.settings.team(spec.team);
    if (!team) return tasks;
    const auto use = in_.fleet.teamUse(spec.team);
    auto& planned = planned_[spec.team];
    tasks = std::min(tasks, tasksWithin(team->maxCpus, use.cpus + planned.cpus, spec.cpus));
    tasks = std::min(tasks, tasksWithin(team->maxGpus, use.gpus + planned.gpus, spec.gpus));
    planned += {spec.cpus * tasks, spec.gpus * tasks, 0};
    return tasks;
}

/// How many of the job's tasks should run at once. One machine after another runs those of an array: enough
/// of them at once to be through in time.
std::uint32_t CapacityPlan::atOnce(const Job& job, std::uint32_t tasks) const {
    const auto& spec = job.spec;
    if (spec.kind != JobKind::array || spec.estimatedRunTime <= Seconds(0)) return tasks;
    const double rounds = std::max(1.0, horizonOf(job) / spec.estimatedRunTime);
    return static_cast<std::uint32_t>(std::ceil(tasks / rounds));
}

/// The time in which an array should be through.
Seconds CapacityPlan::horizonOf(const Job& job) const {
    const auto& spec = job.spec;
    const Seconds horizon = in_.policy.backlogHorizon;
    if (spec.deadline && spec.dependencies.empty()) {
        const Seconds waited = in_.now - job.run->waitingSince;
        return std::max(*spec.deadline * kShareOfTimeLeft - waited, spec.estimatedRunTime);
    }
    if (!job.dueAtMs) return horizon;
    // Of a pipeline, what is left of the time until it has to be through.
    const Seconds left = in_.dueAt(job) - in_.now;
    return std::max(std::min(horizon, left * kShareOfTimeLeft), spec.estimatedRunTime);
}

/// The zone that has room for most of the gang already, of those where the rest may be rented; none: there is
/// no such zone.
std::optional<std::string> CapacityPlan::gangZone(const Demand& demand) const {
    const auto asked = askedPerZone();
    std::optional<std::string> chosen;
    ZoneMerit best;
    for (const auto& [zone, room] : roomPerZone(demand)) {
        const auto& spec = demand.job.spec;
        if (room < demand.waiting && !isObtainableIn(zone, spec, in_.types, in_.capacityErrors, in_.now))
            continue;
        const auto found = asked.find(zone);
        const ZoneMerit merit{std::min(room, demand.waiting),
                              found == asked.end() ? 0 : -static_cast<int>(found->second)};
        if (chosen && merit <= best) continue;
        chosen = zone;
        best = merit;
    }
    return chosen;
}

/// How many tasks of the job have room in each zone, among them all zones of the settings.
std::map<std::string, std::uint32_t> CapacityPlan::roomPerZone(const Demand& demand) const {
    std::map<std::string, std::uint32_t> rooms;
    for (const auto& zone : in_.settings.zones) rooms[zone] = 0;
    for (const auto& bin : bins_) {
        const auto& [type, zone, spot] = bin.offering;
        if (!bin.room.covers(demand.need) || !bookkeeping::ownerAllows(demand.job.spec, type, zone, spot))
            continue;
        if (bin.reservedFor && bin.reservedFor != &demand.job) continue;
        rooms[zone] += bin.room.times(demand.need);
    }
    return rooms;
}

/// How many machines that are not up yet, or not even asked for, are planned for jobs before this one.
std::map<std::string, std::uint32_t> CapacityPlan::askedPerZone() const {
    std::map<std::string, std::uint32_t> asked;
    for (const auto& bin : bins_)
        if (!bin.machine && bin.used) ++asked[bin.offering.zone];
    return asked;
}

/// How many of the job's tasks without room fit in that room.
std::uint32_t CapacityPlan::tasksFor(const Demand& demand, const Resources& room,
                                     const std::string& zone) const {
    return std::min({room.times(demand.need), demand.waiting, zoneRoom(demand.job.spec, demand.zones, zone)});
}

/// Puts as many of the job's tasks into the bin as fit and may be there.
void CapacityPlan::fill(Demand& demand, Bin& bin) const {
    const auto& spec = demand.job.spec;
    const auto& [type, zone, spot] = bin.offering;
    if (bin.room.cpus < demand.need.cpus - kSlack || !bookkeeping::ownerAllows(spec, type, zone, spot))
        return;
    if (bin.reservedFor && bin.reservedFor != &demand.job) return;
    const auto fits = tasksFor(demand, bin.room, zone);
    if (fits == 0) return;
    // Work without accelerators fills machines that have them, and is no reason to keep one, unless its owner
    // allows it no others.
    bin.used |= spec.gpus > 0 || bin.type->gpus <= 0 || needsAcceleratorMachine(spec, in_.types);
    demand.zones[zone] += fits;
    demand.waiting -= fits;
    bin.room -= {demand.need.cpus * fits, demand.need.gpus * fits, demand.need.memoryGb * fits};
}

/// Plans machines to be rented for what is left of the job, as far as there are any to be had.
void CapacityPlan::requestMachinesFor(Demand& demand) {
    if (demand.waiting == 0) return;
    const bool plainObtainable =
        plainMachineObtainable(demand.job.spec, in_.types, in_.capacityErrors, in_.now);
    while (demand.waiting > 0) {
        const auto offering = cheapest(demand, plainObtainable);
        if (!offering) return;
        ++missingMachines_[*offering];
        const auto& type = in_.types.at(offering->type);
        bins_.push_back({*offering, &type, sizeOf(type)});
        const auto before = demand.waiting;
        fill(demand, bins_.back());
        if (demand.waiting == before) return;
    }
}

/// The cheapest machine per task for what is left of the job, so that unused room counts against large ones;
/// none: there is none to be had. Of equals the first is taken.
std::optional<Offering> CapacityPlan::cheapest(const Demand& demand, bool plainObtainable) const {
    const auto& spec = demand.job.spec;
    std::optional<Offering> best;
    double bestCost = 0;
    for (const auto& [name, type] : in_.types) {
        const auto size = sizeOf(type);
        if (!size.covers(demand.need)) continue;
        if (type.gpus > 0 && spec.gpus <= 0 && plainObtainable) continue;
        for (const auto& zone : type.zones) {
            const auto count = tasksFor(demand, size, zone);
            if (count == 0) continue;
            for (const bool spot : kPurchaseOptions) {
                const double cost = priceOf(type, spot) / count;
                if (best && cost >= bestCost) continue;
                if (!bookkeeping::ownerAllows(spec, name, zone, spot) ||
                    !isPriceAcceptable(spec, type, spot, in_.types))
                    continue;
                Offering offering{name, zone, spot};
                if (!mayAskFor(offering)) continue;
                best = std::move(offering);
                bestCost = cost;
            }
        }
    }
    return best;
}

bool CapacityPlan::mayAskFor(const Offering& offering) const {
    if (in_.capacityErrors.isUnavailable(offering, in_.now)) return false;
    if (!in_.capacityErrors.hasRecentError(offering)) return true;
    const auto found = missingMachines_.find(offering);
    return found == missingMachines_.end() || found->second < kMaxAfterRefusal;
}

}  // namespace burlpoint::coordination
