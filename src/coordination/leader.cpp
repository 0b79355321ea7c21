#include "coordination/leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/machine_status.h"
#include "coordination/worker_orders.h"

namespace burlpoint::coordination {

using bookkeeping::AttemptKey;
using bookkeeping::orderOf;
using bookkeeping::RosterState;
using protocol::ExitReason;
using protocol::Kind;
using protocol::TaskReport;
using protocol::TaskState;
using storage::Final;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kMaxUndelivered = 2;  // answers that did not get through, in a row
constexpr Seconds kGangReservation{5};        // machines of a stopped gang, beyond its save and reports

Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

PlacementState placementState(TaskState state) {
    switch (state) {
        case TaskState::waiting:
            return PlacementState::waiting;
        case TaskState::running:
            return PlacementState::running;
        case TaskState::saving:
            return PlacementState::saving;
        default:
            return PlacementState::fetching;
    }
}

}  // namespace

Clock::duration Leader::leaseBound(const Settings& settings) {
    // Both clocks may be off by 0.05% in opposite directions; the rest is for what a busy node notices late.
    return ticks(settings.lease * 1.002 + Seconds(0.3));
}

Leader::Leader(const Settings& settings, const Policy& policy, StateReplica& replica, std::uint64_t token,
               Time now, std::uint64_t dayMs)
    : settings_(settings),
      policy_(policy),
      replica_(replica),
      token_(token),
      began_(now),
      dayClock_(now, dayMs),
      now_(now),
      roster_(replica, fleet_),
      writer_(settings, replica, fleet_, roster_, types_, dayClock_, now),
      silence_(settings, fleet_, token, now, leaseBound(settings)),
      pacing_(settings, policy),
      order_(policy),
      zoneReservations_(policy),
      provisioner_(settings, policy, replica, token, now),
      accelerators_(types_, provisioner_.refusals()) {
    for (const auto& type : replica.types) types_[type.name] = type;
    for (const auto& [id, job] : replica.jobs()) {
        job->run.reset();
        if (job->final == Final::open && job->ready()) beginJob(*job, true);
    }
    for (const auto& [id, stored] : replica.roster) {
        auto& machine = findOrAddMachine(id, stored.record.type, stored.record.zone, stored.record.spot);
        if (!roster_.mayHoldTasks(id)) continue;  // noted as it was rented: it may boot still
        machine.address = stored.record.address;
        fleet_.setRoster(machine, RosterState::stored);
        // Whatever earlier leaders answered, they answered before now.
        machine.leaseUntil = now + leaseBound(settings);
        machine.lastReport = now;
    }
}

Leader::~Leader() {
    for (const auto& [id, job] : replica_.jobs()) job->run.reset();
}

std::vector<std::pair<std::string, std::uint32_t>> Leader::runningCounts() const {
    std::vector<std::pair<std::string, std::uint32_t>> out;
    for (const auto* job : order_.open())
        if (job->run && job->run->running > 0) out.emplace_back(job->spec.id, job->run->running);
    return out;
}

std::vector<Action> Leader::handle(Command command, Time now) {
    now_ = std::max(now_, now);
    std::visit([this](auto& c) { on(c); }, command);
    sendUrgentStops();
    if (auto write = writer_.nextWrite(now_)) actions_.push_back(std::move(*write));
    return std::exchange(actions_, {});
}

void Leader::beginJob(Job& job, bool inherited) {
    job.beginRun(inherited, now_);
    job.run->team = settings_.team(job.spec.team);
    for (const auto& objective : settings_.objectives)
        if (objective.kind == "wait" && objective.jobClass == job.spec.jobClass)
            job.run->tightWait = std::min(job.run->tightWait.value_or(objective.within), objective.within);
    job.run->readyAt = std::min(now_, dayClock_.steadyAt(job.readyMs));
    spdlog::debug("job {} {} of {} tasks, ready for {:.3f} s", job.spec.id, job.spec.jobClass, job.spec.tasks,
                  Seconds(now_ - job.run->readyAt).count());
    // An earlier leader may have stored the last bits and not the end of the job.
    if (job.doneCount == job.spec.tasks) writer_.noteUnstored(job);
    order_.add(job);
}

/// The machine's record; a new one is not in the roster, so no earlier leader gave the machine a task.
Machine& Leader::findOrAddMachine(const std::string& id, const std::string& type, const std::string& zone,
                                  bool spot) {
    const bool known = fleet_.find(id) != nullptr;
    auto& machine = fleet_.add(id, now_);
    if (known) return machine;
    machine.type = type;
    machine.zone = zone;
    machine.spot = spot;
    machine.kind = typeOf(type);
    machine.reconciled = !roster_.mayHoldTasks(id);
    // Back in the cloud's list, say: what is not newer than its last message stays old.
    if (const auto left = removedMachines_.find(id); left != removedMachines_.end()) {
        machine.session = left->second.session;
        machine.sequence = left->second.sequence;
    }
    return machine;
}

// --- workers ----------------------------------------------------------------------------------------------

void Leader::on(ReportArrived& command) {
    const Report& report = command.report;
    if (report.token > token_) {
        // Another node leads by now: its token outranks ours wherever it was seen.
        refuse(command);
        actions_.push_back(Resign{"a worker has seen a higher token"});
        return;
    }
    // A report that was held back, or a copy of one: the machine is gone.
    if (isLateCopyOfRemoved(report)) return refuse(command);
    const bool expected = fleet_.find(report.machine);
    auto& machine = findOrAddMachine(report.machine, report.type, report.zone, report.spot);
    if (machine.quarantined) return refuse(command);
    if (orderOf(report) <= machine.newestMessage()) return answerOldNews(machine, command);
    const bool behind = report.token < token_;
    if (machine.acknowledged && behind) {
        quarantine(machine);
        return refuse(command);
    }
    machine.staleReports = 0;
    silence_.noteReport(now_);
    machine.lastReport = now_;
    if (!machine.reconciled && behind) {
        // It has not taken our token, so no answer of ours to an earlier report has renewed its lease.
        machine.leaseUntil = began_ + leaseBound(settings_);
        if (machine.undelivered >= kMaxUndelivered) {
            applyReport(machine, report, true);
            return refuse(command);
        }
        ++machine.undelivered;
    }
    const auto leaseSoFar = machine.reconciled ? Time{} : machine.leaseUntil;
    machine.leaseUntil = std::max(leaseSoFar, now_ + leaseBound(settings_));
    machine.reports = true;
    applyReport(machine, report, true);
    // Its entry is written as it comes up, before it has taken the token and can be given tasks.
    if (machine.acknowledged || (expected && machine.reconciled)) roster_.ensureEntry(machine);
    auto orders = composeOrders(machine, report, command.cancellationsCurrent);
    actions_.push_back(AnswerReport{command.request, true, std::move(orders)});
    urgent_.erase(machine.id);  // the response has its stops
}

void Leader::refuse(const ReportArrived& command) {
    actions_.push_back(AnswerReport{command.request, false, {}});
}

bool Leader::isLateCopyOfRemoved(const Report& report) {
    if (fleet_.find(report.machine)) return false;
    const auto left = removedMachines_.find(report.machine);
    return left != removedMachines_.end() && orderOf(report) <= left->second;
}

/// A late copy, or overtaken by a direct answer: old news either way. It was sent before the newest message
/// came, so an answer renews the lease from then at most.
void Leader::answerOldNews(Machine& machine, const ReportArrived& command) {
    // With an older token it may come of a worker that counts anew, which must not take ours unnoticed.
    if (machine.reports && command.report.token >= token_) {
        machine.leaseUntil = std::max(machine.leaseUntil, machine.newestAt + leaseBound(settings_));
        // As it may renew the lease, it brings what is to stop.
        actions_.push_back(AnswerReport{command.request, true, stopOrders(machine)});
    } else {
        refuse(command);
    }
    if (++machine.staleReports >= 2) probe(machine);
}

void Leader::on(WorkerAnswered& command) {
    auto* machine = fleet_.find(command.machine);
    if (!machine) return;
    machine->probing = false;
    if (!command.report) return;
    const Report& report = *command.report;
    if (report.machine != machine->id) return;
    if (report.token > token_) {
        actions_.push_back(Resign{"a worker has seen a higher token"});
        return;
    }
    if (machine->quarantined) return;
    // The answer was made after the probe was sent.
    if (orderOf(report) <= command.known || (machine->acknowledged && report.token < token_))
        return quarantine(*machine);
    machine->probedAt = now_;
    machine->unreachableSince.reset();
    machine->undelivered = 0;
    machine->staleReports = 0;
    const bool retry = !machine->acknowledged && report.token < token_ && report.session != machine->session;
    if (orderOf(report) > machine->newestMessage()) applyReport(*machine, report, false);
    // The probe named an old session and was turned down; with the right one the token gets through.
    if (retry) probe(*machine);
}

/// A direct command without orders: it carries the token, and its answer is newer than all that came before.
void Leader::probe(Machine& machine) {
    if (machine.probing || machine.address.empty()) return;
    machine.probing = true;
    sendOrders(machine);
}

void Leader::sendOrders(const Machine& machine) {
    actions_.push_back(SendOrders{machine.id, machine.address, machine.session, stopOrders(machine),
                                  machine.newestMessage()});
}

void Leader::quarantine(Machine& machine) {
    spdlog::info("{} has begun to count anew and is given up", machine.id);
    machine.quarantined = true;
    machine.releasing = true;
}

/// What was sent to the machine has not arrived. After a few times it is taken for deaf until it answers.
void Leader::noteUndelivered(Machine& machine) {
    if (++machine.undelivered < kMaxUndelivered || machine.unreachableSince) return;
    spdlog::info("{} reports but hears nothing", machine.id);
    machine.unreachableSince = now_;
}

/// Ends the placements that `isGone` names, in their order. Others may go with them, as gangs end as a whole.
template <typename Predicate>
void Leader::endPlacementsIf(Machine& machine, Predicate isGone) {
    for (auto at = machine.placements.begin(); at != machine.placements.end();) {
        const Placement placement = at->second;
        if (!isGone(placement)) {
            ++at;
            continue;
        }
        fleet_.remove(machine, at);
        endPlacement(machine, placement, ExitReason::none);
        at = machine.placements.upper_bound({placement.job, placement.task, placement.attempt});
    }
}

/// Takes in a message that is newer than all before it: a report, or else the answer to a direct command.
void Leader::applyReport(Machine& machine, const Report& report, bool isReport) {
    if (report.session > machine.session && machine.acknowledged) {
        if (machine.reports && machine.session > 0) noteUndelivered(machine);
        // The worker killed and forgot all its tasks; planned ones never reached it.
        endPlacementsIf(machine, [](const Placement& p) { return p.state != PlacementState::planned; });
    }
    noteMessage(machine, report);
    if (!machine.acknowledged) return;
    settlePlacements(machine, report, isReport);
    if (machine.recallAt) drainForRecall(machine);
    if (!machine.placements.empty()) machine.busyUntil = now_;
}

void Leader::noteMessage(Machine& machine, const Report& report) {
    machine.session = report.session;
    machine.sequence = report.sequence;
    machine.newestAt = now_;
    machine.address = report.address;
    if (report.notice && !machine.recallAt) machine.recallAt = now_ + ticks(*report.notice);
    if (!report.notice) machine.recallAt.reset();
    if (report.token == token_ && !machine.acknowledged) {
        machine.acknowledged = true;
        fleet_.setReconciled(machine, true);
        order_.markStale();
    }
}

/// Brings what is taken to be on the machine in line with the report's list.
void Leader::settlePlacements(Machine& machine, const Report& report, bool isReport) {
    for (auto& [key, placement] : machine.placements)
        placement.seen = placement.state == PlacementState::planned;
    for (const auto& task : report.tasks) applyTaskReport(machine, task);
    bool undelivered = false;
    endPlacementsIf(machine, [&](const Placement& placement) {
        // A start that left with a report's response may still be on its way when a direct command's reply
        // comes in. Only the worker's next report shows that it was taken or dropped.
        const bool inFlight = placement.state == PlacementState::sent &&
                              (!isReport || report.sequence <= placement.sentSequence);
        const bool gone = !placement.seen && !inFlight;
        undelivered |= gone && placement.state == PlacementState::sent;
        return gone;
    });
    if (undelivered) noteUndelivered(machine);
}

void Leader::applyTaskReport(Machine& machine, const TaskReport& task) {
    auto* job = replica_.find(task.attempt.job);
    if (!job || task.attempt.task >= job->spec.tasks) return;  // composeOrders() has it killed
    const AttemptKey key{job, task.attempt.task, task.attempt.number};
    const auto at = machine.placements.find(key);
    const bool known = at != machine.placements.end();
    if (task.state == TaskState::exited) {
        if (task.why == ExitReason::done) noteTaskDone(*job, key.task);
        if (!known) return;
        const Placement placement = at->second;
        fleet_.remove(machine, at);
        endPlacement(machine, placement, task.why);
        return;
    }
    const auto state = placementState(task.state);
    if (known) noteProgress(machine, at->second, state);
    auto& placement = known ? at->second : adoptPlacement(machine, *job, key, state);
    placement.seen = true;
    if (state != PlacementState::fetching) {
        const auto* type = machine.kind;
        fleet_.useImage(machine, job->spec.image, job->spec.imageGb, type ? type->cacheGb : 0);
    }
    if (job->final != Final::open || job->isFinished(key.task)) {
        // Cancelled, or done elsewhere under an earlier leader. Gang tasks end with their gang.
        if (job->final != Final::open || job->spec.kind != Kind::gang) stop(machine, placement, Seconds(0));
    }
}

/// An attempt that an earlier leader started.
Placement& Leader::adoptPlacement(Machine& machine, Job& job, const AttemptKey& key, PlacementState state) {
    if (!job.run) beginJob(job, true);
    auto& placement = fleet_.place(machine, job, key.task, key.attempt, state, now_);
    if (job.spec.kind == Kind::gang) job.run->gangAttempt = std::max(job.run->gangAttempt, key.attempt);
    order_.markStale();
    return placement;
}

/// A report shows the attempt in `state`.
void Leader::noteProgress(Machine& machine, Placement& placement, PlacementState state) {
    if (placement.state == PlacementState::sent) {
        machine.undelivered = 0;
        machine.unreachableSince.reset();
    }
    if (placement.state == PlacementState::fetching && state != PlacementState::fetching)
        pacing_.recordFetchTime(now_ - placement.since);
    if (placement.state != state)
        spdlog::debug("{}/{} on {} turns from {} to {}", placement.job->spec.id, placement.task, machine.id,
                      static_cast<int>(placement.state), static_cast<int>(state));
    fleet_.setState(placement, state, now_);
}

/// The task is done, whichever attempt did it. Its bit is to be stored before anybody hears of it.
void Leader::noteTaskDone(Job& job, std::uint32_t task) {
    if (job.final != Final::open || job.spec.kind == Kind::service) return;
    if (!job.run) beginJob(job, true);
    bool fresh = false;
    if (job.spec.kind == Kind::gang) {
        // They complete together: when one is done, all are.
        for (std::uint32_t each = 0; each < job.spec.tasks; ++each) fresh |= job.finish(each);
    } else {
        fresh = job.finish(task);
    }
    if (!fresh) return;
    writer_.noteUnstored(job);
    job.run->errorMachines.clear();
    job.run->succeeded = true;
}

/// The attempt is no longer on the machine and has been taken off it.
void Leader::endPlacement(Machine& machine, const Placement& placement, ExitReason why) {
    Job& job = *placement.job;
    order_.markStale();
    spdlog::debug("gone {}/{} attempt {} from {}, state {}, reason {}", job.spec.id, placement.task,
                  placement.attempt, machine.id, static_cast<int>(placement.state), static_cast<int>(why));
    if (machine.placements.empty()) machine.busyUntil = now_;
    noteExitReason(machine, job, why);
    if (job.final != Final::open) return;
    if (job.run->firstTask == placement.task) job.run->firstTask.reset();
    // Stopped again at once, it has not begun: were its place among the overdue spent, it might wait for
    // ever.
    if (why == ExitReason::stopped && job.run->liveTotal == 0 && job.doneCount == 0 &&
        job.run->unstored.empty() && startedRecently(placement))
        job.run->launched = job.run->paced = 0;
    if (job.run->waiting > 0) job.run->waitingSince = now_;
    if (job.spec.kind == Kind::gang) noteGangTaskGone(machine, placement, why);
}

/// What the end of a task tells of its machine and its job.
void Leader::noteExitReason(Machine& machine, Job& job, ExitReason why) {
    switch (why) {
        case ExitReason::done:
            machine.errorJobs.clear();
            break;
        case ExitReason::error:
            // A faulty machine fails the tasks of many jobs; a faulty job fails on many machines.
            job.run->errorMachines[machine.id] = now_;
            if (job.run->errorMachines.size() >= 3)
                job.run->notBefore =
                    now_ + std::min<Clock::duration>(5s * (job.run->errorMachines.size() - 2), 60s);
            else
                machine.errorJobs.insert(job.spec.id);
            break;
        case ExitReason::noRoom:
        case ExitReason::busy:
            machine.quietUntil = now_ + 2s;
            break;
        case ExitReason::unknown:
            job.run->notBefore = now_ + 2s;
            break;
        default:
            break;
    }
}

/// Without one of its tasks a gang's attempt comes to nothing, unless it had not begun and another can stand
/// in. The next attempt waits until all have left.
void Leader::noteGangTaskGone(Machine& machine, const Placement& placement, ExitReason why) {
    Job& job = *placement.job;
    job.run->machinesLeft.insert(machine.id);
    const bool neverBegan = why == ExitReason::none || why == ExitReason::noRoom || why == ExitReason::busy;
    const bool standIn = neverBegan && mayComplete(job);
    if (!job.isFinished(placement.task) && !standIn) stopJob(job, job.spec.save);
    if (job.run->liveTotal == 0) job.run->gangAttempt = 0;
}

void Leader::stop(Machine& machine, Placement& placement, Seconds grace) {
    if (placement.stopping && placement.grace <= grace) return;
    placement.stopping = true;
    placement.grace = grace;
    urgent_.insert(machine.id);
}

void Leader::stopJob(Job& job, Seconds grace) {
    for (auto [machine, placement] : fleet_.placementsOf(job)) {
        if (placement->state == PlacementState::planned) {
            fleet_.remove(*machine, machine->placements.find({&job, placement->task, placement->attempt}));
            order_.markStale();
        } else {
            stop(*machine, *placement, grace);
            // A gang that goes on later does so at once if the machines it has are kept for it meanwhile.
            if (job.spec.kind == Kind::gang && job.spec.tasks > 1 && job.final == Final::open &&
                !machine->isReserved(now_) && !machine->recallAt)
                fleet_.reserve(*machine, &job, now_ + ticks(grace + settings_.report * 3 + kGangReservation),
                               false, job.run->machines.at(machine->id));
        }
    }
}

void Leader::sendUrgentStops() {
    for (const auto& id : std::exchange(urgent_, {})) {
        const auto* machine = fleet_.find(id);
        if (!machine || !machine->acknowledged || machine->address.empty()) continue;
        const bool any = std::any_of(machine->placements.begin(), machine->placements.end(),
                                     [](const auto& entry) { return entry.second.stopping; });
        if (any) sendOrders(*machine);
    }
}

std::vector<Order> Leader::composeOrders(Machine& machine, const Report& report, bool cancellationsCurrent) {
    if (!machine.acknowledged) return stopsOfEndedJobs(report, replica_);
    std::vector<Order> orders;
    if (!addSettlingOrders(report, replica_, orders)) return orders;
    for (auto& order : stopOrders(machine)) orders.push_back(std::move(order));
    // A leader cut off from the store is entitled for some seconds yet, in which others may tell users that
    // jobs are cancelled: what runs goes on, and nothing new starts.
    if (cancellationsCurrent && usable(machine, now_)) schedule(machine, orders);
    return orders;
}

void Leader::drainForRecall(Machine& machine) {
    machine.draining = true;
    const Seconds left = *machine.recallAt - now_;
    for (auto& [key, placement] : machine.placements) {
        const auto& spec = placement.job->spec;
        if (placement.state == PlacementState::planned) continue;
        if (spec.kind == Kind::gang && spec.tasks > 1) {
            // Its save needs all of them told within a short time; one alone would lose the progress of all.
            stopJob(*placement.job, spec.save);
        } else if (spec.checkpoint > Seconds(0)) {
            stop(machine, placement, spec.save);
        } else if (spec.kind == Kind::array) {
            const Seconds ran = placement.state == PlacementState::running
                                    ? Seconds(now_ - placement.runningSince)
                                    : Seconds(0);
            if (ran + left < spec.estimate * 0.7) stop(machine, placement, Seconds(0));
        } else {
            stop(machine, placement, Seconds(0));
        }
    }
    endPlacementsIf(machine, [](const Placement& p) { return p.state == PlacementState::planned; });
}

/// Proof that nothing sent so far is on the machine.
void Leader::clearAfterLease(Machine& machine) {
    fleet_.setReconciled(machine, true);
    order_.markStale();
    fleet_.removeAll(machine,
                     [&](const Placement& placement) { endPlacement(machine, placement, ExitReason::none); });
}

void Leader::removeMachine(Machine& machine) {
    const auto id = machine.id;
    auto& left = removedMachines_[id];
    left = std::max(left, machine.newestMessage());
    clearAfterLease(machine);
    roster_.forget(machine);
    fleet_.erase(id);
    order_.markStale();
}

void Leader::checkSilentMachines() {
    if (!silence_.isDue(now_)) return;
    roster_.dropOrphans();
    const auto census = silence_.takeCensus(now_);
    for (auto* machine : census.lapsed) {
        spdlog::info("the lease of {} is over", machine->id);
        clearAfterLease(*machine);
        machine->reports = false;
    }
    const auto findings = silence_.judge(census, now_);
    for (auto* machine : findings.toProbe) probe(*machine);
    for (auto* machine : findings.toGiveUp) {
        spdlog::info("{} is silent and is given up", machine->id);
        machine->releasing = true;
    }
    if (findings.resignation) actions_.push_back(Resign{*findings.resignation, true});
}

// --- users and the state service --------------------------------------------------------------------------

void Leader::jobsChanged(const std::vector<bookkeeping::Change>& changes) {
    JobsChanged command;
    for (const auto& change : changes) command.ids.push_back(change.id);
    on(command);
}

void Leader::on(JobsChanged& command) {
    for (const auto& id : command.ids) {
        auto* job = replica_.find(id);
        if (!job) continue;
        order_.markStale();
        if (job->final == Final::open) {
            // One that waited for others cannot be on a machine: an earlier leader would have seen them
            // stored as done, and so would this one as it began.
            if (!job->run && job->ready()) beginJob(*job, false);
            continue;
        }
        order_.remove(*job);
        writer_.forget(*job);
        if (job->run) stopJob(*job, Seconds(0));
    }
}

void Leader::on(StateWritten& command) {
    const auto outcome = writer_.handle(command, now_);
    for (auto* job : outcome.ended) order_.remove(*job);
    // Only now may what needs these jobs start: until its end was stored a cancellation could still win.
    jobsChanged(outcome.changes);
    switch (outcome.followUp) {
        case StateWriter::FollowUp::none:
            break;
        case StateWriter::FollowUp::resign:
            actions_.push_back(Resign{"another node raised the token"});
            break;
        case StateWriter::FollowUp::refreshReplica:
            actions_.push_back(RefreshReplica{});
            break;
    }
}

void Leader::on(ReplicaRefreshed& command) {
    if (!command.ok) {
        actions_.push_back(RefreshReplica{});
        return;
    }
    writer_.replicaRefreshed();
    roster_.ensureEntriesOfReporting();
}

/// The whole picture, for a debug log.
void Leader::dump() const {
    for (const auto& [id, m] : fleet_.machines())
        spdlog::debug(
            "machine {} {} {} spot {} reports {} roster {} tasks {} cpus {} gpus {} memory {} images {}{}{}",
            id, m->type, m->zone, m->spot, m->reports, static_cast<int>(m->roster), m->placements.size(),
            m->used.cpus, m->used.gpus, m->used.memoryGb, m->images.size(),
            m->draining || m->releasing || m->failed || m->recallAt ? ", leaving" : "",
            m->reservedFor && m->reservedUntil > now_ ? ", reserved" : "");
    for (const auto* job : order_.waiting())
        spdlog::debug("job {} {} rank {} waits: {} of {} tasks, {} possible, for {:.1f} s", job->spec.id,
                      job->spec.jobClass, rankOf(*job), job->run->waiting, job->spec.tasks,
                      job->run->liveTotal, Seconds(now_ - job->run->waitingSince).count());
    for (const auto& offering : provisioner_.refusals().refusedNow(now_))
        spdlog::debug("refused: {} {} spot {}", offering.type, offering.zone, offering.spot);
}

// --- time -------------------------------------------------------------------------------------------------

void Leader::on(Tick&) {
    silence_.noteTick(now_);
    checkSilentMachines();
    refreshOrder();
    refreshPacing();
    planGangs();
    if (policy_.preempt && now_ >= nextPreempt_) {
        nextPreempt_ = now_ + 250ms;
        preempt();
    }
    if (now_ >= nextPlan_) {
        nextPlan_ = now_ + 1s;
        provision();
    }
    if (now_ >= nextDump_ && spdlog::should_log(spdlog::level::debug)) {
        nextDump_ = now_ + 10s;
        dump();
    }
}

}  // namespace burlpoint::coordination
