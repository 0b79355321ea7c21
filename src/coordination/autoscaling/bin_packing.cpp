#include "coordination/autoscaling/bin_packing.h"

#include <algorithm>

#include "coordination/autoscaling/instance_selection.h"

namespace burlpoint::coordination {

using bookkeeping::capacityOf;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::Offering;
using bookkeeping::Resources;
using protocol::MachineType;

namespace {

constexpr double kRoundingError = 1e-6;  // processors; sums of decimal fractions are not exact

}  // namespace

std::uint32_t TaskDemand::tasksThatFit(const Resources& freeResources, const std::string& zone) const {
    return std::min(
        {freeResources.fitCount(perTask), unpacked, remainingTasksInZone(job.spec, tasksPerZone, zone)});
}

void BinPacking::addMachine(const Machine& machine, Time now) {
    const auto* reservedFor = machine.reservation.isActive(now) ? machine.reservation.job : nullptr;
    bins_.push_back({{machine.type, machine.zone, machine.spot},
                     *machine.typeInfo,
                     capacityOf(*machine.typeInfo) - machine.use.total,
                     &machine,
                     reservedFor});
}

void BinPacking::addRequestedMachine(const Offering& offering, const MachineType& type) {
    bins_.push_back({offering, type, capacityOf(type)});
}

void BinPacking::pack(TaskDemand& demand) {
    for (auto& bin : bins_) {
        if (demand.unpacked == 0) return;
        packInto(bin, demand);
    }
}

/// True if the job's constraints and the bin's reservation allow the job to run in the bin.
bool BinPacking::admits(const Bin& bin, const Job& job) {
    const auto& [type, zone, spot] = bin.offering;
    if (!bookkeeping::ownerAllows(job.spec, type, zone, spot)) return false;
    return !bin.reservedFor || bin.reservedFor == &job;
}

void BinPacking::packInto(Bin& bin, TaskDemand& demand) const {
    // This cheap test comes first, since most bins of a large fleet are full.
    if (bin.freeResources.cpus < demand.perTask.cpus - kRoundingError) return;
    const auto& job = demand.job;
    if (!admits(bin, job)) return;
    const auto& zone = bin.offering.zone;
    const auto count = demand.tasksThatFit(bin.freeResources, zone);
    if (count == 0) return;
    // Tasks that need no accelerators may fill accelerator machines, but justify keeping one only if their
    // job can run nowhere else.
    bin.needed |= job.spec.gpus > 0 || bin.type.gpus <= 0 || needsAcceleratorMachine(job.spec, types_);
    demand.tasksPerZone[zone] += count;
    demand.unpacked -= count;
    bin.freeResources -=
        {demand.perTask.cpus * count, demand.perTask.gpus * count, demand.perTask.memoryGb * count};
}

std::map<std::string, std::uint32_t> BinPacking::capacityPerZone(const TaskDemand& demand) const {
    std::map<std::string, std::uint32_t> capacityPerZone;
    for (const auto& bin : bins_) {
        if (!bin.freeResources.covers(demand.perTask) || !admits(bin, demand.job)) continue;
        capacityPerZone[bin.offering.zone] += bin.freeResources.fitCount(demand.perTask);
    }
    return capacityPerZone;
}

std::map<std::string, std::uint32_t> BinPacking::neededRequestsPerZone() const {
    std::map<std::string, std::uint32_t> requests;
    for (const auto& bin : bins_)
        if (!bin.machine && bin.needed) ++requests[bin.offering.zone];
    return requests;
}

std::set<std::string> BinPacking::neededMachines() const {
    std::set<std::string> needed;
    for (const auto& bin : bins_)
        if (bin.needed && bin.machine) needed.insert(bin.machine->id);
    return needed;
}

}  // namespace burlpoint::coordination
