#include "bookkeeping/fleet.h"

#include <limits>

namespace burlpoint::bookkeeping {

std::uint32_t Resources::times(const Resources& o) const {
    double most = protocol::kMaxTasks;
    const auto bound = [&](double have, double need) {
        if (need > 0) most = std::min(most, (have + 1e-6) / need);
    };
    bound(cpus, o.cpus);
    bound(gpus, o.gpus);
    bound(memoryGb, o.memoryGb);
    return most <= 0 ? 0 : static_cast<std::uint32_t>(most);
}

bool Machine::hasImage(const Image& image) const {
    return std::any_of(images.begin(), images.end(),
                       [&](const auto& cached) { return cached.image == image; });
}

bool Machine::isFetching(const Image& image) const {
    return std::any_of(placements.begin(), placements.end(), [&](const auto& entry) {
        const auto& placement = entry.second;
        const bool fetches =
            placement.state == PlacementState::sent || placement.state == PlacementState::fetching;
        return fetches && placement.job->image() == image;
    });
}

Machine* Fleet::find(const std::string& id) {
    const auto found = machines_.find(id);
    return found == machines_.end() ? nullptr : found->second.get();
}

Machine& Fleet::add(const std::string& id, Time now) {
    auto& slot = machines_[id];
    if (!slot) {
        slot = std::make_unique<Machine>();
        slot->id = id;
        slot->firstSeenAt = now;
        slot->lastBusyAt = now;
    }
    return *slot;
}

void Fleet::erase(const std::string& id) {
    const auto found = machines_.find(id);
    if (found == machines_.end()) return;
    auto& machine = *found->second;
    setRegistration(machine, RegistrationState::absent);
    reserve(machine, nullptr);
    for (const auto& [image, gb] : machine.images) std::erase(byImage_[image], &machine);
    machines_.erase(found);
}

void Fleet::setReconciled(Machine& machine, bool reconciled) {
    machine.reconciled = reconciled;
    count(machine);
}

void Fleet::setRegistration(Machine& machine, RegistrationState registration) {
    machine.registration = registration;
    count(machine);
}

void Fleet::count(Machine& machine) {
    const bool counts = machine.registration == RegistrationState::stored && !machine.reconciled;
    if (counts == machine.countedUnreconciled) return;
    machine.countedUnreconciled = counts;
    const Offering offering{machine.type, machine.zone, machine.spot};
    if (counts)
        ++unreconciled_[offering];
    else if (const auto found = unreconciled_.find(offering); --found->second == 0)
        unreconciled_.erase(found);
}

void Fleet::useImage(Machine& machine, const Image& image, double gb, double cacheGb) {
    auto& images = machine.images;
    if (!images.empty() && images.front().image == image) return;
    if (std::erase_if(images, [&](const auto& cached) { return cached.image == image; }) == 0)
        byImage_[image].push_back(&machine);
    images.insert(images.begin(), {image, gb});
    double total = 0;
    for (std::size_t i = 0; i < images.size(); ++i) {
        total += images[i].gb;
        if (total <= cacheGb || i == 0) continue;
        for (auto at = images.begin() + static_cast<std::ptrdiff_t>(i); at != images.end(); ++at)
            std::erase(byImage_[at->image], &machine);
        images.erase(images.begin() + static_cast<std::ptrdiff_t>(i), images.end());
        return;
    }
}

const std::vector<Machine*>& Fleet::withImage(const Image& image) const {
    static const std::vector<Machine*> kNone;
    const auto found = byImage_.find(image);
    return found == byImage_.end() ? kNone : found->second;
}

void Fleet::reserve(Machine& machine, const Job* job, Time until, bool holding, std::uint32_t tasks) {
    if (machine.reservedFor && machine.reservedFor != job)
        if (const auto found = reserved_.find(machine.reservedFor); found != reserved_.end()) {
            found->second.erase(&machine);
            if (found->second.empty()) reserved_.erase(found);
        }
    machine.reservedFor = job;
    machine.reservedUntil = until;
    machine.holding = holding;
    machine.reserved = tasks;
    if (job) reserved_[job].insert(&machine);
}

std::size_t Fleet::reservations(const Job& job, Time now) const {
    const auto found = reserved_.find(&job);
    if (found == reserved_.end()) return 0;
    return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(),
                                                  [&](const auto* m) { return m->isReserved(now); }));
}

void Fleet::account(Machine& machine, const Job& job, bool added) {
    const auto& spec = job.spec;
    const auto need = needOf(spec);
    const auto change = [&](Resources& total) {
        if (added)
            total += need;
        else
            total -= need;
    };
    const bool service = spec.kind == protocol::JobKind::service;
    const auto priority = static_cast<std::size_t>(job.priority());
    change(machine.used);
    change(teamUse_[spec.team]);
    if (spec.gpus <= 0) change(machine.plainUse[service ? kReplicaUse : priority]);
    if (!service && (spec.kind != protocol::JobKind::gang || spec.tasks == 1))
        change(machine.stoppable[priority]);
    if (!added && machine.placements.empty()) {  // no residue of rounding
        machine.used = {};
        machine.plainUse = {};
        machine.stoppable = {};
    }
}

Placement& Fleet::place(Machine& machine, Job& job, std::uint32_t task, std::uint64_t attempt,
                        PlacementState state, Time now) {
    Placement placement{&job, task, attempt, state, 0, now, now, false, Seconds(0), true};
    const auto [at, fresh] = machine.placements.emplace(AttemptKey{&job, task, attempt}, placement);
    if (!fresh) return at->second;
    account(machine, job, true);
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
    account(machine, job, false);
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

void Fleet::removeAll(Machine& machine, const std::function<void(const Placement&)>& gone) {
    while (!machine.placements.empty()) {
        const Placement placement = machine.placements.begin()->second;
        remove(machine, machine.placements.begin());
        gone(placement);
    }
}

void Fleet::setPriority(Job& job, protocol::Priority priority) {
    if (job.run->priority == priority) return;
    const auto placements = placementsOf(job);
    for (const auto& [machine, placement] : placements) account(*machine, job, false);
    job.run->priority = priority;
    for (const auto& [machine, placement] : placements) account(*machine, job, true);
}

Resources Fleet::teamUse(const std::string& team) const {
    const auto found = teamUse_.find(team);
    return found == teamUse_.end() ? Resources{} : found->second;
}

std::vector<std::pair<Machine*, Placement*>> Fleet::placementsOf(const Job& job) {
    std::vector<std::pair<Machine*, Placement*>> out;
    if (!job.run || job.run->placedTotal == 0) return out;
    for (const auto& [id, tasks] : job.run->machines) {
        auto* machine = find(id);
        auto at = machine->placements.lower_bound(AttemptKey{&job, 0, 0});
        for (; at != machine->placements.end() && at->first.job == &job; ++at)
            out.emplace_back(machine, &at->second);
    }
    return out;
}

}  // namespace burlpoint::bookkeeping
