#include "coordination/leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace burlpoint::coordination {

using bookkeeping::AttemptKey;
using bookkeeping::RosterState;
using protocol::ExitReason;
using protocol::Kind;
using protocol::Op;
using protocol::TaskReport;
using protocol::TaskState;
using storage::Final;
using storage::TxnStatus;
using namespace std::chrono_literals;

namespace keys = storage::keys;

namespace {

constexpr std::size_t kMaxOrders = 300;       // keeps a response well below 64 KiB
constexpr auto kBitmapInterval = 1s;          // a job's finished tasks gather for this long
constexpr std::uint32_t kMaxUndelivered = 2;  // answers that did not get through, in a row
constexpr Seconds kGangReservation{5};        // machines of a stopped gang, beyond its save and reports
constexpr auto kTakeOverGrace = 1500ms;  // within this after a take-over most workers report by themselves
constexpr std::size_t kMaxProbes = 100;  // at a time
constexpr std::size_t kMaxBytes = 48 * 1024;  // of the 64 KiB that a transaction may have
constexpr std::size_t kMinBytes = 512, kMinBitBytes = 16, kMinFinalBytes = 128;
constexpr auto kGrowthPause = 10s, kMaxGrowthPause = 320s;
constexpr auto kDeferredFor = 30s;
constexpr auto kWithoutWorkersMargin =
    20s;                       // beyond the leases: lost machines are given back and others rented
constexpr auto kTickGap = 3s;  // without a tick this node did not lead in the meantime

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
      beganMs_(dayMs),
      now_(now),
      writeBudget_(settings.stateWriteRps * 0.6, now, settings.minWriteRps() * 0.6),
      maxOperations_(settings.minTxnOps()),
      maxBytes_(kMaxBytes),
      maxBitmapBytes_(settings.valueBytes()),
      maxFinalBytes_(settings.valueBytes()),
      pacing_(settings, policy),
      order_(policy),
      zoneReservations_(policy),
      lastReport_(now),
      cloudBudget_(settings.cloudRps * 0.8, now) {
    for (const auto& type : replica.types) types_[type.name] = type;
    for (const auto& [id, job] : replica.jobs()) {
        job->run.reset();
        if (job->final == Final::open && job->ready()) beginJob(*job, true);
    }
    for (const auto& [id, stored] : replica.roster) {
        auto& machine = findOrAddMachine(id, stored.record.type, stored.record.zone, stored.record.spot);
        if (!mayHoldTasks(id)) continue;  // noted as it was rented: it may boot still
        machine.address = stored.record.address;
        fleet_.setRoster(machine, RosterState::stored);
        // Whatever earlier leaders answered, they answered before now.
        machine.leaseUntil = now + leaseBound(settings);
        machine.lastReport = now;
    }
    nextSilence_ = now;
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
    maybeWrite();
    return std::exchange(actions_, {});
}

void Leader::beginJob(Job& job, bool inherited) {
    job.beginRun(inherited, now_);
    job.run->team = settings_.team(job.spec.team);
    for (const auto& objective : settings_.objectives)
        if (objective.kind == "wait" && objective.jobClass == job.spec.jobClass)
            job.run->tightWait = std::min(job.run->tightWait.value_or(objective.within), objective.within);
    job.run->readyAt = std::min(now_, clockOf(job.readyMs));
    spdlog::debug("job {} {} of {} tasks, ready for {:.3f} s", job.spec.id, job.spec.jobClass, job.spec.tasks,
                  Seconds(now_ - job.run->readyAt).count());
    // An earlier leader may have stored the last bits and not the end of the job.
    if (job.doneCount == job.spec.tasks) unstored_.insert(&job);
    order_.add(job);
}

/// When it was that time of day, by this node's steady clock.
Time Leader::clockOf(std::uint64_t dayMs) const { return DayClock{began_, beganMs_}.at(dayMs); }

/// The roster entry of a machine that has not reported yet has no address. It is a note for the next leader
/// and no task is given under it: were it otherwise, each take-over would wait for all machines that are
/// booting.
storage::MachineRecord Leader::recordOf(const Machine& machine) const {
    return {machine.session > 0 ? machine.address : "", machine.type, machine.zone, machine.spot};
}

/// May an earlier leader have given the machine a task?
bool Leader::mayHoldTasks(const std::string& id) const {
    const auto stored = replica_.roster.find(id);
    return stored != replica_.roster.end() && !stored->second.record.address.empty();
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
    machine.reconciled = !mayHoldTasks(id);
    // Back in the cloud's list, say: what is not newer than its last message stays old.
    if (const auto left = removedMachines_.find(id); left != removedMachines_.end())
        std::tie(machine.session, machine.sequence) = left->second;
    return machine;
}

// --- workers ----------------------------------------------------------------------------------------------

void Leader::on(ReportArrived& command) {
    const Report& report = command.report;
    if (report.token > token_) {
        // Another node leads by now: its token outranks ours wherever it was seen.
        actions_.push_back(AnswerReport{command.request, false, {}});
        actions_.push_back(Resign{"a worker has seen a higher token"});
        return;
    }
    const std::pair counters(report.session, report.sequence);
    const auto left = removedMachines_.find(report.machine);
    if (!fleet_.find(report.machine) && left != removedMachines_.end() && counters <= left->second) {
        // A report that was held back, or a copy of one: the machine is gone.
        actions_.push_back(AnswerReport{command.request, false, {}});
        return;
    }
    const bool expected = fleet_.find(report.machine);
    auto& machine = findOrAddMachine(report.machine, report.type, report.zone, report.spot);
    if (machine.quarantined) {
        actions_.push_back(AnswerReport{command.request, false, {}});
        return;
    }
    const bool behind = report.token < token_;
    if (counters <= std::pair(machine.session, machine.sequence)) {
        // A late copy, or overtaken by a direct answer: old news either way. It was sent before the newest
        // message came, so an answer renews the lease from then at most.
        // With an older token it may come of a worker that counts anew, which must not take ours unnoticed.
        const bool answer = machine.reports && !behind;
        if (answer)
            machine.leaseUntil = std::max(machine.leaseUntil, machine.newestAt + leaseBound(settings_));
        // As it may renew the lease, it brings what is to stop.
        actions_.push_back(
            AnswerReport{command.request, answer, answer ? stopOrders(machine) : std::vector<Order>{}});
        if (++machine.staleReports >= 2) probe(machine);
        return;
    }
    if (machine.acknowledged && behind) {
        quarantine(machine);
        actions_.push_back(AnswerReport{command.request, false, {}});
        return;
    }
    machine.staleReports = 0;
    lastReport_ = now_;
    anyReport_ = true;
    machine.lastReport = now_;
    if (!machine.reconciled && behind) {
        // It has not taken our token, so no answer of ours to an earlier report has renewed its lease.
        machine.leaseUntil = began_ + leaseBound(settings_);
        if (machine.undelivered >= kMaxUndelivered) {
            applyReport(machine, report, true);
            actions_.push_back(AnswerReport{command.request, false, {}});
            return;
        }
        ++machine.undelivered;
    }
    machine.leaseUntil =
        std::max(machine.reconciled ? Time{} : machine.leaseUntil, now_ + leaseBound(settings_));
    machine.reports = true;
    applyReport(machine, report, true);
    // Its entry is written as it comes up, before it has taken the token and can be given tasks.
    if (machine.acknowledged || (expected && machine.reconciled)) ensureRosterEntry(machine);
    actions_.push_back(
        AnswerReport{command.request, true, composeOrders(machine, report, command.cancellationsCurrent)});
    urgent_.erase(machine.id);  // the response has its stops
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
    if (std::pair(report.session, report.sequence) <= command.known ||
        (machine->acknowledged && report.token < token_))
        return quarantine(*machine);
    machine->probedAt = now_;
    machine->unreachableSince.reset();
    machine->undelivered = 0;
    machine->staleReports = 0;
    const bool retry = !machine->acknowledged && report.token < token_ && report.session != machine->session;
    if (std::pair(report.session, report.sequence) > std::pair(machine->session, machine->sequence))
        applyReport(*machine, report, false);
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
    actions_.push_back(SendOrders{machine.id,
                                  machine.address,
                                  machine.session,
                                  stopOrders(machine),
                                  {machine.session, machine.sequence}});
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

void Leader::applyReport(Machine& machine, const Report& report, bool isReport) {
    if (report.session > machine.session && machine.acknowledged) {
        if (machine.reports && machine.session > 0) noteUndelivered(machine);
        // The worker killed and forgot all its tasks; planned ones never reached it.
        for (auto at = machine.placements.begin(); at != machine.placements.end();) {
            const Placement placement = at->second;
            if (placement.state == PlacementState::planned) {
                ++at;
                continue;
            }
            fleet_.remove(machine, at);
            endPlacement(machine, placement, ExitReason::none);
            at = machine.placements.upper_bound({placement.job, placement.task, placement.attempt});
        }
    }
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
    if (!machine.acknowledged) return;

    for (auto& [key, placement] : machine.placements)
        placement.seen = placement.state == PlacementState::planned;
    for (const auto& task : report.tasks) applyTaskReport(machine, task);
    bool undelivered = false;
    for (auto at = machine.placements.begin(); at != machine.placements.end();) {
        const Placement placement = at->second;
        // A start that left with a report's response may still be on its way when a direct command's reply
        // comes in. Only the worker's next report shows that it was taken or dropped.
        const bool inFlight = placement.state == PlacementState::sent &&
                              (!isReport || report.sequence <= placement.sentSequence);
        if (placement.seen || inFlight) {
            ++at;
            continue;
        }
        undelivered |= placement.state == PlacementState::sent;
        fleet_.remove(machine, at);
        endPlacement(machine, placement, ExitReason::none);
        at = machine.placements.upper_bound({placement.job, placement.task, placement.attempt});
    }
    if (undelivered) noteUndelivered(machine);
    if (machine.recallAt) drainForRecall(machine);
    if (!machine.placements.empty()) machine.busyUntil = now_;
}

void Leader::applyTaskReport(Machine& machine, const TaskReport& task) {
    auto* job = replica_.find(task.attempt.job);
    if (!job || task.attempt.task >= job->spec.tasks) return;  // compose() has it killed
    const AttemptKey key{job, task.attempt.task, task.attempt.number};
    const auto at = machine.placements.find(key);
    if (task.state == TaskState::exited) {
        if (task.why == ExitReason::done) noteTaskDone(*job, key.task);
        if (at == machine.placements.end()) return;
        const Placement placement = at->second;
        fleet_.remove(machine, at);
        endPlacement(machine, placement, task.why);
        return;
    }
    const auto state = placementState(task.state);
    Placement* placement = nullptr;
    if (at == machine.placements.end()) {
        if (!job->run) beginJob(*job, true);
        placement = &fleet_.place(machine, *job, key.task, key.attempt, state, now_);
        if (job->spec.kind == Kind::gang)
            job->run->gangAttempt = std::max(job->run->gangAttempt, key.attempt);
        order_.markStale();
    } else {
        placement = &at->second;
        if (placement->state == PlacementState::sent) {
            machine.undelivered = 0;
            machine.unreachableSince.reset();
        }
        if (placement->state == PlacementState::fetching && state != PlacementState::fetching)
            pacing_.recordFetchTime(now_ - placement->since);
        if (placement->state != state)
            spdlog::debug("{}/{} on {} turns from {} to {}", job->spec.id, key.task, machine.id,
                          static_cast<int>(placement->state), static_cast<int>(state));
        fleet_.setState(*placement, state, now_);
    }
    placement->seen = true;
    if (state != PlacementState::fetching) {
        const auto* type = machine.kind;
        fleet_.useImage(machine, job->spec.image, job->spec.imageGb, type ? type->cacheGb : 0);
    }
    if (job->final != Final::open || job->isFinished(key.task)) {
        // Cancelled, or done elsewhere under an earlier leader. Gang tasks end with their gang.
        if (job->final != Final::open || job->spec.kind != Kind::gang) stop(machine, *placement, Seconds(0));
    }
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
    unstored_.insert(&job);
    job.run->errorMachines.clear();
    job.run->succeeded = true;
}

void Leader::endPlacement(Machine& machine, const Placement& placement, ExitReason why) {
    Job& job = *placement.job;
    order_.markStale();
    spdlog::debug("gone {}/{} attempt {} from {}, state {}, reason {}", job.spec.id, placement.task,
                  placement.attempt, machine.id, static_cast<int>(placement.state), static_cast<int>(why));
    if (machine.placements.empty()) machine.busyUntil = now_;
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
    if (job.final != Final::open) return;
    if (job.run->firstTask == placement.task) job.run->firstTask.reset();
    // Stopped again at once, it has not begun: were its place among the overdue spent, it might wait for
    // ever.
    if (why == ExitReason::stopped && job.run->liveTotal == 0 && job.doneCount == 0 &&
        job.run->unstored.empty() && startedRecently(placement))
        job.run->launched = job.run->paced = 0;
    if (job.run->waiting > 0) job.run->waitingSince = now_;
    if (job.spec.kind == Kind::gang) {
        // Without one of its tasks this attempt comes to nothing, unless it had not begun and another can
        // stand in. The next attempt waits until all have left.
        job.run->machinesLeft.insert(machine.id);
        const bool standIn =
            (why == ExitReason::none || why == ExitReason::noRoom || why == ExitReason::busy) &&
            mayComplete(job);
        if (!job.isFinished(placement.task) && !standIn) stopJob(job, job.spec.save);
        if (job.run->liveTotal == 0) job.run->gangAttempt = 0;
    }
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

std::vector<Order> Leader::stopOrders(const Machine& machine) const {
    std::vector<Order> orders;
    for (const auto& [key, p] : machine.placements) {
        if (!p.stopping || p.state == PlacementState::planned || orders.size() >= kMaxOrders) continue;
        if (p.state == PlacementState::saving && p.grace > Seconds(0)) continue;  // it is at it
        orders.push_back({Op::stop, {p.job->spec.id, p.task, p.attempt}, p.grace});
    }
    return orders;
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
    std::vector<Order> orders;
    if (!machine.acknowledged) {
        // This answer renews the lease. Without stops, what is cancelled would go on for one lease more with
        // each change of leader. Stopping an attempt of a job that is over is right however old the list is.
        for (const auto& task : report.tasks) {
            const auto* job = replica_.find(task.attempt.job);
            if (job && job->final != Final::open && task.state != TaskState::exited &&
                orders.size() < kMaxOrders)
                orders.push_back({Op::stop, task.attempt, Seconds(0)});
        }
        return orders;
    }
    for (const auto& task : report.tasks) {
        if (orders.size() >= kMaxOrders) return orders;
        const auto* job = replica_.find(task.attempt.job);
        const bool stray = !job || task.attempt.task >= job->spec.tasks;
        if (task.state != TaskState::exited) {
            if (stray) orders.push_back({Op::stop, task.attempt, Seconds(0)});
        } else if (stray || task.why != ExitReason::done || job->final != Final::open ||
                   job->isDone(task.attempt.task) || job->spec.kind == Kind::service) {
            // A result is cleared only once its bit is stored: until then the report is the only record.
            orders.push_back({Op::forget, task.attempt, Seconds(0)});
        }
    }
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
    for (auto at = machine.placements.begin(); at != machine.placements.end();) {
        if (at->second.state != PlacementState::planned) {
            ++at;
            continue;
        }
        const Placement placement = at->second;
        fleet_.remove(machine, at);
        endPlacement(machine, placement, ExitReason::none);
        at = machine.placements.upper_bound({placement.job, placement.task, placement.attempt});
    }
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
    left = std::max(left, {machine.session, machine.sequence});
    clearAfterLease(machine);
    if (machine.roster != RosterState::absent) rosterDrop_.insert(id);
    rosterAdd_.erase(id);
    fleet_.erase(id);
    order_.markStale();
}

void Leader::ensureRosterEntry(Machine& machine) {
    const auto stored = replica_.roster.find(machine.id);
    if (machine.roster == RosterState::writing) return;
    // It was forgotten, and is back. A deletion of its entry may still be on its way, so the entry counts
    // only once it is written anew: with its new version that deletion fails.
    rosterDrop_.erase(machine.id);
    if (rosterDeleted_.contains(machine.id)) {
        fleet_.setRoster(machine, RosterState::absent);
        rosterAdd_.insert(machine.id);
        return;
    }
    if (stored != replica_.roster.end() && stored->second.record == recordOf(machine)) {
        fleet_.setRoster(machine, RosterState::stored);
        rosterAdd_.erase(machine.id);
        return;
    }
    fleet_.setRoster(machine, mayHoldTasks(machine.id) ? RosterState::stored : RosterState::absent);
    rosterAdd_.insert(machine.id);
}

void Leader::checkSilentMachines() {
    if (now_ < nextSilence_) return;
    nextSilence_ = now_ + 500ms;
    // Entries of machines that are no more, such as one whose writing was carried out late.
    for (const auto& [id, stored] : replica_.roster)
        if (!fleet_.find(id)) rosterDrop_.insert(id);
    const auto patience = ticks(settings_.report * 2 + Seconds(0.5));
    std::size_t reporting = 0, silent = 0;
    std::vector<Machine*> lapsed;
    for (auto& [id, machine] : fleet_.machines()) {
        const bool quiet = now_ - machine->lastReport > patience || machine->unreachableSince;
        if (!machine->reconciled || machine->reports)
            (quiet || !machine->reconciled ? silent : reporting) += 1;
        if (now_ > machine->leaseUntil &&
            (!machine->reconciled || machine->reports || !machine->placements.empty()))
            lapsed.push_back(machine.get());
    }
    for (auto* machine : lapsed) {
        spdlog::info("the lease of {} is over", machine->id);
        clearAfterLease(*machine);
        machine->reports = false;
    }
    const bool few = silent <= std::max<std::size_t>(2, (reporting + silent) / 4);
    std::size_t probes = 0;
    // A worker whose report fails waits 4 s, and another second before it tries the next node.
    const auto giveUp = std::max(ticks(settings_.lease * 0.4), ticks(settings_.report * 1.25 + Seconds(5.5)));
    for (auto& [id, machine] : fleet_.machines()) {
        const bool unheard = !machine->reconciled;
        if (!unheard && !machine->reports) continue;
        // Reports prove nothing of a machine that has not taken the token or does not act on what it is sent.
        const auto silence = now_ - (unheard                     ? began_
                                     : machine->unreachableSince ? *machine->unreachableSince
                                                                 : machine->lastReport);
        if (!unheard && !machine->unreachableSince && silence <= patience) continue;
        // The probe carries the token, so a reachable worker reports anew and an unheard one is heard. Most
        // come by themselves after a take-over, when each answer is urgent, so probes wait and come a few at
        // a time.
        if (!machine->probing && (!unheard || silence > kTakeOverGrace) && ++probes <= kMaxProbes)
            probe(*machine);
        const bool answered = now_ - machine->probedAt < giveUp;
        const bool holds = unheard || machine->unreachableSince || !machine->placements.empty();
        if (few && holds && !answered && silence > giveUp && !machine->releasing) {
            spdlog::info("{} is silent and is given up", id);
            machine->releasing = true;
        }
    }
    // Nobody reports here any more: more likely this node's network than all machines at once. Where each
    // node has found the same in turn, they are gone: the next stays until their leases are over, or the
    // nodes would make way for each other for ever.
    // But one that has heard workers and does so no more makes way, and so does the one that stayed if even
    // new machines are not heard.
    const bool staysAllTheSame = !anyReport_ && token_ % (settings_.peers.size() + 2) == 0;
    if (reporting == 0 && silent >= 2 && now_ - lastReport_ > patience + 4s &&
        now_ - began_ > patience + 6s) {
        if (!staysAllTheSame) actions_.push_back(Resign{"no worker reaches this node", true});
        leadsWithoutWorkers_ = staysAllTheSame;
    }
    if (leadsWithoutWorkers_ && !anyReport_ && now_ - began_ > leaseBound(settings_) + kWithoutWorkersMargin)
        actions_.push_back(Resign{"no worker has reached this node", true});
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
        unstored_.erase(job);
        if (job->run) stopJob(*job, Seconds(0));
    }
}

void Leader::maybeWrite() {
    if (writing_ || refreshing_ || now_ < nextWrite_) return;
    const auto most = std::min<std::size_t>(
        maxOperations_, static_cast<std::size_t>(std::max(0.0, writeBudget_.available(now_))));
    std::erase_if(deferredKeys_, [this](const auto& entry) { return entry.second <= now_; });
    WriteState write;
    write.conditions.push_back({keys::kToken, replica_.tokenVersion});
    std::size_t bytes = 0;
    bool full = false;
    const auto room = [&] { return write.writes.size() < most && !full; };
    // A condition for each write and one for the token: four times the writes are allowed.
    const auto put = [&](const std::string& key, std::optional<std::string> value, std::uint64_t version) {
        if (deferredKeys_.contains(key)) return false;
        const auto size = (value ? protocol::jsonBytes(*value) : 0) + 2 * key.size() + 120;
        full = !write.writes.empty() && bytes + size > maxBytes_;
        if (full) return false;
        bytes += size;
        write.conditions.push_back({key, version});
        write.writes.push_back({key, std::move(value), 0});
        return true;
    };

    const auto enter = [&](bool reported) {
        for (const auto& id : rosterAdd_) {
            if (!room()) break;
            auto* machine = fleet_.find(id);
            if ((machine->session > 0) != reported) continue;
            const auto stored = replica_.roster.find(id);
            auto record = recordOf(*machine);
            if (!put(keys::machine(id), storage::encodeMachine(record),
                     stored == replica_.roster.end() ? 0 : stored->second.version))
                continue;
            if (machine->roster == RosterState::absent) fleet_.setRoster(*machine, RosterState::writing);
            rosterWrites_.emplace_back(id, std::move(record));
        }
    };
    enter(true);
    for (auto* job : unstored_) {
        if (!room()) break;
        if (!finalWriteSuffices(*job)) continue;
        // Whatever bits are missing, the record that says "done" stands for all of them.
        const auto endedMs =
            beganMs_ + static_cast<std::uint64_t>(
                           std::chrono::duration_cast<std::chrono::milliseconds>(now_ - began_).count());
        const storage::JobRecord record{job->spec,       Final::done,     job->acceptedMs,
                                        job->spec.tasks, job->chunkTasks, endedMs};
        if (put(keys::job(job->spec.id), storage::encodeFinal(record, maxFinalBytes_), job->version))
            finalWrites_.emplace_back(job, endedMs);
    }
    if (typesUnstored_ && room()) {
        for (const auto& [name, type] : types_) typesWrite_.push_back(type);
        if (!put(keys::kTypes, protocol::encodeMachineTypes(typesWrite_), replica_.typesVersion))
            typesWrite_.clear();
    }
    for (auto* job : unstored_) {
        if (!room() || now_ < job->run->nextBits || finalWriteSuffices(*job)) continue;
        std::map<bookkeeping::BitRange, std::vector<std::uint32_t>> ranges;
        for (const auto task : job->run->unstored)
            ranges[job->rangeOf(task, maxBitmapBytes_)].push_back(task);
        for (auto& [range, tasks] : ranges) {
            if (!room()) break;
            auto bits = job->done;
            bits.resize(job->spec.tasks);
            for (const auto task : tasks) bits[task] = true;
            if (put(job->keyOf(range), storage::encodeBits(bits, range.first, range.end - range.first),
                    job->versionOf(range)))
                doneWrites_.push_back({job, range, std::move(tasks)});
        }
        job->run->nextBits = now_ + kBitmapInterval;
    }
    enter(false);  // notes wait for everything that somebody waits for
    std::erase_if(rosterDrop_, [&](const auto& id) { return !replica_.roster.contains(id); });
    for (const auto& id : rosterDrop_) {
        if (!room()) break;
        if (!put(keys::machine(id), std::nullopt, replica_.roster[id].version)) continue;
        rosterDeletes_.push_back(id);
        rosterDeleted_.insert(id);
    }
    if (write.writes.empty()) return;
    writeBudget_.force(static_cast<double>(write.writes.size()), now_);
    writing_ = true;
    writingBytes_ = bytes;
    writingKeys_.clear();
    for (const auto& w : write.writes) writingKeys_.push_back(w.key);
    actions_.push_back(std::move(write));
}

bool Leader::finalWriteSuffices(const Job& job) const {
    if (job.doneCount + job.run->unstored.size() < job.spec.tasks) return false;
    return job.run->unstored.empty() || job.chunks() == 1;
}

void Leader::on(StateWritten& command) {
    writing_ = false;
    const auto& result = command.result;
    // Other users of the store need their turn, and a moment's wait lets changes gather.
    nextWrite_ = now_ + 150ms;
    const bool applied = result.status == TxnStatus::applied;
    for (const auto& [id, record] : rosterWrites_) {
        auto* machine = fleet_.find(id);
        const bool whole = applied && !record.address.empty();
        if (machine && whole) fleet_.setRoster(*machine, RosterState::stored);
        if (machine && machine->roster == RosterState::writing)
            fleet_.setRoster(*machine, RosterState::absent);
        if (!applied) continue;
        replica_.roster[id] = {record, result.revision};
        rosterDeleted_.erase(id);
        if (!machine)
            rosterDrop_.insert(id);
        else if (record == recordOf(*machine))
            rosterAdd_.erase(id);
    }
    if (applied) {
        growWrites();
        for (const auto& id : rosterDeletes_) {
            replica_.roster.erase(id);
            rosterDrop_.erase(id);
        }
        for (auto& write : doneWrites_) {
            if (write.job->final != Final::open) continue;
            for (const auto task : write.tasks) write.job->setDone(task);
            write.job->setVersion(write.range, result.revision);
            if (write.job->run->unstored.empty() && write.job->doneCount < write.job->spec.tasks)
                unstored_.erase(write.job);
        }
        std::vector<bookkeeping::Change> changes;
        for (const auto& [job, endedMs] : finalWrites_) {
            if (job->final != Final::open) continue;
            replica_.noteDone(*job, result.revision, endedMs, changes);
            unstored_.erase(job);
            order_.remove(*job);
        }
        // Only now may what needs these jobs start: until its end was stored a cancellation could still win.
        jobsChanged(changes);
        if (!typesWrite_.empty()) {
            replica_.types = typesWrite_;
            replica_.typesVersion = result.revision;
            typesUnstored_ = false;
        }
    } else if (result.status == TxnStatus::conflict &&
               std::find(result.failed.begin(), result.failed.end(), keys::kToken) != result.failed.end()) {
        actions_.push_back(Resign{"another node raised the token"});
    } else if (result.status == TxnStatus::tooLarge) {
        shrinkWrites();
    } else if (result.status == TxnStatus::refused || result.status == TxnStatus::tooMany) {
        nextWrite_ = now_ + 500ms;
        if (result.status == TxnStatus::tooMany) writeBudget_.refused(now_);
    } else {
        // Changed by a user's cancellation, or of unknown outcome: see what is stored, then try again.
        refreshing_ = true;
        actions_.push_back(RefreshReplica{});
    }
    typesWrite_.clear();
    doneWrites_.clear();
    finalWrites_.clear();
    rosterWrites_.clear();
    rosterDeletes_.clear();
}

/// The last write was too large for the service. All that it held is still to be stored, in smaller pieces;
/// what is too large alone is a bitmap, which can be cut further, or a last record that can go without more,
/// or waits aside while the rest goes on.
void Leader::shrinkWrites() {
    growthPause_ = std::clamp<Clock::duration>(growthPause_ * 2, kGrowthPause, kMaxGrowthPause);
    nextGrowth_ = now_ + growthPause_;
    for (auto& write : doneWrites_) write.job->run->nextBits = now_;
    if (writingKeys_.size() > 1) {
        maxOperations_ = writingKeys_.size() / 2;
        maxBytes_ = std::max(kMinBytes, writingBytes_ / 2);
    } else if (!doneWrites_.empty() && maxBitmapBytes_ > kMinBitBytes) {
        // Below the value that was refused: a small job's chunk may have been well within the bound.
        const auto& range = doneWrites_.front().range;
        const auto bytes = (range.end - range.first + 3) / 4 + 2;
        maxBitmapBytes_ = std::max(kMinBitBytes, std::min(maxBitmapBytes_, bytes) / 2);
    } else if (!finalWrites_.empty() && maxFinalBytes_ > kMinFinalBytes) {
        maxFinalBytes_ = std::min(maxFinalBytes_, writingBytes_) / 2;
    } else {
        deferredKeys_[writingKeys_.front()] = now_ + kDeferredFor;
    }
}

void Leader::growWrites() {
    if (now_ < nextGrowth_) return;
    maxOperations_ = std::min<std::size_t>(maxOperations_ * 2, settings_.minTxnOps());
    maxBytes_ = std::min(maxBytes_ * 2, kMaxBytes);
    nextGrowth_ = now_ + growthPause_;
}

void Leader::on(ReplicaRefreshed& command) {
    if (!command.ok) {
        actions_.push_back(RefreshReplica{});
        return;
    }
    refreshing_ = false;
    for (auto& [id, machine] : fleet_.machines())
        if (machine->reports && machine->roster != RosterState::stored) ensureRosterEntry(*machine);
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
    for (const auto& [offering, refusal] : refusals_)
        if (refusal.until > now_)
            spdlog::debug("refused: {} {} spot {}", offering.type, offering.zone, offering.spot);
}

// --- time -------------------------------------------------------------------------------------------------

void Leader::on(Tick&) {
    if (lastTick_ != Time{} && now_ - lastTick_ > kTickGap) {
        // This node was not entitled to act for a while, or too slow: silence meanwhile was its own.
        lastReport_ = now_;
        for (auto& [id, machine] : fleet_.machines())
            machine->lastReport = std::max(machine->lastReport, now_ - ticks(settings_.report));
    }
    lastTick_ = now_;
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
