#include "bookkeeping/fleet.h"

#include <algorithm>

namespace burlpoint::bookkeeping {

Machine* Fleet::find(const std::string& id) {
    const auto found = machines_.find(id);
    return found == machines_.end() ? nullptr : found->second.get();
}

Machine& Fleet::add(const std::string& id, Time now) {
    auto& slot = machines_[id];
    if (!slot) {
        slot = std::make_unique<Machine>();
        slot->id = id;
        slot->cloud.firstSeenAt = now;
        slot->history.lastBusyAt = now;
    }
    return *slot;
}

void Fleet::erase(const std::string& id) {
    const auto found = machines_.find(id);
    if (found == machines_.end()) return;
    auto& machine = *found->second;
    setRegistration(machine, RegistrationState::absent);
    cancelReservation(machine);
    for (const auto& [image, gb] : machine.images) std::erase(byImage_[image], &machine);
    machines_.erase(found);
}

void Fleet::setReconciled(Machine& machine, bool reconciled) {
    machine.registry.reconciled = reconciled;
    updateUnreconciled(machine);
}

void Fleet::setRegistration(Machine& machine, RegistrationState registration) {
    machine.registry.state = registration;
    updateUnreconciled(machine);
}

/// Updates whether the machine counts in the numbers of unreconciled machines.
void Fleet::updateUnreconciled(Machine& machine) {
    const bool shouldCount =
        machine.registry.state == RegistrationState::stored && !machine.registry.reconciled;
    if (shouldCount == machine.registry.countedUnreconciled) return;
    machine.registry.countedUnreconciled = shouldCount;
    const Offering offering{machine.type, machine.zone, machine.spot};
    if (shouldCount)
        ++unreconciled_[offering];
    else if (const auto found = unreconciled_.find(offering); --found->second == 0)
        unreconciled_.erase(found);
}

void Fleet::recordImageUse(Machine& machine, const Image& image, double gb, double cacheGb) {
    auto& images = machine.images;
    if (!images.empty() && images.front().image == image) return;
    const bool wasCached =
        std::erase_if(images, [&](const auto& cached) { return cached.image == image; }) > 0;
    if (!wasCached) byImage_[image].push_back(&machine);
    images.insert(images.begin(), {image, gb});
    evictImages(machine, cacheGb);
}

/// Evicts the least recently used images beyond `cacheGb`, but never the most recently used one.
void Fleet::evictImages(Machine& machine, double cacheGb) {
    auto& images = machine.images;
    double total = 0;
    auto firstEvicted = images.begin();
    for (; firstEvicted != images.end(); ++firstEvicted) {
        total += firstEvicted->gb;
        if (total > cacheGb && firstEvicted != images.begin()) break;
    }
    for (auto at = firstEvicted; at != images.end(); ++at) std::erase(byImage_[at->image], &machine);
    images.erase(firstEvicted, images.end());
}

const std::vector<Machine*>& Fleet::machinesWithImage(const Image& image) const {
    static const std::vector<Machine*> kNone;
    const auto found = byImage_.find(image);
    return found == byImage_.end() ? kNone : found->second;
}

void Fleet::reserve(Machine& machine, const Job& job, Time until, ReservationKind kind, std::uint32_t tasks) {
    if (machine.reservation.job != &job) cancelReservation(machine);
    machine.reservation.job = &job;
    machine.reservation.until = until;
    machine.reservation.withoutPreemption = kind == ReservationKind::waiting;
    machine.reservation.tasks = tasks;
    reserved_[&job].insert(&machine);
}

void Fleet::cancelReservation(Machine& machine) {
    if (const auto found = reserved_.find(machine.reservation.job); found != reserved_.end()) {
        found->second.erase(&machine);
        if (found->second.empty()) reserved_.erase(found);
    }
    machine.reservation.job = nullptr;
    machine.reservation.until = {};
    machine.reservation.withoutPreemption = false;
    machine.reservation.tasks = 1;
}

std::size_t Fleet::reservedMachineCount(const Job& job, Time now) const {
    const auto found = reserved_.find(&job);
    if (found == reserved_.end()) return 0;
    return static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(),
                      [&](const auto* machine) { return machine->reservation.isActive(now); }));
}

/// Adds or subtracts one task of the job in all running sums of resource use.
void Fleet::updateUse(Machine& machine, const Job& job, UseChange direction) {
    const auto& spec = job.spec;
    const auto need = needOf(spec);
    const auto change = [&](Resources& sum) {
        if (direction == UseChange::add)
            sum += need;
        else
            sum -= need;
    };
    const bool service = spec.kind == protocol::JobKind::service;
    const auto priority = static_cast<std::size_t>(job.priority());
    change(machine.use.total);
    change(teamUse_[spec.team]);
    if (spec.gpus <= 0) change(machine.use.withoutAccelerators[service ? kReplicaUse : priority]);
    if (isPreemptible(job)) change(machine.use.preemptible[priority]);
    if (direction == UseChange::subtract && machine.placements.empty()) clearUse(machine);
}

/// Sets the sums of a machine without placements to zero, so that rounding errors do not accumulate in them.
void Fleet::clearUse(Machine& machine) {
    machine.use.total = {};
    machine.use.withoutAccelerators = {};
    machine.use.preemptible = {};
}

/// True if the resources of the job's tasks count in ResourceUse::preemptible.
bool Fleet::isPreemptible(const Job& job) {
    return job.spec.kind != protocol::JobKind::service && !isMultiTaskGang(job.spec);
}

Placement& Fleet::place(Machine& machine, Job& job, std::uint32_t task, std::uint64_t attempt,
                        PlacementState state, Time now) {
    Placement placement;
    placement.job = &job;
    placement.task = task;
    placement.attempt = attempt;
    placement.state = state;
    placement.since = now;
    placement.runningSince = now;
    placement.listedInStatus = true;
    const auto [at, inserted] = machine.placements.emplace(AttemptKey{&job, task, attempt}, placement);
    if (!inserted) return at->second;
    updateUse(machine, job, UseChange::add);
    job.addPlaced(task, machine.id, machine.zone);
    if (state == PlacementState::running) ++job.run->running;
    return at->second;
}

std::map<AttemptKey, Placement>::iterator Fleet::remove(Machine& machine,
                                                        std::map<AttemptKey, Placement>::iterator at) {
    auto& placement = at->second;
    Job& job = *placement.job;
    if (placement.state == PlacementState::running) --job.run->running;
    job.removePlaced(placement.task, machine.id, machine.zone);
    const auto next = machine.placements.erase(at);
    updateUse(machine, job, UseChange::subtract);
    return next;
}

void Fleet::setState(Placement& placement, PlacementState state, Time now) {
    if (placement.state == state) return;
    if (placement.state == PlacementState::running) --placement.job->run->running;
    if (state == PlacementState::running) {
        ++placement.job->run->running;
        placement.runningSince = now;
    }
    placement.state = state;
    placement.since = now;
}

void Fleet::removeAll(Machine& machine, const std::function<void(const Placement&)>& removed) {
    while (!machine.placements.empty()) {
        const Placement placement = machine.placements.begin()->second;
        remove(machine, machine.placements.begin());
        removed(placement);
    }
}

void Fleet::setPriority(Job& job, protocol::Priority priority) {
    if (job.run->priority == priority) return;
    const auto placements = placementsOf(job);
    for (const auto& [machine, placement] : placements) updateUse(*machine, job, UseChange::subtract);
    job.run->priority = priority;
    for (const auto& [machine, placement] : placements) updateUse(*machine, job, UseChange::add);
}

Resources Fleet::teamUse(const std::string& team) const {
    const auto found = teamUse_.find(team);
    return found == teamUse_.end() ? Resources{} : found->second;
}

std::vector<std::pair<Machine*, Placement*>> Fleet::placementsOf(const Job& job) {
    std::vector<std::pair<Machine*, Placement*>> placements;
    if (!job.run || job.run->placedTotal == 0) return placements;
    for (const auto& [id, tasks] : job.run->machines) {
        auto* machine = find(id);
        auto at = machine->placements.lower_bound(AttemptKey{&job, 0, 0});
        for (; at != machine->placements.end() && at->first.job == &job; ++at)
            placements.emplace_back(machine, &at->second);
    }
    return placements;
}

}  // namespace burlpoint::bookkeeping
