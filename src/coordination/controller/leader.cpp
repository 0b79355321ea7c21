#include "coordination/controller/leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/controller/leader_debug_log.h"

namespace burlpoint::coordination {

using bookkeeping::RegistrationState;
using bookkeeping::StateReplica;
using protocol::Policy;
using protocol::Settings;
using namespace std::chrono_literals;

namespace {

// Intervals between runs of preemption, autoscaling and debug logging, each of which may scan all waiting
// jobs and the whole fleet.
constexpr auto kPreemptionInterval = 250ms;
constexpr auto kAutoscalingInterval = 1s;
constexpr auto kLogInterval = 10s;

}  // namespace

Leader::Leader(const Settings& settings, const Policy& policy, StateReplica& replica,
               std::uint64_t fencingToken, Time now, std::uint64_t wallMs)
    : policy_(policy),
      replica_(replica),
      fencingToken_(fencingToken),
      wallClock_(now, wallMs),
      now_(now),
      attemptIds_(fencingToken),
      registry_(replica, fleet_),
      writer_(settings, replica, fleet_, registry_, types_, wallClock_, now),
      failureDetector_(settings, fleet_, fencingToken, now, WorkerLeases::maxDuration(settings)),
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
      reconciler_(
          {fencingToken, replica, fleet_, jobQueue_, activator_, writer_, pacing_, terminator_, completion_}),
      membership_(fleet_, types_, registry_, completion_, jobQueue_),
      leases_(settings, fencingToken, now),
      directCommands_(fleet_, terminator_, actions_),
      inputs_({replica, fleet_, wallClock_, jobQueue_, pacing_, accelerators_}),
      heartbeatCommands_(replica, inputs_, scheduler_),
      heartbeatHandler_({fencingToken, fleet_, membership_, leases_, failureDetector_, reconciler_, registry_,
                         terminator_, heartbeatCommands_, directCommands_, actions_}),
      healthCheck_(failureDetector_, registry_, completion_, directCommands_, actions_),
      jobChangeHandler_(replica, jobQueue_, activator_, writer_, terminator_),
      cloudResponseHandler_(
          {replica, fleet_, types_, membership_, registry_, writer_, autoscaler_, jobQueue_}) {
    for (const auto& type : replica.types) types_[type.name] = type;
    jobChangeHandler_.inheritAll(now);
    inheritMachines();
}

Leader::~Leader() {
    for (const auto& [id, job] : replica_.jobs()) job->run.reset();
}

void Leader::inheritMachines() {
    for (const auto& [id, stored] : replica_.registeredMachines) {
        const auto& record = stored.record;
        auto& machine = membership_.findOrAdd(id, {record.type, record.zone, record.spot}, now_);
        if (!registry_.mayHoldTasks(id)) continue;  // the machine was requested and may still be booting
        machine.address = record.address;
        fleet_.setRegistration(machine, RegistrationState::stored);
        leases_.inherit(machine, now_);
    }
}

std::vector<std::pair<std::string, std::uint32_t>> Leader::runningCounts() const {
    std::vector<std::pair<std::string, std::uint32_t>> counts;
    for (const auto* job : jobQueue_.openJobs())
        if (job->run && job->run->running > 0) counts.emplace_back(job->spec.id, job->run->running);
    return counts;
}

std::vector<Action> Leader::handle(LeaderEvent event, Time now) {
    now_ = std::max(now_, now);
    std::visit([this](const auto& e) { on(e); }, event);
    directCommands_.sendUrgentStops();
    if (auto write = writer_.nextWrite(now_)) actions_.push_back(std::move(*write));
    return std::exchange(actions_, {});
}

void Leader::on(const HeartbeatReceived& event) { heartbeatHandler_.handle(event, now_); }

void Leader::on(const CommandsAnswered& event) { heartbeatHandler_.handle(event, now_); }

void Leader::on(const JobsChanged& event) { jobChangeHandler_.apply(event.ids, now_); }

void Leader::on(const StateWritten& event) {
    const auto outcome = writer_.handle(event, now_);
    for (auto* job : outcome.ended) jobQueue_.remove(*job);
    // Jobs that depend on the ended ones may start only now: until the end was stored, a concurrent
    // cancellation could still have taken precedence.
    jobChangeHandler_.apply(outcome.changes, now_);
    switch (outcome.followUp) {
        case StateWriter::FollowUp::none:
            break;
        case StateWriter::FollowUp::resign:
            actions_.emplace_back(Resign{ResignationReason::newerTokenStored});
            break;
        case StateWriter::FollowUp::refreshReplica:
            actions_.push_back(RefreshReplica{});
            break;
    }
}

void Leader::on(const ReplicaRefreshed& event) {
    if (event.outcome == RefreshOutcome::failed) {
        actions_.push_back(RefreshReplica{});
        return;
    }
    writer_.resumeAfterRefresh();
    registry_.ensureEntriesOfMachinesWithHeartbeat();
}

void Leader::on(const ScaleOutCompleted& event) { cloudResponseHandler_.handle(event, now_); }

void Leader::on(const ScaleInCompleted& event) { cloudResponseHandler_.handle(event, now_); }

void Leader::on(const MachinesListed& event) { cloudResponseHandler_.handle(event, now_); }

void Leader::on(const TypesListed& event) { cloudResponseHandler_.handle(event); }

void Leader::on(const Tick&) {
    healthCheck_.tick(now_);
    inputs_.refresh(now_);
    gangPlanner_.plan(now_);
    preemptIfDue();
    autoscaleIfDue();
    logStateIfDue();
}

void Leader::preemptIfDue() {
    if (!policy_.preempt || now_ < nextPreemption_) return;
    nextPreemption_ = now_ + kPreemptionInterval;
    preemption_.preemptForWaitingJobs(now_);
}

void Leader::autoscaleIfDue() {
    if (now_ < nextAutoscaling_) return;
    nextAutoscaling_ = now_ + kAutoscalingInterval;
    const auto dueAt = [this](const bookkeeping::Job& job) { return wallClock_.steadyAt(*job.dueAtMs); };
    auto requests = autoscaler_.decide(fleet_, types_, {jobQueue_.waiting(), dueAt}, now_);
    for (auto& request : requests.scaleOuts) actions_.push_back(ScaleOut{std::move(request)});
    if (!requests.scaleIn.empty()) actions_.push_back(ScaleIn{std::move(requests.scaleIn)});
    if (requests.listMachines) actions_.push_back(ListMachines{});
    if (requests.listTypes) actions_.push_back(ListTypes{});
}

void Leader::logStateIfDue() {
    if (now_ < nextLog_ || !spdlog::should_log(spdlog::level::debug)) return;
    nextLog_ = now_ + kLogInterval;
    logLeaderState(fleet_, jobQueue_, autoscaler_.capacityErrors(), now_);
}

}  // namespace burlpoint::coordination
