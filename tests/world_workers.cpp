// What workers do: reports, leases, tasks, and the troubles that befall them.
#include "base/clock.h"
#include "world.h"

namespace burlpoint::tests {

World::Worker* World::reachable(const std::string& id) {
    const auto found = workers_.find(id);
    if (found == workers_.end()) return nullptr;
    auto& w = found->second;
    return w.up && !w.dead && w.hungUntil <= now_ && w.cutUntil <= now_ ? &w : nullptr;
}

World::Worker* World::hearing(const std::string& id, bool inside) {
    auto* w = reachable(id);
    return w && w->unreachableUntil <= now_ && linked(*w, inside) ? w : nullptr;
}

bool World::linked(const Worker& w, bool inside) const {
    return now_ >= zoneCutUntil_ || inside == (w.zone == cutZone_);
}

Heartbeat World::heartbeatOf(Worker& w) {
    Heartbeat r{w.id, w.id, w.type, w.zone, w.spot, w.incarnation, ++w.sequence, w.fencingToken, {}, {}};
    if (w.interruptionAt) r.interruptionNotice = std::max(Seconds(0), Seconds(*w.interruptionAt - now_));
    for (const auto& [attempt, task] : w.tasks) r.tasks.push_back({attempt, task.state, task.why, false});
    return r;
}

void World::drawTroubles(Worker& w, double perStep) {
    if (chance(faults_.hang * perStep)) w.hungUntil = now_ + span(1, 18);
    if (chance(faults_.cut * perStep)) w.cutUntil = now_ + span(1, 25);
    if (chance(faults_.unreachable * perStep)) w.unreachableUntil = now_ + span(3, 60);
    if (rarely(faults_.mute * perStep)) w.muteUntil = now_ + span(3, 40);
    if (std::max({w.hungUntil, w.cutUntil, w.unreachableUntil, w.muteUntil}) > now_ || w.interruptionAt)
        w.troubledAt = now_;
    if (const bool anew = chance(faults_.anew * perStep); anew || chance(faults_.back * perStep)) {
        w.tasks.clear();
        w.incarnation = anew ? 1 : w.incarnation + 1;
        if (anew) w.sequence = w.fencingToken = 0;
        w.answeredSent = now_;
        w.inFlight = 0;
        w.changed = true;
        w.troubledAt = now_;
    }
    if (w.spot && !w.interruptionAt && chance(faults_.drainForInterruption * perStep))
        w.interruptionAt = now_ + span(3, 9);
}

void World::stepWorker(Worker& w, double perStep) {
    if (w.dead) return;
    if (!w.up) {
        if (now_ < w.bootAt) return;
        w.up = true;
        w.answeredSent = now_;
    }
    if (chance(faults_.die * perStep) || (w.interruptionAt && now_ >= *w.interruptionAt)) {
        w.dead = true;
        w.tasks.clear();
        return;
    }
    drawTroubles(w, perStep);
    if (w.hungUntil > now_) return;
    if (!present(w)) {
        w.tasks.clear();
        ++w.incarnation;
        w.troubledAt = now_;
        w.answeredSent = now_;
        w.inFlight = 0;
        w.changed = true;
    }
    for (auto& [attempt, task] : w.tasks) stepTask(w, attempt, task);
    if (w.inFlight && now_ - w.heartbeatSent > 4s) {
        w.inFlight = 0;
        w.nextHeartbeat = now_ + 1s;
    }
    if (w.inFlight || now_ < w.nextHeartbeat) {
        if (!w.changed || w.inFlight || now_ - w.heartbeatSent < 500ms) return;
    }
    sendHeartbeat(w);
}

void World::sendHeartbeat(Worker& w) {
    w.changed = false;
    w.heartbeatSent = now_;
    w.nextHeartbeat = now_ + span(1.5, 2.5);
    w.inFlight = ++requests_;
    heartbeats_[w.inFlight] = {w.id, w.incarnation};
    const auto heartbeat = heartbeatOf(w);
    if (w.cutUntil > now_) {  // held back, and delivered when the cut ends
        if (chance(0.5))
            at(w.cutUntil - now_, [this, heartbeat, request = requests_] { arrive(heartbeat, request); });
        return;
    }
    if (w.muteUntil > now_) return;
    if (rarely(faults_.heldBack)) {
        const auto copy = ++requests_;
        heartbeats_[copy] = {w.id, w.incarnation};
        held_.push_back([this, heartbeat, copy] {
            ++met.heldHeartbeats;
            met.earlierSessions += heartbeat.incarnation < workers_.at(heartbeat.machine).incarnation;
            arrive(heartbeat, copy);
        });
    }
    if (chance(faults_.copy)) {
        const auto copy = ++requests_;  // nobody waits for its answer
        heartbeats_[copy] = {w.id, w.incarnation};
        at(span(0.1, chance(0.5) ? 3 : 50), [this, heartbeat, copy] { arrive(heartbeat, copy); });
    }
    if (chance(faults_.lose)) return;
    at(chance(faults_.late) ? span(0, 10) : span(0, 0.2),
       [this, heartbeat, request = w.inFlight] { arrive(heartbeat, request); });
}

void World::arrive(const Heartbeat& heartbeat, std::uint64_t request) {
    if (tenant_ && linked(workers_.at(heartbeat.machine), tenant_->inside))
        tell(coordination::HeartbeatReceived{request, heartbeat});
}

void World::exit(Worker& w, Task& task, ExitReason why) {
    task.state = TaskState::exited;
    task.why = why;
    w.changed = true;
}

std::size_t World::membersOfGang(const Attempt& attempt,
                                 const std::function<bool(const Task&)>& counts) const {
    std::size_t members = 0;
    for (const auto& [id, w] : workers_) {
        if (!present(w)) continue;
        members +=
            static_cast<std::size_t>(std::count_if(w.tasks.begin(), w.tasks.end(), [&](const auto& entry) {
                const auto& [member, task] = entry;
                return member.job == attempt.job && member.number == attempt.number && counts(task);
            }));
    }
    return members;
}

void World::stepTask(Worker& w, const Attempt& attempt, Task& task) {
    const auto& spec = specs_.at(attempt.job);
    if (task.state == TaskState::fetching && now_ >= task.next) {
        w.changed = true;
        task.since = now_;
        task.state = spec.kind == JobKind::gang && spec.tasks > 1 ? TaskState::waiting : TaskState::running;
        task.next = now_ + span(shortestRun.count(), longestRun.count());
        checkPlace(w, attempt);
    }
    if (task.state == TaskState::waiting) {
        const auto ready = membersOfGang(attempt, [](const Task& member) {
            return member.state == TaskState::waiting || member.state == TaskState::running;
        });
        if (ready == spec.tasks) {
            w.changed = true;
            task.state = TaskState::running;
        } else if (now_ - task.since > settings.gangWaitTimeout) {
            exit(w, task, ExitReason::alone);
        }
    }
    if (task.state == TaskState::running && spec.kind != JobKind::service && now_ >= task.next) {
        if (chance(faults_.error)) return exit(w, task, ExitReason::error);
        const auto done = [&](std::uint32_t t) { completed.insert(attempt.job + "/" + std::to_string(t)); };
        if (spec.kind == JobKind::gang)
            for (std::uint32_t t = 0; t < spec.tasks; ++t) done(t);
        else
            done(attempt.task);
        exit(w, task, ExitReason::done);
        if (rarely(faults_.atEnd) && allDone(attempt.job)) atEnd(attempt.job);
    }
    if (task.state == TaskState::saving && now_ >= task.next) exit(w, task, ExitReason::stopped);
    // The rest of a gang that lost a task leaves after a while.
    if (task.state == TaskState::running && spec.kind == JobKind::gang && spec.tasks > 1) {
        const auto others = membersOfGang(attempt, [](const Task& member) {
            return member.state != TaskState::exited || member.why == ExitReason::done;
        });
        if (others < spec.tasks && chance(0.05)) exit(w, task, ExitReason::peers);
    }
}

void World::atEnd(const std::string& id) {
    at(span(0, 0.6), [this, id] {
        met.endCancels += terminalStateOf(id) == storage::TerminalState::none;
        cancel(id);
    });
    for (int i = 0; i < 3; ++i) {
        at(span(0, 1.5), [this, id] { submit(specs_.at(id)); });
        at(span(0, 1.5), [this, id] { ask(id); });
        at(span(0, 60), [this, id] { ask(id); });
    }
}

void World::execute(Worker& w, const WorkerCommand& command) {
    const auto found = w.tasks.find(command.attempt);
    w.changed = true;
    switch (command.kind) {
        case protocol::CommandKind::start:
            if (found == w.tasks.end()) start(w, command.attempt);
            break;
        case protocol::CommandKind::stop:
            if (found == w.tasks.end() || found->second.state == TaskState::exited) break;
            if (found->second.state == TaskState::running &&
                specs_.at(command.attempt.job).checkpointInterval > Seconds(0) &&
                command.grace >= specs_.at(command.attempt.job).saveTime) {
                found->second.state = TaskState::saving;
                found->second.next = now_ + 1s;
            } else if (found->second.state != TaskState::saving || command.grace <= Seconds(0)) {
                exit(w, found->second, ExitReason::stopped);
            }
            break;
        case protocol::CommandKind::acknowledge:
            if (found != w.tasks.end() && found->second.state == TaskState::exited) {
                if (found->second.why == ExitReason::done) checkStored(command.attempt);
                w.tasks.erase(found);
            }
    }
}

void World::start(Worker& w, const Attempt& attempt) {
    ++starts;
    Task task;
    const auto& spec = specs_.at(attempt.job);
    double cpus = spec.cpus, gpus = spec.gpus;
    bool busy = false;
    for (const auto& [a, t] : w.tasks) {
        if (t.state == TaskState::exited) continue;
        cpus += specs_.at(a.job).cpus;
        gpus += specs_.at(a.job).gpus;
        busy |= a.job == attempt.job && a.task == attempt.task;
    }
    const double mostGpus = w.type == "gpu" ? 2 : 0;
    if (busy || cpus > 8.001 || gpus > mostGpus + 0.001) {
        task.state = TaskState::exited;
        task.why = busy ? ExitReason::busy : ExitReason::noRoom;
        ++refusals;
    } else {
        checkPlace(w, attempt);
        task.next = now_ + span(0.3, slowestFetch.count());
    }
    w.tasks[attempt] = task;
}

}  // namespace burlpoint::tests
