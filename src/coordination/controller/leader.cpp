#include "coordination/controller/leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "bookkeeping/machine_status.h"
#include "bookkeeping/machine_types.h"
#include "coordination/scheduling/placement_constraints.h"
#include "coordination/workers/worker_commands.h"

namespace burlpoint::coordination {

using bookkeeping::heartbeatVersionOf;
using bookkeeping::JobOrigin;
using bookkeeping::RegistrationState;
using storage::TerminalState;
using namespace std::chrono_literals;

namespace {

constexpr auto kPacingInterval = 500ms;  // between walks over the fleet for pacing and accelerators
constexpr auto kPreemptionInterval = 250ms;
constexpr auto kAutoscalingInterval = 1s;
constexpr auto kLogInterval = 10s;
constexpr std::uint32_t kProbeAfter = 2;  // reports in a row that were no news

Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

}  // namespace

Clock::duration Leader::leaseBound(const Settings& settings) {
    // Both clocks may be off by 0.05% in opposite directions; the rest is for what a busy node notices late.
    return ticks(settings.workerLease * 1.002 + Seconds(0.3));
}

Leader::Leader(const Settings& settings, const Policy& policy, StateReplica& replica,
               std::uint64_t fencingToken, Time now, std::uint64_t wallMs)
    : settings_(settings),
      policy_(policy),
      replica_(replica),
      fencingToken_(fencingToken),
      began_(now),
      wallClock_(now, wallMs),
      now_(now),
      attemptIds_(fencingToken),
      registry_(replica, fleet_),
      writer_(settings, replica, fleet_, registry_, types_, wallClock_, now),
      failureDetector_(settings, fleet_, fencingToken, now, leaseBound(settings)),
      autoscaler_(settings, policy, replica, fencingToken, now),
      pacing_(settings, policy),
      jobQueue_(policy),
      activator_(settings, wallClock_, jobQueue_, writer_),
      zoneReservations_(policy),
      accelerators_(types_, autoscaler_.capacityErrors()),
      constraints_(accelerators_, zoneReservations_),
      imageLocality_(settings, policy, fleet_, pacing_, constraints_, scans_),
      terminator_(settings, fleet_, jobQueue_),
      gangPlanner_(settings, fleet_, types_, constraints_, jobQueue_, zoneReservations_, attemptIds_),
      scheduler_({settings, fleet_, types_, jobQueue_, pacing_, constraints_, imageLocality_, attemptIds_}),
      preemption_({settings, fleet_, types_, jobQueue_, constraints_, imageLocality_, zoneReservations_,
                   terminator_, scans_}),
      completion_(fleet_, gangPlanner_, jobQueue_, terminator_),
      reconciler_({fencingToken, replica, fleet_, jobQueue_, activator_, writer_, pacing_, terminator_,
                   completion_}) {
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
        if (job->terminalState == TerminalState::none && job->ready())
            activator_.begin(*job, JobOrigin::inherited, now_);
    }
}

void Leader::takeOverMachines() {
    for (const auto& [id, stored] : replica_.registeredMachines) {
        const auto& record = stored.record;
        auto& machine = findOrAddMachine(id, record.type, record.zone, record.spot);
        if (!registry_.mayHoldTasks(id)) continue;  // noted as it was rented: it may boot still
        machine.address = record.address;
        fleet_.setRegistration(machine, RegistrationState::stored);
        // Whatever earlier leaders answered, they answered before now.
        machine.leaseUntil = now_ + leaseBound(settings_);
        machine.lastHeartbeat = now_;
    }
}

std::vector<std::pair<std::string, std::uint32_t>> Leader::runningCounts() const {
    std::vector<std::pair<std::string, std::uint32_t>> counts;
    for (const auto* job : jobQueue_.open())
        if (job->run && job->run->running > 0) counts.emplace_back(job->spec.id, job->run->running);
    return counts;
}

std::vector<Action> Leader::handle(LeaderEvent event, Time now) {
    now_ = std::max(now_, now);
    std::visit([this](auto& c) { on(c); }, event);
    sendUrgentStops();
    if (auto write = writer_.nextWrite(now_)) actions_.push_back(std::move(*write));
    return std::exchange(actions_, {});
}

// --- workers ----------------------------------------------------------------------------------------------

/// The machine's record; a new one is not in the machine registry, so no earlier leader gave the machine a
/// task.
Machine& Leader::findOrAddMachine(const std::string& id, const std::string& type, const std::string& zone,
                                  bool spot) {
    const bool known = fleet_.find(id) != nullptr;
    auto& machine = fleet_.add(id, now_);
    if (known) return machine;
    machine.type = type;
    machine.zone = zone;
    machine.spot = spot;
    machine.typeInfo = bookkeeping::findType(types_, type);
    machine.reconciled = !registry_.mayHoldTasks(id);
    tombstones_.restoreCounters(machine);  // back in the cloud's list, say
    return machine;
}

void Leader::on(HeartbeatReceived& event) {
    const Heartbeat& heartbeat = event.heartbeat;
    if (heartbeat.fencingToken > fencingToken_) {
        // Another node leads by now: its fencing token outranks ours wherever it was seen.
        refuse(event);
        actions_.push_back(Resign{"a worker has seen a higher token"});
        return;
    }
    const bool expected = fleet_.find(heartbeat.machine);
    // A heartbeat that was held back, or a copy of one: the machine is gone.
    if (!expected && tombstones_.isLateCopy(heartbeat)) return refuse(event);
    auto& machine = findOrAddMachine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot);
    if (machine.quarantined) return refuse(event);
    if (heartbeatVersionOf(heartbeat) <= machine.latestVersion()) return answerStaleHeartbeat(machine, event);
    const bool hasOlderToken = heartbeat.fencingToken < fencingToken_;
    if (machine.acknowledged && hasOlderToken) {
        quarantine(machine);
        return refuse(event);
    }
    machine.staleHeartbeats = 0;
    machine.lastHeartbeat = now_;
    failureDetector_.noteHeartbeat(now_);
    const bool answered = renewLease(machine, hasOlderToken);
    reconciler_.apply(machine, heartbeat, StatusSource::heartbeat, now_);
    if (!answered) return refuse(event);
    // Its entry is written as it comes up, before it has taken the fencing token and can be given tasks.
    if (machine.acknowledged || (expected && machine.reconciled)) registry_.ensureEntry(machine);
    auto commands = composeCommands(machine, heartbeat, event.cancellationsCurrent);
    actions_.push_back(AnswerHeartbeat{event.request, true, std::move(commands)});
    terminator_.noteAnswered(machine.id);
}

/// Counts the machine's lease anew, as the answer to its heartbeat renews it. False: it is not to be
/// answered, as it has not taken the fencing token from earlier answers, so that its lease must come to its
/// end.
bool Leader::renewLease(Machine& machine, bool hasOlderToken) {
    if (!machine.reconciled && hasOlderToken) {
        // It has not taken our fencing token, so no answer of ours to an earlier report has renewed its
        // lease.
        machine.leaseUntil = began_ + leaseBound(settings_);
        if (machine.undeliveredResponses >= kMaxUndeliveredResponses) return false;
        ++machine.undeliveredResponses;
    }
    const auto leaseSoFar = machine.reconciled ? Time{} : machine.leaseUntil;
    machine.leaseUntil = std::max(leaseSoFar, now_ + leaseBound(settings_));
    machine.sendsHeartbeats = true;
    return true;
}

void Leader::refuse(const HeartbeatReceived& event) {
    actions_.push_back(AnswerHeartbeat{event.request, false, {}});
}

/// A late copy, or overtaken by a direct answer: old news either way. It was sent before the newest message
/// came, so an answer renews the lease from then at most.
void Leader::answerStaleHeartbeat(Machine& machine, const HeartbeatReceived& event) {
    // With an older fencing token it may come of a worker that counts anew, which must not take ours
    // unnoticed.
    if (machine.sendsHeartbeats && event.heartbeat.fencingToken >= fencingToken_) {
        machine.leaseUntil = std::max(machine.leaseUntil, machine.lastMessageAt + leaseBound(settings_));
        // As it may renew the lease, it brings what is to stop.
        actions_.push_back(AnswerHeartbeat{event.request, true, stopCommands(machine)});
    } else {
        refuse(event);
    }
    if (++machine.staleHeartbeats >= kProbeAfter) probe(machine);
}

std::vector<WorkerCommand> Leader::composeCommands(Machine& machine, const Heartbeat& heartbeat,
                                                   bool cancellationsCurrent) {
    if (!machine.acknowledged) return stopsOfTerminatedJobs(heartbeat, replica_);
    std::vector<WorkerCommand> commands;
    if (addCleanupCommands(heartbeat, replica_, commands) == CommandFit::truncated) return commands;
    for (auto& command : stopCommands(machine)) commands.push_back(std::move(command));
    // A leader cut off from the store is entitled for some seconds yet, in which others may tell users that
    // jobs are cancelled: what runs goes on, and nothing new starts.
    if (!cancellationsCurrent || !usable(machine, now_)) return commands;
    refreshJobQueue();
    refreshPacing();
    scheduler_.schedule(machine, commands, now_);
    return commands;
}

void Leader::on(CommandsAnswered& event) {
    auto* machine = fleet_.find(event.machine);
    if (!machine) return;
    machine->probing = false;
    if (!event.heartbeat) return;
    const Heartbeat& heartbeat = *event.heartbeat;
    if (heartbeat.machine != machine->id) return;
    if (heartbeat.fencingToken > fencingToken_) {
        actions_.push_back(Resign{"a worker has seen a higher token"});
        return;
    }
    if (machine->quarantined) return;
    // The answer was made after the probe was sent.
    if (heartbeatVersionOf(heartbeat) <= event.known ||
        (machine->acknowledged && heartbeat.fencingToken < fencingToken_))
        return quarantine(*machine);
    machine->probedAt = now_;
    machine->unreachableSince.reset();
    machine->undeliveredResponses = 0;
    machine->staleHeartbeats = 0;
    const bool retry = !machine->acknowledged && heartbeat.fencingToken < fencingToken_ &&
                       heartbeat.incarnation != machine->incarnation;
    if (heartbeatVersionOf(heartbeat) > machine->latestVersion())
        reconciler_.apply(*machine, heartbeat, StatusSource::answer, now_);
    // The probe named an old incarnation and was turned down; with the right one the fencing token gets
    // through.
    if (retry) probe(*machine);
}

/// A direct command without orders: it carries the fencing token, and its answer is newer than all that came
/// before.
void Leader::probe(Machine& machine) {
    if (machine.probing || machine.address.empty()) return;
    machine.probing = true;
    sendCommands(machine);
}

void Leader::sendCommands(const Machine& machine) {
    actions_.push_back(SendCommands{machine.id, machine.address, machine.incarnation, stopCommands(machine),
                                    machine.latestVersion()});
}

void Leader::sendUrgentStops() {
    for (const auto& id : terminator_.takeUrgent()) {
        const auto* machine = fleet_.find(id);
        if (!machine || !machine->acknowledged || machine->address.empty()) continue;
        const bool any = std::any_of(machine->placements.begin(), machine->placements.end(),
                                     [](const auto& entry) { return entry.second.stopping; });
        if (any) sendCommands(*machine);
    }
}

void Leader::quarantine(Machine& machine) {
    spdlog::info("{} has begun to count anew and is given up", machine.id);
    machine.quarantined = true;
    machine.deletionRequested = true;
}

void Leader::removeMachine(Machine& machine) {
    const auto id = machine.id;
    tombstones_.add(machine);
    completion_.endAll(machine, now_);
    registry_.forget(machine);
    fleet_.erase(id);
    jobQueue_.markStale();
}

void Leader::checkFailedMachines() {
    if (!failureDetector_.isDue(now_)) return;
    registry_.removeEntriesWithoutMachine();
    const auto census = failureDetector_.takeCensus(now_);
    for (auto* machine : census.expired) {
        spdlog::info("the lease of {} is over", machine->id);
        completion_.endAll(*machine, now_);
        machine->sendsHeartbeats = false;
    }
    const auto findings = failureDetector_.evaluate(census, now_);
    for (auto* machine : findings.toProbe) probe(*machine);
    for (auto* machine : findings.failedMachines) {
        spdlog::info("{} is silent and is given up", machine->id);
        machine->deletionRequested = true;
    }
    if (findings.isolation != Isolation::none) actions_.push_back(Resign{describe(findings.isolation), true});
}

// --- users and the key-value store
// --------------------------------------------------------------------------

void Leader::on(JobsChanged& event) {
    for (const auto& id : event.ids)
        if (auto* job = replica_.find(id)) jobChanged(*job);
}

void Leader::jobsChanged(const std::vector<bookkeeping::Change>& changes) {
    for (const auto& change : changes)
        if (auto* job = replica_.find(change.id)) jobChanged(*job);
}

void Leader::jobChanged(Job& job) {
    jobQueue_.markStale();
    if (job.terminalState == TerminalState::none) {
        // One that waited for others cannot be on a machine: an earlier leader would have seen them stored as
        // done, and so would this one as it began.
        if (!job.run && job.ready()) activator_.begin(job, JobOrigin::accepted, now_);
        return;
    }
    jobQueue_.remove(job);
    writer_.forget(job);
    if (job.run) terminator_.stopJob(job, Seconds(0), now_);
}

void Leader::on(StateWritten& event) {
    const auto outcome = writer_.handle(event, now_);
    for (auto* job : outcome.ended) jobQueue_.remove(*job);
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

void Leader::on(ReplicaRefreshed& event) {
    if (!event.ok) {
        actions_.push_back(RefreshReplica{});
        return;
    }
    writer_.replicaRefreshed();
    registry_.ensureEntriesOfMachinesWithHeartbeat();
}

// --- time -------------------------------------------------------------------------------------------------

void Leader::on(Tick&) {
    failureDetector_.noteTick(now_);
    checkFailedMachines();
    refreshJobQueue();
    refreshPacing();
    gangPlanner_.plan(now_);
    if (policy_.preempt && now_ >= nextPreemption_) {
        nextPreemption_ = now_ + kPreemptionInterval;
        preemption_.preemptForWaitingJobs(now_);
    }
    if (now_ >= nextAutoscaling_) {
        nextAutoscaling_ = now_ + kAutoscalingInterval;
        autoscale();
    }
    if (now_ >= nextLog_ && spdlog::should_log(spdlog::level::debug)) {
        nextLog_ = now_ + kLogInterval;
        logState();
    }
}

void Leader::refreshJobQueue() {
    if (!jobQueue_.refresh(replica_, fleet_, wallClock_, now_)) return;
    for (auto* job : jobQueue_.open()) {
        pacing_.admit(*job, fleet_);
        accelerators_.recordDemand(*job);
    }
}

/// What is counted over all machines that are up, now and then and not for each heartbeat.
void Leader::refreshPacing() {
    if (now_ < nextPacing_) return;
    nextPacing_ = now_ + kPacingInterval;
    std::vector<const Machine*> up;
    for (const auto& [id, machine] : fleet_.machines())
        if (machine->sendsHeartbeats && machine->acknowledged) up.push_back(machine.get());
    pacing_.refresh(jobQueue_.waiting(), up, fleet_, now_);
    accelerators_.refresh(up, now_);
}

/// The whole picture, for a debug log.
void Leader::logState() const {
    for (const auto& [id, machine] : fleet_.machines()) {
        const auto& m = *machine;
        const bool leaving = m.draining || m.deletionRequested || m.failed || m.interruptionAt;
        spdlog::debug(
            "machine {} {} {} spot {} reports {} roster {} tasks {} cpus {} gpus {} memory {} images {}{}{}",
            id, m.type, m.zone, m.spot, m.sendsHeartbeats, static_cast<int>(m.registration),
            m.placements.size(), m.used.cpus, m.used.gpus, m.used.memoryGb, m.images.size(),
            leaving ? ", leaving" : "", m.isReserved(now_) ? ", reserved" : "");
    }
    for (const auto* job : jobQueue_.waiting())
        spdlog::debug("job {} {} rank {} waits: {} of {} tasks, {} possible, for {:.1f} s", job->spec.id,
                      job->spec.jobClass, static_cast<int>(rankOf(*job)), job->run->waiting, job->spec.tasks,
                      job->run->placedTotal, Seconds(now_ - job->run->waitingSince).count());
    for (const auto& offering : autoscaler_.capacityErrors().unavailableNow(now_))
        spdlog::debug("refused: {} {} spot {}", offering.type, offering.zone, offering.spot);
}

}  // namespace burlpoint::coordination
