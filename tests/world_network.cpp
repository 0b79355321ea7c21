// The network between a leader and the workers, the key-value store and the cloud, with their faults.
#include "base/clock.h"
#include "world.h"

namespace burlpoint::tests {

void World::perform(coordination::AnswerHeartbeat& a) {
    const auto [worker, incarnation] = heartbeats_.at(a.request);
    if (a.verdict == coordination::HeartbeatVerdict::refused || chance(faults_.lose)) return;
    for (const auto& command : a.commands) checkStart(command);
    const auto delay = chance(faults_.late) ? span(0, 8) : span(0, 0.2);
    deliver(
        delay, worker,
        [this, id = worker, incarnation = incarnation, request = a.request,
         fencingToken = tenant_->fencingToken, commands = a.commands, inside = tenant_->inside] {
            auto* w = hearing(id, inside);
            if (!w || w->inFlight != request || w->incarnation != incarnation || now_ - w->heartbeatSent > 4s)
                return;
            w->inFlight = 0;
            if (fencingToken < w->fencingToken) return;
            if (fencingToken > w->fencingToken) w->changed = true;
            w->fencingToken = fencingToken;
            met.insideAnswers += inside;
            w->answeredSent = w->heartbeatSent;
            for (const auto& command : commands) execute(*w, command);
        });
}

void World::perform(coordination::SendCommands& a) {
    const auto fencingToken = tenant_->fencingToken;
    const bool late = chance(faults_.late);
    if (late || chance(faults_.lose))
        deliverLater(2500ms, fencingToken, coordination::CommandsAnswered{a.machine, std::nullopt, a.known});
    else if (!hearing(a.machine, tenant_->inside)) {
        if (rarely(faults_.heldUp)) later(a, fencingToken, tenant_->inside);
        return deliverLater(2500ms, fencingToken,
                            coordination::CommandsAnswered{a.machine, std::nullopt, a.known});
    }
    deliver(late ? span(3, 40) : span(0, 0.2), a.machine,
            [this, late, fencingToken, a, inside = tenant_->inside] {
                auto* w = hearing(a.machine, inside);
                if (!w) return;
                if (fencingToken >= w->fencingToken && a.incarnation == w->incarnation) {
                    met.muteCommands += w->muteUntil > now_;
                    if (fencingToken > w->fencingToken) w->changed = true;
                    w->fencingToken = fencingToken;
                    for (const auto& command : a.commands) execute(*w, command);
                }
                if (!late)
                    deliverLater(span(0, 0.2), fencingToken,
                                 coordination::CommandsAnswered{a.machine, heartbeatOf(*w), a.known});
            });
}

void World::deliver(Clock::duration delay, const std::string& id, std::function<void()> what) {
    if (!rarely(faults_.heldUp)) return at(delay, std::move(what));
    at(delay, [this, id, what = std::move(what)] {
        const auto& w = workers_.at(id);
        const auto until = std::max(w.hungUntil, w.cutUntil);
        at(std::max(until - now_, Clock::duration(0)), what);
    });
}

void World::later(const coordination::SendCommands& a, std::uint64_t fencingToken, bool inside) {
    const auto found = workers_.find(a.machine);
    if (found == workers_.end()) return;
    const auto until = std::max(found->second.hungUntil, found->second.cutUntil);
    at(std::max(until - now_, Clock::duration(0)), [this, a, fencingToken, inside] {
        auto* w = hearing(a.machine, inside);
        if (!w || fencingToken < w->fencingToken || a.incarnation != w->incarnation) return;
        ++met.heldCommands;
        if (fencingToken > w->fencingToken) w->changed = true;
        w->fencingToken = fencingToken;
        for (const auto& command : a.commands) execute(*w, command);
    });
}

void World::perform(coordination::WriteState& a) {
    const auto fencingToken = tenant_->fencingToken;
    const auto write = [this](const coordination::WriteState& w) {
        storage::TransactionResult result;
        if (const auto refusal = store.refusal(w.conditions, w.writes)) {
            result.status = *refusal;
            return result;
        }
        result.revision = store.transact(w.conditions, w.writes, result.failed);
        lastFailed_ = result.failed.empty() ? "" : result.failed.front();
        result.status =
            result.revision ? storage::TransactionStatus::applied : storage::TransactionStatus::conflict;
        return result;
    };
    if (a.writes.size() > settings.maxTransactionWrites) broken.push_back("transaction over its limit");
    if (tenant_->severed() || chance(faults_.late)) {  // no answer; carried out later or never
        if (chance(0.7)) at(span(0, 25), [this, write, a] { lateWrites += write(a).revision != 0; });
        return deliverLater(1500ms, fencingToken, coordination::StateWritten{});
    }
    if (rarely(faults_.afterwards)) {
        at(span(2, 12), [this, write, a] {
            const bool applied = write(a).revision != 0;
            lateWrites += applied;
            met.lateWritesFailed += !applied;
        });
        return deliverLater(1500ms, fencingToken, coordination::StateWritten{});
    }
    if (latency_ > Seconds(0)) {
        // Carried out somewhere on the way there and back, whether or not anybody still waits.
        const auto there = span(0, latency_.count()), back = span(0, latency_.count());
        at(there, [this, fencingToken, write, a, there, back] {
            const auto result = outage() ? refusal() : write(a);
            if (there + back <= 1500ms) deliverLater(back, fencingToken, coordination::StateWritten{result});
        });
        if (there + back > 1500ms) deliverLater(1500ms, fencingToken, coordination::StateWritten{});
        return;
    }
    if (outage() || chance(faults_.lose)) {
        storage::TransactionResult refused;
        refused.status = storage::TransactionStatus::refused;
        return deliverLater(10ms, fencingToken, coordination::StateWritten{refused});
    }
    at(span(0, 0.1), [this, fencingToken, write, a] {
        deliverLater(5ms, fencingToken, coordination::StateWritten{write(a)});
    });
}

void World::perform(coordination::RefreshReplica&) {
    at(20ms, [this, fencingToken = tenant_->fencingToken] {
        if (!tenant_ || tenant_->fencingToken != fencingToken) return;
        if (tenant_->severed() || outage())
            return tell(coordination::ReplicaRefreshed{coordination::RefreshOutcome::failed});
        readStore(*tenant_);
        tell(coordination::ReplicaRefreshed{coordination::RefreshOutcome::refreshed});
    });
}

void World::perform(coordination::ScaleOut& a) {
    const auto fencingToken = tenant_->fencingToken;
    const auto rent = [this, request = a.request] {
        auto& made = rented_[request.name];
        if (!made.empty()) return made;
        for (std::uint32_t i = 0; i < request.count && alive() < mostMachines; ++i) {
            Worker w;
            w.id = "m-" + std::to_string(100'000 + ++machines_);
            w.type = request.type;
            w.zone = request.zone;
            w.spot = request.spot;
            w.bootAt = now_ + span(0.5, 8);
            w.drift = 0.9995 + 0.001 * random01();
            made.push_back(w.id);
            workers_[w.id] = w;
        }
        return made;
    };
    if (chance(faults_.late)) {
        at(span(0, 20), [rent] { rent(); });
        coordination::ScaleOutCompleted unknown;
        unknown.name = a.request.name;
        return deliverLater(6s, fencingToken, unknown);
    }
    coordination::ScaleOutCompleted answer;
    answer.name = a.request.name;
    answer.machines = rent();
    answer.outcome = answer.machines.empty() ? coordination::InstanceRequestOutcome::rejected
                                             : coordination::InstanceRequestOutcome::fulfilled;
    deliverLater(span(0.1, 0.4), fencingToken, answer);
}

void World::perform(coordination::ScaleIn& a) {
    const auto remove = [this, a] {
        for (const auto& id : a.machines)
            if (const auto found = workers_.find(id); found != workers_.end()) found->second.dead = true;
    };
    const auto fencingToken = tenant_->fencingToken;
    if (chance(faults_.late)) {
        at(span(0, 20), remove);
        return deliverLater(
            6s, fencingToken,
            coordination::ScaleInCompleted{a.machines, coordination::ScaleInOutcome::unknown});
    }
    at(span(0.05, 0.2), [this, remove, fencingToken, a] {
        remove();
        deliverLater(50ms, fencingToken,
                     coordination::ScaleInCompleted{a.machines, coordination::ScaleInOutcome::accepted});
    });
}

void World::perform(coordination::ListMachines&) {
    coordination::MachinesListed listed;
    listed.requestedAt = now_;
    listed.complete = !chance(faults_.lose);
    for (const auto& [id, w] : workers_) {
        if (w.dead || now_ - w.bootAt < 0s) continue;
        listed.machines.push_back(
            {id, id, w.type, w.zone, w.spot, protocol::MachineState::running, Seconds(1)});
    }
    deliverLater(span(0.1, 4), tenant_->fencingToken, std::move(listed));
}

void World::perform(coordination::ListTypes&) {
    deliverLater(200ms, tenant_->fencingToken, coordination::TypesListed{types_});
}

std::size_t World::alive() const {
    return static_cast<std::size_t>(
        std::count_if(workers_.begin(), workers_.end(), [](const auto& e) { return !e.second.dead; }));
}

}  // namespace burlpoint::tests
