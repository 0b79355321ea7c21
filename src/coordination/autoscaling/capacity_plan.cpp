#include "coordination/autoscaling/capacity_plan.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "bookkeeping/machine_status.h"
#include "coordination/autoscaling/instance_selection.h"
#include "coordination/autoscaling/zone_rules.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using bookkeeping::Machine;
using protocol::InstanceRequest;
using protocol::JobKind;
using storage::TerminalState;

namespace {

/// How many of the job's waiting tasks capacity is planned for. A job that is the likely cause of its tasks'
/// failures should not occupy many machines, but without any it could never show that it can succeed. So it
/// gets capacity for one more task, or for as many more as are running. A gang needs capacity for all tasks.
std::uint32_t tasksToPlan(const Job& job, Time now) {
    const auto& run = *job.run;
    if (job.spec.kind == JobKind::gang || !run.suspectedFaulty(now)) return run.waiting;
    return std::min(run.waiting, std::max(run.running, 1u));
}

}  // namespace

CapacityPlan::CapacityPlan(PlanInputs inputs)
    : inputs_(std::move(inputs)),
      quota_(inputs_.settings, inputs_.fleet),
      packing_(inputs_.types),
      offerings_(inputs_.types, inputs_.capacityErrors, inputs_.now),
      unsentMachines_(inputs_.pendingRequests.unsentMachines()) {
    addMachines();
    addPendingRequests();
}

void CapacityPlan::addMachines() {
    for (const auto& [id, machine] : inputs_.fleet.machines())
        if (isUsable(*machine)) packing_.addMachine(*machine, inputs_.now);
}

/// True if the machine can run tasks, or will be able to once it has booted.
bool CapacityPlan::isUsable(const Machine& machine) const {
    if (!machine.typeInfo || isLeaving(machine) || machine.agent.unreachableSince ||
        isFaulty(machine, inputs_.now))
        return false;
    const bool lost = machine.registry.reconciled && !machine.lease.active && wasUp(machine, inputs_.replica);
    return !lost;
}

void CapacityPlan::addPendingRequests() {
    inputs_.pendingRequests.forEachPending([&](const InstanceRequest& request) {
        const auto* type = bookkeeping::findType(inputs_.types, request.type);
        if (!type) return;
        for (std::uint32_t i = 0; i < request.count; ++i)
            packing_.addRequestedMachine(offeringOf(request), *type);
    });
}

void CapacityPlan::add(const Job& job) {
    if (job.terminalState != TerminalState::none || job.run->waiting == 0) return;
    const auto withinQuota = quota_.admit(job.spec, tasksToPlan(job, inputs_.now));
    const auto concurrency =
        targetConcurrency(job, withinQuota, inputs_.policy, inputs_.dueTime, inputs_.now);
    TaskDemand demand{job, bookkeeping::needOf(job.spec), concurrency, job.run->zones};
    if (isSingleZoneGang(job.spec) && demand.tasksPerZone.empty()) {
        const auto zone = gangZone(demand);
        if (!zone) return;
        demand.tasksPerZone[*zone] = 0;
    }
    packing_.pack(demand);
    planMissingMachines(demand);
}

/// Selects the zone for a gang without running tasks: a zone with capacity for the whole gang, or one
/// where machines for the rest can be obtained. Empty if there is none.
std::optional<std::string> CapacityPlan::gangZone(const TaskDemand& demand) const {
    auto capacityPerZone = packing_.capacityPerZone(demand);
    for (const auto& zone : inputs_.settings.zones) capacityPerZone.try_emplace(zone, 0);
    auto requestsPerZone = packing_.neededRequestsPerZone();
    std::vector<GangZoneCandidate> candidates;
    for (const auto& [zone, capacity] : capacityPerZone) {
        if (capacity < demand.unpacked &&
            !isObtainableIn(zone, demand.job.spec, inputs_.types, inputs_.capacityErrors, inputs_.now))
            continue;
        candidates.push_back({zone, std::min(capacity, demand.unpacked), requestsPerZone[zone]});
    }
    return selectGangZone(candidates);
}

/// Plans missing machines for the unpacked tasks, as far as there are offerings for them and more machines
/// may wait to be requested. Without the latter limit, a leader that the cloud has not refused any machine
/// yet held a bin for each task that users had asked for, and was killed for its memory.
void CapacityPlan::planMissingMachines(TaskDemand& demand) {
    if (demand.unpacked == 0) return;
    const bool plainObtainable =
        plainMachineObtainable(demand.job.spec, inputs_.types, inputs_.capacityErrors, inputs_.now);
    while (demand.unpacked > 0) {
        const auto offering = offerings_.cheapest(demand, plainObtainable, missingMachines_);
        if (!offering || !mayAddMissingMachine(*offering)) return;
        ++missingMachines_[*offering];
        packing_.addRequestedMachine(*offering, inputs_.types.at(offering->type));
        const auto unpackedBefore = demand.unpacked;
        packing_.packIntoLast(demand);
        if (demand.unpacked == unpackedBefore) return;
    }
}

bool CapacityPlan::mayAddMissingMachine(const bookkeeping::Offering& offering) const {
    const auto unsent = unsentMachines_.find(offering);
    const auto missing = missingMachines_.find(offering);
    const auto machines = (unsent == unsentMachines_.end() ? 0 : unsent->second) +
                          (missing == missingMachines_.end() ? 0 : missing->second);
    return machines < inputs_.maxUnsentMachines;
}

}  // namespace burlpoint::coordination
