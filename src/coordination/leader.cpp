#include "coordination/leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/machine_status.h"
#include "coordination/placement_rules.h"
#include "coordination/worker_orders.h"

namespace burlpoint::coordination {

using bookkeeping::orderOf;
using bookkeeping::RosterState;
using storage::Final;
using namespace std::chrono_literals;

namespace {

constexpr auto kPacingInterval = 500ms;  // between walks over the fleet for pacing and accelerators
constexpr auto kPreemptionInterval = 250ms;
constexpr auto kProvisioningInterval = 1s;
constexpr auto kLogInterval = 10s;
constexpr std::uint32_t kProbeAfter = 2;  // reports in a row that were no news

Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

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
      attempts_(token),
      roster_(replica, fleet_),
      writer_(settings, replica, fleet_, roster_, types_, dayClock_, now),
      silence_(settings, fleet_, token, now, leaseBound(settings)),
      provisioner_(settings, policy, replica, token, now),
      pacing_(settings, policy),
      order_(policy),
      runs_(settings, dayClock_, order_, writer_),
      zoneReservations_(policy),
      accelerators_(types_, provisioner_.refusals()),
      rules_(accelerators_, zoneReservations_),
      images_(settings, policy, fleet_, pacing_, rules_, lookups_),
      stopper_(settings, fleet_, order_),
      gangs_(settings, fleet_, types_, rules_, order_, zoneReservations_, attempts_),
      scheduler_({settings, fleet_, types_, order_, pacing_, rules_, images_, attempts_}),
      preemption_({settings, fleet_, types_, order_, rules_, images_, zoneReservations_, stopper_, lookups_}),
      ends_(fleet_, gangs_, order_, stopper_),
      reconciler_({token, replica, fleet_, order_, runs_, writer_, pacing_, stopper_, ends_}) {
    for (const auto& type : replica.types) types_[type.name] = type;
    takeOverJobs();
    takeOverMachines();
}

Leader::~Leader() {
    for (const auto& [id, job] : replica_.jobs()) job->run.reset();
}

void Leader::takeOverJobs() {
    for (const auto& [id, job] : replica_.jobs()) {
        job->run.reset();
        if (job->final == Final::open && job->ready()) runs_.begin(*job, true, now_);
    }
}

void Leader::takeOverMachines() {
    for (const auto& [id, stored] : replica_.roster) {
        const auto& record = stored.record;
        auto& machine = findOrAddMachine(id, record.type, record.zone, record.spot);
        if (!roster_.mayHoldTasks(id)) continue;  // noted as it was rented: it may boot still
        machine.address = record.address;
        fleet_.setRoster(machine, RosterState::stored);
        // Whatever earlier leaders answered, they answered before now.
        machine.leaseUntil = now_ + leaseBound(settings_);
        machine.lastReport = now_;
    }
}

std::vector<std::pair<std::string, std::uint32_t>> Leader::runningCounts() const {
    std::vector<std::pair<std::string, std::uint32_t>> counts;
    for (const auto* job : order_.open())
        if (job->run && job->run->running > 0) counts.emplace_back(job->spec.id, job->run->running);
    return counts;
}

std::vector<Action> Leader::handle(Command command, Time now) {
    now_ = std::max(now_, now);
    std::visit([this](auto& c) { on(c); }, command);
    sendUrgentStops();
    if (auto write = writer_.nextWrite(now_)) actions_.push_back(std::move(*write));
    return std::exchange(actions_, {});
}

// --- workers ----------------------------------------------------------------------------------------------

/// The machine's record; a new one is not in the roster, so no earlier leader gave the machine a task.
Machine& Leader::findOrAddMachine(const std::string& id, const std::string& type, const std::string& zone,
                                  bool spot) {
    const bool known = fleet_.find(id) != nullptr;
    auto& machine = fleet_.add(id, now_);
    if (known) return machine;
    machine.type = type;
    machine.zone = zone;
    machine.spot = spot;
    machine.kind = findType(types_, type);
    machine.reconciled = !roster_.mayHoldTasks(id);
    removedMachines_.restoreCounters(machine);  // back in the cloud's list, say
    return machine;
}

void Leader::on(ReportArrived& command) {
    const Report& report = command.report;
    if (report.token > token_) {
        // Another node leads by now: its token outranks ours wherever it was seen.
        refuse(command);
        actions_.push_back(Resign{"a worker has seen a higher token"});
        return;
    }
    const bool expected = fleet_.find(report.machine);
    // A report that was held back, or a copy of one: the machine is gone.
    if (!expected && removedMachines_.isLateCopy(report)) return refuse(command);
    auto& machine = findOrAddMachine(report.machine, report.type, report.zone, report.spot);
    if (machine.quarantined) return refuse(command);
    if (orderOf(report) <= machine.newestMessage()) return answerOldNews(machine, command);
    const bool hasOlderToken = report.token < token_;
    if (machine.acknowledged && hasOlderToken) {
        quarantine(machine);
        return refuse(command);
    }
    machine.staleReports = 0;
    machine.lastReport = now_;
    silence_.noteReport(now_);
    const bool answered = renewLease(machine, hasOlderToken);
    reconciler_.apply(machine, report, MessageKind::report, now_);
    if (!answered) return refuse(command);
    // Its entry is written as it comes up, before it has taken the token and can be given tasks.
    if (machine.acknowledged || (expected && machine.reconciled)) roster_.ensureEntry(machine);
    auto orders = composeOrders(machine, report, command.cancellationsCurrent);
    actions_.push_back(AnswerReport{command.request, true, std::move(orders)});
    stopper_.noteAnswered(machine.id);
}

/// Counts the machine's lease anew, as the answer to its report renews it. False: it is not to be answered,
/// as it has not taken the token from earlier answers, so that its lease must come to its end.
bool Leader::renewLease(Machine& machine, bool hasOlderToken) {
    if (!machine.reconciled && hasOlderToken) {
        // It has not taken our token, so no answer of ours to an earlier report has renewed its lease.
        machine.leaseUntil = began_ + leaseBound(settings_);
        if (machine.undelivered >= kMaxUndelivered) return false;
        ++machine.undelivered;
    }
    const auto leaseSoFar = machine.reconciled ? Time{} : machine.leaseUntil;
    machine.leaseUntil = std::max(leaseSoFar, now_ + leaseBound(settings_));
    machine.reports = true;
    return true;
}

void Leader::refuse(const ReportArrived& command) {
    actions_.push_back(AnswerReport{command.request, false, {}});
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
    if (++machine.staleReports >= kProbeAfter) probe(machine);
}

std::vector<Order> Leader::composeOrders(Machine& machine, const Report& report, bool cancellationsCurrent) {
    if (!machine.acknowledged) return stopsOfEndedJobs(report, replica_);
    std::vector<Order> orders;
    if (!addSettlingOrders(report, replica_, orders)) return orders;
    for (auto& order : stopOrders(machine)) orders.push_back(std::move(order));
    // A leader cut off from the store is entitled for some seconds yet, in which others may tell users that
    // jobs are cancelled: what runs goes on, and nothing new starts.
    if (!cancellationsCurrent || !usable(machine, now_)) return orders;
    refreshOrder();
    refreshPacing();
    scheduler_.schedule(machine, orders, now_);
    return orders;
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
    if (orderOf(report) > machine->newestMessage())
        reconciler_.apply(*machine, report, MessageKind::answer, now_);
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

void Leader::sendUrgentStops() {
    for (const auto& id : stopper_.takeUrgent()) {
        const auto* machine = fleet_.find(id);
        if (!machine || !machine->acknowledged || machine->address.empty()) continue;
        const bool any = std::any_of(machine->placements.begin(), machine->placements.end(),
                                     [](const auto& entry) { return entry.second.stopping; });
        if (any) sendOrders(*machine);
    }
}

void Leader::quarantine(Machine& machine) {
    spdlog::info("{} has begun to count anew and is given up", machine.id);
    machine.quarantined = true;
    machine.releasing = true;
}

void Leader::removeMachine(Machine& machine) {
    const auto id = machine.id;
    removedMachines_.note(machine);
    ends_.endAll(machine, now_);
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
        ends_.endAll(*machine, now_);
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

void Leader::on(JobsChanged& command) {
    for (const auto& id : command.ids)
        if (auto* job = replica_.find(id)) jobChanged(*job);
}

void Leader::jobsChanged(const std::vector<bookkeeping::Change>& changes) {
    for (const auto& change : changes)
        if (auto* job = replica_.find(change.id)) jobChanged(*job);
}

void Leader::jobChanged(Job& job) {
    order_.markStale();
    if (job.final == Final::open) {
        // One that waited for others cannot be on a machine: an earlier leader would have seen them stored as
        // done, and so would this one as it began.
        if (!job.run && job.ready()) runs_.begin(job, false, now_);
        return;
    }
    order_.remove(job);
    writer_.forget(job);
    if (job.run) stopper_.stopJob(job, Seconds(0), now_);
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

// --- time -------------------------------------------------------------------------------------------------

void Leader::on(Tick&) {
    silence_.noteTick(now_);
    checkSilentMachines();
    refreshOrder();
    refreshPacing();
    gangs_.plan(now_);
    if (policy_.preempt && now_ >= nextPreemption_) {
        nextPreemption_ = now_ + kPreemptionInterval;
        preemption_.makeRoom(now_);
    }
    if (now_ >= nextProvisioning_) {
        nextProvisioning_ = now_ + kProvisioningInterval;
        provision();
    }
    if (now_ >= nextLog_ && spdlog::should_log(spdlog::level::debug)) {
        nextLog_ = now_ + kLogInterval;
        logState();
    }
}

void Leader::refreshOrder() {
    if (!order_.refresh(replica_, fleet_, dayClock_, now_)) return;
    for (auto* job : order_.open()) {
        pacing_.admit(*job, fleet_);
        accelerators_.recordNeed(*job);
    }
}

/// What is counted over all machines that are up, now and then and not for each report.
void Leader::refreshPacing() {
    if (now_ < nextPacing_) return;
    nextPacing_ = now_ + kPacingInterval;
    std::vector<const Machine*> up;
    for (const auto& [id, machine] : fleet_.machines())
        if (machine->reports && machine->acknowledged) up.push_back(machine.get());
    pacing_.refresh(order_.waiting(), up, fleet_, now_);
    accelerators_.refresh(up, now_);
}

/// The whole picture, for a debug log.
void Leader::logState() const {
    for (const auto& [id, machine] : fleet_.machines()) {
        const auto& m = *machine;
        const bool leaving = m.draining || m.releasing || m.failed || m.recallAt;
        spdlog::debug(
            "machine {} {} {} spot {} reports {} roster {} tasks {} cpus {} gpus {} memory {} images {}{}{}",
            id, m.type, m.zone, m.spot, m.reports, static_cast<int>(m.roster), m.placements.size(),
            m.used.cpus, m.used.gpus, m.used.memoryGb, m.images.size(), leaving ? ", leaving" : "",
            m.isReserved(now_) ? ", reserved" : "");
    }
    for (const auto* job : order_.waiting())
        spdlog::debug("job {} {} rank {} waits: {} of {} tasks, {} possible, for {:.1f} s", job->spec.id,
                      job->spec.jobClass, rankOf(*job), job->run->waiting, job->spec.tasks,
                      job->run->liveTotal, Seconds(now_ - job->run->waitingSince).count());
    for (const auto& offering : provisioner_.refusals().refusedNow(now_))
        spdlog::debug("refused: {} {} spot {}", offering.type, offering.zone, offering.spot);
}

}  // namespace burlpoint::coordination
