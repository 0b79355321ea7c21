#include "bookkeeping/fleet.h"

#include <limits>

namespace burlpoint::bookkeeping {

std::uint32_t Resources::times(const Resources& o) const {
    double most = protocol::kMostTasks;
    const auto bound = [&](double have, double need) {
        if (need > 0) most = std::min(most, (have + 1e-6) / need);
    };
    bound(cpus, o.cpus);
    bound(gpus, o.gpus);
    bound(memoryGb, o.memoryGb);
    return most <= 0 ? 0 : static_cast<std::uint32_t>(most);
}

bool Machine::hasImage(const std::string& image) const {
    return std::any_of(images.begin(), images.end(), [&](const auto& i) { return i.first == image; });
}

bool Machine::isFetching(const std::string& image) const {
    return std::any_of(places.begin(), places.end(), [&](const auto& entry) {
        const auto& p = entry.second;
        return p.job->spec.image == image && (p.state == PlaceState::sent || p.state == PlaceState::fetching);
    });
}

void Machine::useImage(const std::string& image, double gb, double cacheGb) {
    if (!images.empty() && images.front().first == image) return;
    std::erase_if(images, [&](const auto& i) { return i.first == image; });
    images.insert(images.begin(), {image, gb});
    double total = 0;
    for (std::size_t i = 0; i < images.size(); ++i) {
        total += images[i].second;
        if (total > cacheGb) {
            images.resize(std::max<std::size_t>(i, 1));
            return;
        }
    }
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
        slot->knownSince = now;
        slot->busyUntil = now;
    }
    return *slot;
}

void Fleet::erase(const std::string& id) { machines_.erase(id); }

Placement& Fleet::place(Machine& machine, Job& job, std::uint32_t task, std::uint64_t attempt,
                        PlaceState state, Time now) {
    Placement placement{&job, task, attempt, state, 0, now, now, false, Seconds(0), true};
    const auto [at, fresh] = machine.places.emplace(AttemptKey{&job, task, attempt}, placement);
    if (!fresh) return at->second;
    machine.used += needOf(job.spec);
    teamUse_[job.spec.team] += needOf(job.spec);
    job.addLive(task, machine.zone);
    if (state == PlaceState::running) ++job.run->running;
    return at->second;
}

std::map<AttemptKey, Placement>::iterator Fleet::remove(Machine& machine,
                                                        std::map<AttemptKey, Placement>::iterator at) {
    auto& placement = at->second;
    Job& job = *placement.job;
    if (placement.state == PlaceState::running) --job.run->running;
    machine.used -= needOf(job.spec);
    teamUse_[job.spec.team] -= needOf(job.spec);
    job.dropLive(placement.task, machine.zone);
    const auto next = machine.places.erase(at);
    if (machine.places.empty()) machine.used = {};  // no residue of rounding
    return next;
}

void Fleet::setState(Placement& placement, PlaceState state, Time now) {
    if (placement.state == state) return;
    if (placement.state == PlaceState::running) --placement.job->run->running;
    if (state == PlaceState::running) {
        ++placement.job->run->running;
        placement.runningSince = now;
    }
    placement.state = state;
    placement.since = now;
}

void Fleet::removeAll(Machine& machine, const std::function<void(const Placement&)>& gone) {
    while (!machine.places.empty()) {
        const Placement placement = machine.places.begin()->second;
        remove(machine, machine.places.begin());
        gone(placement);
    }
}

Resources Fleet::teamUse(const std::string& team) const {
    const auto found = teamUse_.find(team);
    return found == teamUse_.end() ? Resources{} : found->second;
}

std::vector<std::pair<Machine*, Placement*>> Fleet::placesOf(const Job& job) {
    std::vector<std::pair<Machine*, Placement*>> out;
    if (!job.run || job.run->liveTotal == 0) return out;
    for (auto& [id, machine] : machines_) {
        auto at = machine->places.lower_bound(AttemptKey{&job, 0, 0});
        for (; at != machine->places.end() && at->first.job == &job; ++at)
            out.emplace_back(machine.get(), &at->second);
    }
    return out;
}

}  // namespace burlpoint::bookkeeping
