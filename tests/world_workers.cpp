// What workers do: reports, leases, tasks, and the troubles that befall them.
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

Report World::reportOf(Worker& w) {
    Report r{w.id, w.id, w.type, w.zone, w.spot, w.session, ++w.sequence, w.token, {}, {}};
    if (w.recallAt) r.notice = std::max(Seconds(0), Seconds(*w.recallAt - now_));
    for (const auto& [attempt, task] : w.tasks) r.tasks.push_back({attempt, task.state, task.why, false});
    return r;
}

void World::drawTroubles(Worker& w, double perStep) {
    if (chance(faults_.hang * perStep)) w.hungUntil = now_ + span(1, 18);
    if (chance(faults_.cut * perStep)) w.cutUntil = now_ + span(1, 25);
    if (chance(faults_.unreachable * perStep)) w.unreachableUntil = now_ + span(3, 60);
    if (rarely(faults_.mute * perStep)) w.muteUntil = now_ + span(3, 40);
    if (std::max({w.hungUntil, w.cutUntil, w.unreachableUntil, w.muteUntil}) > now_ || w.recallAt)
        w.troubledAt = now_;
    if (const bool anew = chance(faults_.anew * perStep); anew || chance(faults_.back * perStep)) {
        w.tasks.clear();
        w.session = anew ? 1 : w.session + 1;
        if (anew) w.sequence = w.token = 0;
        w.answeredSent = now_;
        w.inFlight = 0;
        w.changed = true;
        w.troubledAt = now_;
    }
    if (w.spot && !w.recallAt && chance(faults_.drainForRecall * perStep)) w.recallAt = now_ + span(3, 9);
}

void World::stepWorker(Worker& w, double perStep) {
    if (w.dead) return;
    if (!w.up) {
        if (now_ < w.bootAt) return;
        w.up = true;
        w.answeredSent = now_;
    }
    if (chance(faults_.die * perStep) || (w.recallAt && now_ >= *w.recallAt)) {
        w.dead = true;
        w.tasks.clear();
        return;
    }
    drawTroubles(w, perStep);
    if (w.hungUntil > now_) return;
    if (!present(w)) {
        w.tasks.clear();
        ++w.session;
        w.troubledAt = now_;
        w.answeredSent = now_;
        w.inFlight = 0;
        w.changed = true;
    }
    for (auto& [attempt, task] : w.tasks) stepTask(w, attempt, task);
    if (w.inFlight && now_ - w.reportSent > 4s) {
        w.inFlight = 0;
        w.nextReport = now_ + 1s;
    }
    if (w.inFlight || now_ < w.nextReport) {
        if (!w.changed || w.inFlight || now_ - w.reportSent < 500ms) return;
    }
    sendReport(w);
}

void World::sendReport(Worker& w) {
    w.changed = false;
    w.reportSent = now_;
    w.nextReport = now_ + span(1.5, 2.5);
    w.inFlight = ++requests_;
    reports_[w.inFlight] = {w.id, w.session};
    const auto report = reportOf(w);
    if (w.cutUntil > now_) {  // held back, and delivered when the cut ends
        if (chance(0.5))
            at(w.cutUntil - now_, [this, report, request = requests_] { arrive(report, request); });
        return;
    }
    if (w.muteUntil > now_) return;
    if (rarely(faults_.heldBack)) {
        const auto copy = ++requests_;
        reports_[copy] = {w.id, w.session};
        held_.push_back([this, report, copy] {
            ++met.heldReports;
            met.earlierSessions += report.session < workers_.at(report.machine).session;
            arrive(report, copy);
        });
    }
    if (chance(faults_.copy)) {
        const auto copy = ++requests_;  // nobody waits for its answer
        reports_[copy] = {w.id, w.session};
        at(span(0.1, chance(0.5) ? 3 : 50), [this, report, copy] { arrive(report, copy); });
    }
    if (chance(faults_.lose)) return;
    at(chance(faults_.late) ? span(0, 10) : span(0, 0.2),
       [this, report, request = w.inFlight] { arrive(report, request); });
}

void World::arrive(const Report& report, std::uint64_t request) {
    if (tenant_ && linked(workers_.at(report.machine), tenant_->inside))
        tell(coordination::ReportArrived{request, report});
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
        task.state = spec.kind == Kind::gang && spec.tasks > 1 ? TaskState::waiting : TaskState::running;
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
        } else if (now_ - task.since > settings.gangWait) {
            exit(w, task, ExitReason::alone);
        }
    }
    if (task.state == TaskState::running && spec.kind != Kind::service && now_ >= task.next) {
        if (chance(faults_.error)) return exit(w, task, ExitReason::error);
        const auto done = [&](std::uint32_t t) { completed.insert(attempt.job + "/" + std::to_string(t)); };
        if (spec.kind == Kind::gang)
            for (std::uint32_t t = 0; t < spec.tasks; ++t) done(t);
        else
            done(attempt.task);
        exit(w, task, ExitReason::done);
        if (rarely(faults_.atEnd) && allDone(attempt.job)) atEnd(attempt.job);
    }
    if (task.state == TaskState::saving && now_ >= task.next) exit(w, task, ExitReason::stopped);
    // The rest of a gang that lost a task leaves after a while.
    if (task.state == TaskState::running && spec.kind == Kind::gang && spec.tasks > 1) {
        const auto others = membersOfGang(attempt, [](const Task& member) {
            return member.state != TaskState::exited || member.why == ExitReason::done;
        });
        if (others < spec.tasks && chance(0.05)) exit(w, task, ExitReason::peers);
    }
}

void World::atEnd(const std::string& id) {
    at(span(0, 0.6), [this, id] {
        met.endCancels += finalOf(id) == storage::Final::open;
        cancel(id);
    });
    for (int i = 0; i < 3; ++i) {
        at(span(0, 1.5), [this, id] { submit(specs_.at(id)); });
        at(span(0, 1.5), [this, id] { ask(id); });
        at(span(0, 60), [this, id] { ask(id); });
    }
}

void World::execute(Worker& w, const Order& order) {
    const auto found = w.tasks.find(order.attempt);
    w.changed = true;
    switch (order.op) {
        case protocol::Op::start:
            if (found == w.tasks.end()) start(w, order.attempt);
            break;
        case protocol::Op::stop:
            if (found == w.tasks.end() || found->second.state == TaskState::exited) break;
            if (found->second.state == TaskState::running &&
                specs_.at(order.attempt.job).checkpoint > Seconds(0) &&
                order.grace >= specs_.at(order.attempt.job).save) {
                found->second.state = TaskState::saving;
                found->second.next = now_ + 1s;
            } else if (found->second.state != TaskState::saving || order.grace <= Seconds(0)) {
                exit(w, found->second, ExitReason::stopped);
            }
            break;
        case protocol::Op::forget:
            if (found != w.tasks.end() && found->second.state == TaskState::exited) {
                if (found->second.why == ExitReason::done) checkStored(order.attempt);
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
