// What a history is made of, the troubles that a test brings about, and the steps of time.
#include "world.h"

#include "protocol/msgpack_codec.h"

namespace burlpoint::tests {

void World::submit(const JobSpec& spec) {
    if (outage()) return;
    for (const auto& id : spec.dependencies) {
        if (!specs_.contains(id)) return;  // 422
        if (cancelled_.contains(id)) cancelled_.try_emplace(spec.id, now_);
    }
    met.derived += cancelled_.contains(spec.id);
    std::vector<std::string> failed;
    const storage::JobRecord record{spec, storage::TerminalState::none, 0, 0, 4};
    store.transact({{storage::keys::job(spec.id), 0}},
                   {{storage::keys::job(spec.id), storage::encodeJob(record), 0}}, failed);
    specs_.try_emplace(spec.id, spec);
}

void World::cancel(const std::string& id) {
    if (!specs_.contains(id)) return;
    if (outage()) {
        ++met.unstored;
        at(1s, [this, id] { cancel(id); });
        return;
    }
    const auto key = storage::keys::job(id);
    const auto& value = store.values.at(key);
    auto record = storage::decodeJob(protocol::unpackBody(value.data).get());
    if (terminalStateOf(id) != storage::TerminalState::none) return;
    record.terminalState = storage::TerminalState::cancelled;
    std::vector<std::string> failed;
    store.transact({{key, value.version}}, {{key, storage::encodeJob(record), 0}}, failed);
    cancelled_[id] = now_;
    for (const auto& [other, spec] : specs_)
        if (!cancelled_.contains(other) && terminalStateOf(other) == storage::TerminalState::cancelled) {
            cancelled_[other] = now_;
            ++met.derived;
        }
    for (const auto& machine : holding(id))
        met.hungCancels += reachable(machine) == nullptr || workers_.at(machine).unreachableUntil > now_;
}

void World::ask(const std::string& id) {
    if (outage() || !specs_.contains(id)) return;
    if (!store.values.contains(storage::keys::job(id))) return broken.push_back("forgotten: " + id);
    const auto terminalState = terminalStateOf(id);
    // What any node answers that has read the store: all of them must derive the same from it.
    read(asked_, askedRead_);
    if (asked_.find(id)->terminalState != terminalState) broken.push_back("orphaned or went_back: " + id);
    auto& before = answered_[id];
    if (before != storage::TerminalState::none && before != terminalState)
        broken.push_back("went_back: " + id);
    before = terminalState;
}

void World::lowerLimits(Seconds after, StubLimits limits) {
    lowered_ = limits;
    nextSecond_ = now_ + ticks(after);
}

void World::storeOutage(Seconds time) {
    storeOutUntil_ = now_ + ticks(time);
    if (tenant_ && tenant_->severed()) return;
    if (tenant_) readStore(*tenant_);
}

void World::refuseLeader(Seconds most) {
    if (tenant_ && !tenant_->severed()) tenant_->leaderLeaseEnds = now_ + span(0.5, most.count());
}

void World::endLeader(Seconds pause) {
    tenant_.reset();
    electionAt_ = now_ + ticks(pause);
}

void World::cutZone(const std::string& zone, Seconds time, bool leaderInside) {
    cutZone_ = zone;
    zoneCutUntil_ = now_ + ticks(time);
    if (!leaderInside || !tenant_) return;
    tenant_->inside = true;
    refuseLeader(Seconds(8));
}

std::vector<std::string> World::holding(const std::string& job) const {
    std::vector<std::string> out;
    for (const auto& [id, w] : workers_)
        if (present(w) && std::any_of(w.tasks.begin(), w.tasks.end(), [&](const auto& t) {
                return t.second.state != TaskState::exited && (job.empty() || t.first.job == job);
            }))
            out.push_back(id);
    return out;
}

void World::makeUnreachable(const std::string& id, Seconds time) {
    workers_.at(id).unreachableUntil = now_ + ticks(time);
}

void World::lose(const std::string& id) {
    workers_.at(id).dead = true;
    workers_.at(id).tasks.clear();
}

storage::TerminalState World::terminalStateOf(const std::string& id) const {
    const auto stored = recordOf(id).terminalState;
    if (stored != storage::TerminalState::none) return stored;
    const auto& needs = specs_.at(id).dependencies;
    const bool cancelled = std::any_of(needs.begin(), needs.end(), [&](const auto& needed) {
        return terminalStateOf(needed) == storage::TerminalState::cancelled;
    });
    return cancelled ? storage::TerminalState::cancelled : stored;
}

storage::JobRecord World::recordOf(const std::string& id) const {
    return storage::decodeJob(protocol::unpackBody(store.values.at(storage::keys::job(id)).data).get());
}

bool World::allDone(const std::string& id) const {
    for (std::uint32_t t = 0; t < specs_.at(id).tasks; ++t)
        if (!completed.contains(id + "/" + std::to_string(t))) return false;
    return true;
}

bool World::free(const std::string& id) const {
    const auto& needs = specs_.at(id).dependencies;
    return std::all_of(needs.begin(), needs.end(), [&](const auto& needed) {
        return recordOf(needed).terminalState == storage::TerminalState::done;
    });
}

void World::calm() {
    faults_ = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0};
    latency_ = Seconds(0);
    calmSince_ = now_;
}

void World::run(Seconds time) {
    const auto end = now_ + std::chrono::duration_cast<Clock::duration>(time);
    while (now_ < end) {
        now_ += 100ms;
        step();
        checkStore();
        checkCancelled();
        if (calmSince_ && now_ >= nextLook_) {
            nextLook_ = now_ + 1s;
            checkWaiting();
        }
    }
}

std::string World::runningOn() const {
    std::string out;
    for (const auto& [id, w] : workers_)
        for (const auto& [a, t] : w.tasks)
            if (present(w) && t.state != protocol::TaskState::exited)
                out += a.job + "/" + std::to_string(a.task) + "@" + id + " ";
    return out;
}

std::string World::explain(const std::string& id) {
    const auto& s = specs_.at(id);
    std::string out = id + " team " + s.team + " kind " + std::to_string(static_cast<int>(s.kind)) +
                      " tasks " + std::to_string(s.tasks) + " cpus " + std::to_string(s.cpus) + " gpus " +
                      std::to_string(s.gpus) + " zone " + s.zone.value_or("-") + " together " +
                      std::to_string(s.singleZone) + " apart " + std::to_string(s.spreadZones);
    if (!tenant_) return out + ": no leader";
    const auto* job = tenant_->replica.find(id);
    out += ": done " + std::to_string(job->doneCount);
    if (job->run)
        out += " waiting " + std::to_string(job->run->waiting) + " possible " +
               std::to_string(job->run->placedTotal) + " unstored " +
               std::to_string(job->run->unpersistedTasks.size()) + " errors on " +
               std::to_string(job->run->errorMachines.size());
    out += "; last conflict " + lastFailed_ + "; " + tenant_->leader->stateWriter().summary();
    for (const auto& [name, m] : tenant_->leader->fleet().machines())
        out += "\n  " + name + " " + m->type + "/" + m->zone + (m->spot ? "/spot" : "") + " heard " +
               std::to_string(m->acknowledged) + " settled " + std::to_string(m->reconciled) + " roster " +
               std::to_string(static_cast<int>(m->registration)) + " draining " +
               std::to_string(m->draining) + " releasing " + std::to_string(m->deletionRequested) +
               " errors " + std::to_string(m->errorJobs.size()) + " tasks " +
               std::to_string(m->placements.size());
    return out;
}

Clock::duration World::span(double from, double to) {
    return std::chrono::duration_cast<Clock::duration>(
        Seconds(std::uniform_real_distribution<>(from, to)(random_)));
}

void World::at(Clock::duration delay, std::function<void()> what) {
    events_.emplace(now_ + delay, std::move(what));
}

bool World::present(const Worker& w) const {
    return w.up && !w.dead &&
           Seconds(now_ - w.answeredSent).count() * w.drift <= settings.workerLease.count();
}

void World::step() {
    if (lowered_ && now_ >= nextSecond_) {
        store.limits = *lowered_;
        nextSecond_ = now_ + 1s;
    }
    while (!events_.empty() && events_.begin()->first <= now_) {
        const auto what = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        what();
    }
    const double perStep = 0.1;
    if (!tenant_ && now_ >= electionAt_ && !outage()) takeOver();
    if (tenant_ && chance(faults_.crash * perStep)) crash();
    if (tenant_ && !tenant_->severed() && chance(faults_.sever * perStep))
        tenant_->leaderLeaseEnds = now_ + span(1, 8);
    if (tenant_ && now_ >= tenant_->leaderLeaseEnds) crash();
    if (tenant_) {
        const bool read = chance(0.5) || now_ - tenant_->lastRead >= 400ms + ticks(latency_);
        if (read && !tenant_->severed() && !outage()) readStore(*tenant_);
        if (tenant_) tell(coordination::Tick{});
    }
    for (auto& [id, worker] : workers_) stepWorker(worker, perStep);
}

void World::crash() {
    tenant_.reset();
    // Back at once, or another node after the lease; nothing says that messages on the way are lost.
    electionAt_ = now_ + (chance(0.3) ? Clock::duration(200ms) : span(1, 8));
}

void World::takeOver() {
    ++takeOvers;
    noteFullTeams();
    auto tenant = std::make_shared<Tenant>();
    tenant->fencingToken =
        storage::decodeToken(protocol::unpackBody(store.values.at(storage::keys::kToken).data).get()) + 1;
    std::vector<std::string> failed;
    store.transact({}, {{storage::keys::kToken, storage::encodeToken(tenant->fencingToken), 0}}, failed);
    readStore(*tenant);
    tenant->leader =
        std::make_unique<Leader>(settings, policy, tenant->replica, tenant->fencingToken, now_, 0);
    tenant_ = std::move(tenant);
    for (auto& heartbeat : std::exchange(held_, {})) at(span(0.1, 6), std::move(heartbeat));
}

void World::noteFullTeams() {
    std::map<std::string, double> use;
    bool suspected = false;
    for (const auto& [id, w] : workers_) {
        if (!present(w)) continue;
        suspected |= !w.tasks.empty() && !reachable(id);
        for (const auto& [a, t] : w.tasks)
            if (t.state != TaskState::exited) use[specs_.at(a.job).team] += specs_.at(a.job).cpus;
    }
    for (const auto& [name, cpus] : use) {
        const auto* team = settings.team(name);
        met.fullTeams += suspected && team->maxCpus > 0 && cpus + 3 > team->maxCpus;
    }
}

std::vector<bookkeeping::Change> World::read(bookkeeping::StateReplica& replica, std::size_t& at) {
    std::vector<bookkeeping::Change> changes;
    for (; at < store.log.size(); ++at) {
        const auto& event = store.log[at];
        msgpack::object_handle handle;
        if (event.data) handle = protocol::unpackBody(*event.data);
        replica.apply({event.key, event.data ? &handle.get() : nullptr, event.version}, changes);
    }
    return changes;
}

void World::readStore(Tenant& tenant) {
    tenant.lastRead = now_;
    const auto changes = read(tenant.replica, tenant.read);
    coordination::JobsChanged jobs;
    for (const auto& change : changes)
        if (change.kind == bookkeeping::ChangeKind::job) jobs.ids.push_back(change.id);
    if (tenant.leader && !jobs.ids.empty()) tell(std::move(jobs));
}

void World::tell(coordination::LeaderEvent event) {
    if (!tenant_) return;
    const auto tenant = tenant_;
    auto actions = tenant->leader->handle(std::move(event), now_);
    if (++told_ % 16 == 0)
        if (const auto wrong = recount(tenant->leader->fleet(), tenant->replica); !wrong.empty())
            broken.push_back("recount: " + wrong);
    for (auto& action : actions) {
        if (tenant_ != tenant) return;
        if (onAction) onAction(action);
        std::visit([&](auto& a) { perform(a); }, action);
    }
}

void World::deliverLater(Clock::duration delay, std::uint64_t fencingToken, coordination::LeaderEvent event) {
    at(delay, [this, fencingToken, event = std::move(event)]() mutable {
        if (tenant_ && tenant_->fencingToken == fencingToken) tell(std::move(event));
    });
}

}  // namespace burlpoint::tests
