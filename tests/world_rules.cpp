// The rules that are checked as a history goes on.
#include "protocol/msgpack_codec.h"
#include "world.h"

namespace burlpoint::tests {

void World::checkPlace(const Worker& w, const Attempt& attempt) {
    const auto& spec = specs_.at(attempt.job);
    const auto name = attempt.job + "/" + std::to_string(attempt.task);
    std::map<std::string, double> cpus, gpus;
    std::map<std::string, std::uint32_t> zones;
    for (const auto& [id, other] : workers_) {
        if (!present(other)) continue;
        for (const auto& [a, t] : other.tasks) {
            if (t.state == TaskState::exited || (id == w.id && a == attempt)) continue;
            cpus[specs_.at(a.job).team] += specs_.at(a.job).cpus;
            gpus[specs_.at(a.job).team] += specs_.at(a.job).gpus;
            if (a.job != attempt.job) continue;
            ++zones[other.zone];
            if (a.task == attempt.task) broken.push_back("ran_twice: " + name + " on " + id + " and " + w.id);
        }
    }
    if (!free(attempt.job)) broken.push_back("too_early: " + name);
    met.freedStarts += !spec.dependencies.empty();
    const auto* team = settings.team(spec.team);
    if ((team->maxCpus > 0 && cpus[spec.team] + spec.cpus > team->maxCpus + 1e-6) ||
        (team->maxGpus > 0 && gpus[spec.team] + spec.gpus > team->maxGpus + 1e-6))
        broken.push_back("quota: " + name);
    ++zones[w.zone];
    const bool place =
        (spec.types && std::find(spec.types->begin(), spec.types->end(), w.type) == spec.types->end()) ||
        (spec.zone && *spec.zone != w.zone) || (w.spot && !spec.spot) ||
        (spec.singleZone && zones.size() > 1) || (spec.spreadZones && zones[w.zone] > (spec.tasks + 1) / 2);
    if (place) broken.push_back("wrong_place: " + name + " on " + w.id);
    const auto gone = cancelled_.find(attempt.job);
    if (gone != cancelled_.end() && now_ - gone->second > settings.cancelTimeout)
        broken.push_back("ran_cancelled: " + name);
}

void World::checkStart(const WorkerCommand& command) {
    if (command.kind != protocol::CommandKind::start) return;
    const auto gone = cancelled_.find(command.attempt.job);
    if (gone == cancelled_.end()) return;
    const auto* job = tenant_->replica.find(command.attempt.job);
    const bool inTouch = !tenant_->severed() && !outage();
    if ((job && job->terminalState != storage::TerminalState::none) ||
        (inTouch && now_ - gone->second > 1s + ticks(latency_)))
        broken.push_back("started after its cancellation: " + command.attempt.job);
}

void World::checkCancelled() {
    for (const auto& [id, w] : workers_) {
        if (w.tasks.empty() || !present(w)) continue;
        for (const auto& [a, t] : w.tasks) {
            const auto found = cancelled_.find(a.job);
            if (t.state == TaskState::exited || found == cancelled_.end()) continue;
            if (now_ - found->second > settings.cancelTimeout && reported_.insert(a).second)
                broken.push_back("ran_cancelled: " + a.job + "/" + std::to_string(a.task) + " on " + id);
        }
    }
}

void World::checkStore() {
    for (; checked_ < store.log.size(); ++checked_) {
        const auto& event = store.log[checked_];
        const std::string prefix = storage::keys::kJobs;
        if (!event.key.starts_with(prefix)) continue;
        const auto id = event.key.substr(prefix.size());
        if (id.find('/') != std::string::npos) continue;
        if (!event.data) {
            broken.push_back("forgotten: " + id);
            continue;
        }
        const auto terminalState = storage::decodeJob(protocol::unpackBody(*event.data).get()).terminalState;
        auto& known = finals_[id];
        if (known != storage::TerminalState::none && terminalState != known)
            broken.push_back("went_back: " + id);
        if (terminalState == storage::TerminalState::cancelled && !cancelled_.contains(id))
            broken.push_back("went_back: nobody cancelled " + id);
        if (terminalState == storage::TerminalState::done && !free(id))
            broken.push_back("done before what it needs: " + id);
        if (terminalState == storage::TerminalState::done && known != storage::TerminalState::done &&
            !allDone(id))
            broken.push_back("not_done: " + id);
        known = terminalState;
    }
}

World::Usage World::currentUsage() const {
    Usage usage;
    for (const auto& [id, w] : workers_) {
        if (!present(w)) continue;
        for (const auto& [attempt, task] : w.tasks) {
            if (task.state == TaskState::exited) continue;
            const auto& spec = specs_.at(attempt.job);
            const auto need = bookkeeping::needOf(spec);
            usage.teams[spec.team] += need;
            usage.machines[id] += need;
            usage.jobs.insert(attempt.job);
        }
    }
    return usage;
}

bool World::mayHost(const Worker& w, const JobSpec& spec) const {
    if (!present(w) || now_ - w.troubledAt < 30s || now_ - w.bootAt < 30s) return false;
    if ((w.spot && !spec.spot) || (spec.zone && *spec.zone != w.zone)) return false;
    return !spec.types || std::find(spec.types->begin(), spec.types->end(), w.type) != spec.types->end();
}

std::uint32_t World::roomFor(const JobSpec& spec, Usage& usage) const {
    std::map<std::string, std::uint32_t> rooms;  // per zone
    for (const auto& [machine, w] : workers_) {
        if (!mayHost(w, spec)) continue;
        const auto& type = types_.at(w.type == "gpu" ? 1 : 0);
        const auto left = bookkeeping::sizeOf(type) - usage.machines[machine];
        rooms[w.zone] += left.times(bookkeeping::needOf(spec));
    }
    std::uint32_t all = 0, best = 0;
    for (const auto& [zone, room] : rooms) {
        best = std::max(best, room);
        all += spec.spreadZones ? std::min(room, (spec.tasks + 1) / 2) : room;
    }
    return spec.singleZone ? best : all;
}

bool World::couldBegin(const JobSpec& spec, Usage& usage) {
    if (usage.jobs.contains(spec.id) || terminalStateOf(spec.id) != storage::TerminalState::none ||
        allDone(spec.id) || !free(spec.id))
        return false;
    const auto need = bookkeeping::needOf(spec);
    const std::uint32_t wanted = spec.kind == JobKind::gang ? spec.tasks : 1;
    const auto* team = settings.team(spec.team);
    const auto use = usage.teams[spec.team];
    if (team->maxCpus > 0 && use.cpus + need.cpus * wanted > team->maxCpus + 1e-6) return false;
    if (team->maxGpus > 0 && use.gpus + need.gpus * wanted > team->maxGpus + 1e-6) return false;
    return roomFor(spec, usage) >= wanted;
}

void World::checkWaiting() {
    auto usage = currentUsage();
    for (const auto& [id, spec] : specs_) {
        if (!couldBegin(spec, usage)) {
            waiting_.erase(id);
            continue;
        }
        const auto since = waiting_.try_emplace(id, now_).first->second;
        if (now_ - since > 90s && waited_.insert(id).second)
            broken.push_back("waits beside room: " + explain(id));
    }
}

void World::checkStored(const Attempt& attempt) {
    const auto value = store.values.at(storage::keys::job(attempt.job));
    const auto record = storage::decodeJob(protocol::unpackBody(value.data).get());
    if (record.terminalState != storage::TerminalState::none || record.spec.kind == JobKind::service) return;
    std::vector<bool> bits(record.spec.tasks);
    const std::size_t chunk = attempt.task / record.chunkTasks;
    const auto found = store.values.find(storage::keys::doneChunk(attempt.job, chunk));
    if (found != store.values.end())
        storage::decodeBits(protocol::unpackBody(found->second.data).get(), bits, chunk * record.chunkTasks,
                            record.chunkTasks);
    if (!bits[attempt.task])
        broken.push_back("cleared before it was stored: " + attempt.job + "/" + std::to_string(attempt.task));
}

}  // namespace burlpoint::tests
