#include "coordination/autoscaling/autoscaler.h"

#include <algorithm>
#include <cmath>

#include "coordination/autoscaling/capacity_plan.h"

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Machine;
using bookkeeping::MachineTypes;
using bookkeeping::StateReplica;
using protocol::InstanceRequest;
using protocol::Policy;
using protocol::Settings;
using namespace std::chrono_literals;

namespace {

// Share of the cloud's limit on requests per second that is used. The rest is a margin, since the cloud's
// clock and its way of counting differ from those of this controller.
constexpr double kRequestBudgetShare = 0.8;
// Machines of one offering are planned ahead for the requests that the budget allows within this time, which
// is the interval between two plans. A machine that is left to the next plan could not be requested earlier.
constexpr Seconds kPlannedAhead{1};
// Bounds the memory of a plan if the cloud allows very many requests; more machines than a whole fleet has.
constexpr double kMaxPlannedAhead = 10'000;
constexpr std::size_t kMaxMachinesPerScaleIn = 100;    // per request
constexpr Clock::duration kScaleInInterval = 500ms;    // batches several machines into one request
constexpr Clock::duration kScaleInRetryInterval = 2s;  // keeps the load on an unresponsive cloud low
// Machines are listed twice per list lag, within these bounds. With a longer interval than the upper bound,
// machines that are gone would stay in the fleet for too long.
constexpr Clock::duration kMinListingInterval = 3s;
constexpr Clock::duration kMaxListingInterval = 10s;
constexpr Clock::duration kTypeListingInterval = 30s;      // spot prices change continually
constexpr Clock::duration kFirstTypeListingInterval = 2s;  // no machine can be requested without types
// A listing may lag by up to twice the configured lag and may be older than the listing before it, so a
// machine counts as gone only if it was last seen this many lags before the listing was requested.
constexpr double kMaxListingLags = 2.5;

/// The time at which the machine was last known to exist.
Time lastSeen(const Machine& machine) {
    if (machine.agent.incarnation == 0) return machine.cloud.firstSeenAt;
    return std::max(machine.lease.lastHeartbeat, machine.cloud.firstSeenAt);
}

/// True if only listings show whether the machine exists: it sends no heartbeats, cannot have tasks, and its
/// deletion has not been requested.
bool isKnownByListingsOnly(const Machine& machine) {
    const bool mayHaveTasks = !machine.placements.empty() || !machine.registry.reconciled;
    return !machine.lease.active && !mayHaveTasks && !machine.cloud.deletionRequested;
}

/// How many machines of one offering may wait to be requested.
std::uint32_t maxUnsentMachines(const Settings& settings) {
    const double requests =
        std::ceil(settings.cloudRequestsPerSecond * kRequestBudgetShare * kPlannedAhead.count());
    return static_cast<std::uint32_t>(std::min(requests * kMaxMachinesPerRequest, kMaxPlannedAhead));
}

}  // namespace

Autoscaler::Autoscaler(const Settings& settings, const Policy& policy, const StateReplica& replica,
                       std::uint64_t fencingToken, Time now)
    : settings_(settings),
      policy_(policy),
      replica_(replica),
      maxUnsentMachines_(maxUnsentMachines(settings)),
      requestBudget_(settings.cloudRequestsPerSecond * kRequestBudgetShare, now),
      instanceRequests_(fencingToken),
      scaleInRules_(policy, replica) {}

ScalingRequests Autoscaler::decide(Fleet& fleet, const MachineTypes& types, const WaitingWork& work,
                                   Time now) {
    CapacityPlan plan({settings_, policy_, replica_, fleet, types, instanceRequests_, capacityErrors_,
                       work.dueTime, maxUnsentMachines_, now});
    for (const auto* job : work.order) plan.add(*job);
    ScalingRequests requests;
    requestScaleOut(plan.missingMachines(), requests, now);
    requestScaleIn(fleet, plan.neededMachines(), requests, now);
    requestMachineListing(requests, now);
    requestTypeListing(!types.empty(), requests, now);
    return requests;
}

void Autoscaler::requestScaleOut(const MissingMachines& missing, ScalingRequests& requests, Time now) {
    for (const auto& [offering, count] : missing) instanceRequests_.enqueue(offering, count, now);
    requests.scaleOuts = instanceRequests_.takeDue(requestBudget_, now);
}

std::optional<InstanceRequest> Autoscaler::recordScaleOutOutcome(const std::string& name,
                                                                 InstanceRequestOutcome outcome,
                                                                 std::size_t machineCount, Time now) {
    if (outcome == InstanceRequestOutcome::unknown) {
        instanceRequests_.scheduleRetry(name, now);
        return std::nullopt;
    }
    auto request = instanceRequests_.complete(name);
    if (!request) return std::nullopt;
    const auto offering = offeringOf(*request);
    const bool fulfilledInFull =
        outcome == InstanceRequestOutcome::fulfilled && machineCount >= request->count;
    if (fulfilledInFull) {
        capacityErrors_.clear(offering);
    } else {
        capacityErrors_.record(offering, now);
        instanceRequests_.cancelUnsent(offering);
    }
    return request;
}

void Autoscaler::requestScaleIn(Fleet& fleet, const std::set<std::string>& neededMachines,
                                ScalingRequests& requests, Time now) {
    if (scaleInInFlight_ || now < nextScaleIn_) return;
    const auto machines = machinesToDelete(fleet, neededMachines, now);
    if (machines.empty() || !takeFromRequestBudget(now)) return;
    for (auto* machine : machines) {
        machine->cloud.deletionRequested = true;
        requests.scaleIn.push_back(machine->id);
    }
    scaleInInFlight_ = true;
    nextScaleIn_ = now + kScaleInInterval;
}

std::vector<Machine*> Autoscaler::machinesToDelete(Fleet& fleet, const std::set<std::string>& neededMachines,
                                                   Time now) const {
    std::vector<Machine*> machines;
    for (const auto& [id, machine] : fleet.machines()) {
        if (machines.size() >= kMaxMachinesPerScaleIn) break;
        if (scaleInRules_.mayScaleIn(*machine, neededMachines, now)) machines.push_back(machine.get());
    }
    return machines;
}

void Autoscaler::recordScaleInOutcome(ScaleInOutcome outcome, Time now) {
    scaleInInFlight_ = false;
    // The machines are still marked with `deletionRequested`, so the next request includes them again. The
    // cloud ignores ids of machines that it has already deleted.
    if (outcome == ScaleInOutcome::unknown) nextScaleIn_ = now + kScaleInRetryInterval;
}

void Autoscaler::requestMachineListing(ScalingRequests& requests, Time now) {
    if (now < nextMachineListing_ || listingInFlight_ || !takeFromRequestBudget(now)) return;
    const auto interval = toClockDuration(settings_.cloudListLag / 2);
    nextMachineListing_ = now + std::clamp(interval, kMinListingInterval, kMaxListingInterval);
    listingInFlight_ = true;
    requests.listMachines = true;
}

void Autoscaler::requestTypeListing(bool typesKnown, ScalingRequests& requests, Time now) {
    if (now < nextTypeListing_ || !takeFromRequestBudget(now)) return;
    nextTypeListing_ = now + (typesKnown ? kTypeListingInterval : kFirstTypeListingInterval);
    requests.listTypes = true;
}

std::vector<Machine*> Autoscaler::vanishedMachines(Fleet& fleet, const std::set<std::string>& listed,
                                                   Time requestedAt) const {
    const auto maxLag = toClockDuration(settings_.cloudListLag * kMaxListingLags);
    std::vector<Machine*> gone;
    for (const auto& [id, machine] : fleet.machines()) {
        if (listed.contains(id) || !isKnownByListingsOnly(*machine)) continue;
        if (requestedAt - lastSeen(*machine) > maxLag) gone.push_back(machine.get());
    }
    return gone;
}

}  // namespace burlpoint::coordination
