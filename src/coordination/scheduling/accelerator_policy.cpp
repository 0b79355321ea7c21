#include "coordination/scheduling/accelerator_policy.h"

#include <algorithm>
#include <chrono>

#include "bookkeeping/machine_types.h"
#include "coordination/scheduling/placement_constraints.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::Resources;
using protocol::JobKind;
using protocol::Priority;
using namespace std::chrono_literals;

namespace {

constexpr auto kPlainMachinesOnly = 12s;  // how long a replica waits for a machine without accelerators
// Replicas have waited in vain for plain machines only where there is not even room for so many of them.
constexpr double kPlainRoomReplicas = 4;
// Where the cloud has no more machines, replicas may have one of so many of those with accelerators.
constexpr std::uint32_t kSharedOneOf = 8;

}  // namespace

AcceleratorPolicy::AcceleratorPolicy(const bookkeeping::MachineTypes& types,
                                     const CapacityErrors& capacityErrors)
    : types_(types), capacityErrors_(capacityErrors) {}

void AcceleratorPolicy::recordNeed(const Job& job) {
    if (job.spec.gpus <= 0) return;
    const auto need = bookkeeping::needOf(job.spec);
    const auto& allowed = job.spec.types;
    for (const auto& [name, type] : types_) {
        if (!bookkeeping::sizeOf(type).covers(need)) continue;
        if (allowed && std::find(allowed->begin(), allowed->end(), name) == allowed->end()) continue;
        auto& known = needs_.try_emplace(name, Need{need, job.priority()}).first->second;
        known.most = {std::max(known.most.cpus, need.cpus), std::max(known.most.gpus, need.gpus),
                      std::max(known.most.memoryGb, need.memoryGb)};
        known.lowest = std::min(known.lowest, job.priority());
    }
}

void AcceleratorPolicy::refresh(const std::vector<const Machine*>& up, Time now) {
    shared_.clear();
    plainRoom_.clear();
    for (const auto* machine : up) {
        const auto* type = machine->typeInfo;
        if (!type) continue;
        if (type->gpus <= 0 && usable(*machine, now)) {
            auto& room = plainRoom_[{machine->zone, machine->spot}];
            room += type->cpus - machine->used.cpus;
            for (const auto& stoppable : machine->stoppable) room += stoppable.cpus;
            room -= machine->stoppable.back().cpus;  // production is not stopped
        }
        if (const auto need = needs_.find(machine->type); need != needs_.end()) {
            auto& shared = shared_[machine->type];
            ++shared.all;
            const auto left = bookkeeping::sizeOf(*type) - machine->plainUse[bookkeeping::kReplicaUse];
            if (!left.covers(need->second.most)) ++shared.withoutRoom;
        }
    }
}

bool AcceleratorPolicy::allows(const Job& job, const Machine& machine, Time now) const {
    const auto* type = machine.typeInfo;
    if (!type || type->gpus <= 0 || job.spec.gpus > 0) return true;
    if (job.run->hasWaitedUnstarted(kMaxHeldBack, now)) return true;
    const bool service = job.spec.kind == JobKind::service;
    // A replica stays for as long as its service does, and would hold the dear machine for all that time.
    const bool waitsForPlain = service && now - job.run->waitingSince < kPlainMachinesOnly;
    if (waitsForPlain && plainMachineObtainable(job.spec, types_, capacityErrors_, now)) return false;
    const auto found = needs_.find(machine.type);
    if (found == needs_.end())
        return job.priority() < Priority::high || service || needsAcceleratorMachine(job.spec, types_);
    const auto& need = found->second;
    // It yields to those that need the machine.
    if (job.priority() < need.lowest && !service) return true;
    auto room = bookkeeping::sizeOf(*type) - bookkeeping::needOf(job.spec) -
                machine.plainUse[bookkeeping::kReplicaUse];
    for (auto priority = static_cast<std::size_t>(need.lowest); priority < bookkeeping::kPriorities;
         ++priority)
        room -= machine.plainUse[priority];
    if (room.covers(need.most)) return true;
    if (!service || plainMachineObtainable(job.spec, types_, capacityErrors_, now)) return false;
    const auto plain = plainRoom_.find({machine.zone, machine.spot});
    if (plain != plainRoom_.end() && plain->second > kPlainRoomReplicas * job.spec.cpus) return false;
    // Replicas have nowhere else to go. They share machines that others have given over to them.
    const bool givenOver = !(room + bookkeeping::needOf(job.spec)).covers(need.most);
    return givenOver || replicaMayShare(machine, now);
}

/// May a replica take a machine that has had room so far? It may take more of them as long as the cloud has
/// more, or up to an eighth of them all.
bool AcceleratorPolicy::replicaMayShare(const Machine& machine, Time now) const {
    if (machine.used.gpus > 0) return false;
    const auto found = shared_.find(machine.type);
    const bool few = found == shared_.end() || found->second.withoutRoom * kSharedOneOf < found->second.all;
    return few || moreObtainable(machine.type, now);
}

bool AcceleratorPolicy::moreObtainable(const std::string& type, Time now) const {
    const auto* known = bookkeeping::findType(types_, type);
    return !known || !capacityErrors_.unavailableEverywhere(*known, now);
}

}  // namespace burlpoint::coordination
