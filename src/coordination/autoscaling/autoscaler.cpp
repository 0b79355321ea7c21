#include "coordination/autoscaling/autoscaler.h"

#include <algorithm>

#include "bookkeeping/machine_status.h"
#include "bookkeeping/machine_types.h"

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {

constexpr double kShareOfLimit = 0.8;  // of the cloud's requests per second; clocks and counting differ
constexpr std::size_t kMaxMachinesPerScaleIn = 100;    // machines in one request
constexpr Clock::duration kScaleInInterval = 500ms;    // so that several machines gather for one request
constexpr Clock::duration kScaleInRetryInterval = 2s;  // a cloud that does not answer is not pressed
// Twice per lag the list shows something new; more seldom would keep machines for too long that are gone.
constexpr Clock::duration kMinListInterval = 3s;
constexpr Clock::duration kMaxListInterval = 10s;
constexpr Clock::duration kTypesInterval = 30s;      // prices change all the time
constexpr Clock::duration kFirstTypesInterval = 2s;  // without types nothing can be rented
constexpr Clock::duration kLostAfter = 10s;          // beyond the lease of a machine without tasks
// What has not reported after so many boot times of its type, and some seconds, does not boot.
constexpr double kMaxBoots = 3.5;
constexpr Seconds kMaxBootMargin{15};
// Lists lag by up to twice the setting, and one may be older than the one before.
constexpr double kMaxListLags = 2.5;

Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

}  // namespace

Autoscaler::Autoscaler(const Settings& settings, const Policy& policy, const StateReplica& replica,
                       std::uint64_t fencingToken, Time now)
    : settings_(settings),
      policy_(policy),
      replica_(replica),
      budget_(settings.cloudRequestsPerSecond * kShareOfLimit, now),
      instanceRequests_(fencingToken) {}

ScalingRequests Autoscaler::decide(Fleet& fleet, const MachineTypes& types, const WaitingWork& work,
                                   Time now) {
    CapacityPlan plan(
        {settings_, policy_, replica_, fleet, types, instanceRequests_, capacityErrors_, work.dueAt, now});
    for (const auto* job : work.order) plan.add(*job);
    ScalingRequests requests;
    requestScaleOut(plan.missingMachines(), requests, now);
    requestScaleIn(fleet, plan.neededMachines(), requests, now);
    requestLists(!types.empty(), requests, now);
    return requests;
}

void Autoscaler::requestScaleOut(const std::map<Offering, std::uint32_t>& wanted, ScalingRequests& requests,
                                 Time now) {
    for (const auto& [offering, count] : wanted) instanceRequests_.enqueue(offering, count, now);
    requests.scaleOuts = instanceRequests_.takeDue(budget_, now);
}

std::optional<InstanceRequest> Autoscaler::scaleOutCompleted(const std::string& name,
                                                             InstanceRequestOutcome outcome,
                                                             std::size_t machines, Time now) {
    if (outcome == InstanceRequestOutcome::unknown) {
        instanceRequests_.scheduleRetry(name, now);
        return std::nullopt;
    }
    auto request = instanceRequests_.complete(name);
    if (!request) return std::nullopt;
    const auto offering = offeringOf(*request);
    const bool inFull = outcome == InstanceRequestOutcome::fulfilled && machines >= request->count;
    if (inFull) {
        capacityErrors_.clear(offering);
    } else {
        capacityErrors_.record(offering, now);
        instanceRequests_.cancelUnsent(offering);
    }
    return request;
}

void Autoscaler::requestScaleIn(Fleet& fleet, const std::set<std::string>& needed, ScalingRequests& requests,
                                Time now) {
    if (scalingIn_ || now < nextScaleIn_) return;
    std::vector<Machine*> machines;
    for (const auto& [id, machine] : fleet.machines()) {
        if (machines.size() >= kMaxMachinesPerScaleIn) break;
        if (mayScaleIn(*machine, needed, now)) machines.push_back(machine.get());
    }
    if (machines.empty() || !budget_.take(1, 0, now)) return;
    for (auto* machine : machines) {
        machine->deletionRequested = true;  // no starts from here on
        requests.scaleIn.push_back(machine->id);
    }
    scalingIn_ = true;
    nextScaleIn_ = now + kScaleInInterval;
}

/// The machine is to be given back: its deletion was asked for before, it stopped or was never up, it is
/// lost, leaves, is faulty, or nobody needs it.
bool Autoscaler::mayScaleIn(const Machine& machine, const std::set<std::string>& needed, Time now) const {
    if (machine.deletionRequested || machine.failed) return true;
    if (!machine.placements.empty() || !machine.reconciled) return false;
    if (!wasUp(machine, replica_)) {
        if (!machine.typeInfo) return false;
        return now - machine.firstSeenAt > ticks(machine.typeInfo->boot * kMaxBoots + kMaxBootMargin);
    }
    const bool lost = !machine.sendsHeartbeats && now > machine.leaseUntil + kLostAfter;
    if (lost || machine.draining || isFaulty(machine)) return true;
    return isIdle(machine, now) && !needed.contains(machine.id);
}

/// It has had no task for long, its first minute is over, and no job is to have it.
bool Autoscaler::isIdle(const Machine& machine, Time now) const {
    // What takes long to boot is kept longer: its next job would wait for all of that.
    const auto boot = machine.typeInfo ? machine.typeInfo->boot * policy_.bootKeep : Seconds(0);
    const auto keep = std::max(policy_.idleKeep, boot);
    return now - machine.lastBusyAt > ticks(keep) && now - machine.firstSeenAt > ticks(policy_.minimumKeep) &&
           machine.reservedUntil <= now;
}

void Autoscaler::scaleInCompleted(bool ok, Time now) {
    scalingIn_ = false;
    if (!ok) nextScaleIn_ = now + kScaleInRetryInterval;  // names that are gone already are ignored
}

void Autoscaler::requestLists(bool anyTypes, ScalingRequests& requests, Time now) {
    if (now >= nextList_ && !listing_ && budget_.take(1, 0, now)) {
        nextList_ = now + std::clamp(ticks(settings_.cloudListLag / 2), kMinListInterval, kMaxListInterval);
        listing_ = true;
        requests.listMachines = true;
    }
    if (now >= nextTypes_ && budget_.take(1, 0, now)) {
        nextTypes_ = now + (anyTypes ? kTypesInterval : kFirstTypesInterval);
        requests.listTypes = true;
    }
}

std::vector<Machine*> Autoscaler::vanished(Fleet& fleet, const std::set<std::string>& listed,
                                           Time asked) const {
    const auto lag = ticks(settings_.cloudListLag * kMaxListLags);
    std::vector<Machine*> gone;
    for (const auto& [id, machine] : fleet.machines()) {
        if (listed.contains(id) || machine->deletionRequested || !machine->placements.empty() ||
            !machine->reconciled || machine->sendsHeartbeats)
            continue;
        const auto newest = machine->incarnation == 0
                                ? machine->firstSeenAt
                                : std::max(machine->lastHeartbeat, machine->firstSeenAt);
        if (asked - newest > lag) gone.push_back(machine.get());
    }
    return gone;
}

}  // namespace burlpoint::coordination
