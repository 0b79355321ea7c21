#include "coordination/workers/failure_detector.h"

#include <algorithm>

#include "coordination/scheduling/placement_constraints.h"

namespace burlpoint::coordination {

using bookkeeping::Machine;
using namespace std::chrono_literals;

namespace {

constexpr auto kEvaluationInterval = 500ms;
constexpr auto kProbeDelay = 1500ms;     // after a failover; most workers send a heartbeat within this time
constexpr std::size_t kMaxProbes = 100;  // per evaluation
constexpr auto kSuspensionGap = 3s;      // a longer gap between ticks: this controller did not act meanwhile
// Machines may be declared failed while at most two machines, or a quarter of the monitored ones, are
// suspected. If more are suspected, the machines are probably not the cause.
constexpr std::size_t kMinSuspectedLimit = 2;
constexpr std::size_t kSuspectedLimitDivisor = 4;

/// The second term gives a worker whose heartbeat is lost the time to reach the leader by another heartbeat:
/// it waits 4 s for the response, and another second before it tries the next controller.
Clock::duration failureTimeout(const protocol::Settings& settings) {
    return std::max(toClockDuration(settings.workerLease * 0.4),
                    toClockDuration(settings.heartbeatInterval * 1.25 + Seconds(5.5)));
}

/// True if the machine may hold tasks of an earlier leader, since its worker has not shown this leader's
/// fencing token.
bool isUnreconciled(const Machine& machine) { return !machine.registry.reconciled; }

bool isMonitored(const Machine& machine) { return isUnreconciled(machine) || machine.lease.active; }

}  // namespace

FailureDetector::FailureDetector(const protocol::Settings& settings, bookkeeping::Fleet& fleet,
                                 std::uint64_t fencingToken, Time leadershipStart,
                                 Clock::duration maxLeaseDuration)
    : fleet_(fleet),
      leadershipStart_(leadershipStart),
      suspicionTimeout_(heartbeatTimeout(settings)),
      failureTimeout_(failureTimeout(settings)),
      heartbeatInterval_(toClockDuration(settings.heartbeatInterval)),
      isolation_({settings.peers.size() + 1, fencingToken, leadershipStart, maxLeaseDuration,
                  heartbeatTimeout(settings)}),
      nextEvaluation_(leadershipStart) {}

void FailureDetector::recordHeartbeat(Time now) { isolation_.recordHeartbeat(now); }

void FailureDetector::recordTick(Time now) {
    if (lastTick_ != Time{} && now - lastTick_ > kSuspensionGap) {
        // This controller was suspended or overloaded, or it had no valid leader lease and so got no ticks.
        // It did not process the heartbeats of that time.
        isolation_.recordSuspension(now);
        for (auto& [id, machine] : fleet_.machines())
            machine->lease.lastHeartbeat = std::max(machine->lease.lastHeartbeat, now - heartbeatInterval_);
    }
    lastTick_ = now;
}

FailureDetector::HealthSummary FailureDetector::summarizeHealth(Time now) {
    nextEvaluation_ = now + kEvaluationInterval;
    HealthSummary summary;
    for (auto& [id, machine] : fleet_.machines()) {
        if (isMonitored(*machine)) ++(suspicionDuration(*machine, now) ? summary.suspected : summary.alive);
        const bool mayHoldTasks = isMonitored(*machine) || !machine->placements.empty();
        if (now > machine->lease.until && mayHoldTasks) summary.expired.push_back(machine.get());
    }
    return summary;
}

FailureDetector::Findings FailureDetector::evaluate(const HealthSummary& summary, Time now) {
    Findings findings;
    const auto policy = failurePolicy(summary);
    for (auto& [id, machine] : fleet_.machines()) evaluateMachine(*machine, policy, now, findings);
    findings.isolation = isolation_.evaluate(summary.alive, summary.suspected, now);
    return findings;
}

FailureDetector::FailurePolicy FailureDetector::failurePolicy(const HealthSummary& summary) {
    const auto monitored = summary.alive + summary.suspected;
    const auto limit = std::max(kMinSuspectedLimit, monitored / kSuspectedLimitDivisor);
    return summary.suspected <= limit ? FailurePolicy::allow : FailurePolicy::suspend;
}

/// The time since the last sign that the machine works: since its last heartbeat, since it became
/// unreachable, or since the start of this leadership. Empty if the machine is not suspected. Heartbeats do
/// not end the suspicion of a machine that has not shown this leader's fencing token or that does not receive
/// what is sent to it.
std::optional<Clock::duration> FailureDetector::suspicionDuration(const Machine& machine, Time now) const {
    if (isUnreconciled(machine)) return now - leadershipStart_;
    if (!machine.lease.active) return std::nullopt;
    if (machine.agent.unreachableSince) return now - *machine.agent.unreachableSince;
    const auto sinceHeartbeat = now - machine.lease.lastHeartbeat;
    return sinceHeartbeat > suspicionTimeout_ ? std::optional(sinceHeartbeat) : std::nullopt;
}

void FailureDetector::evaluateMachine(Machine& machine, FailurePolicy policy, Time now,
                                      Findings& findings) const {
    const auto suspected = suspicionDuration(machine, now);
    if (!suspected) return;
    // A probe carries the fencing token, so its answer reconciles a machine that can be reached. After a
    // failover most workers send a heartbeat without a probe and their responses are urgent, so probes are
    // delayed and limited in number.
    const bool probeDue = !machine.agent.probing && (!isUnreconciled(machine) || *suspected > kProbeDelay);
    if (probeDue && findings.toProbe.size() < kMaxProbes) findings.toProbe.push_back(&machine);
    if (policy == FailurePolicy::allow && hasFailed(machine, *suspected, now))
        findings.failedMachines.push_back(&machine);
}

/// True if the suspected machine is to be declared failed: it may delay jobs, has been silent or unreachable
/// for longer than the failure timeout without answering a probe, and its deletion has not been requested
/// yet.
bool FailureDetector::hasFailed(const Machine& machine, Clock::duration suspected, Time now) const {
    // A suspected machine without tasks delays no job, so it is only probed until its lease expires.
    const bool blocksWork =
        isUnreconciled(machine) || machine.agent.unreachableSince || !machine.placements.empty();
    const bool answeredProbe = now - machine.agent.probedAt < failureTimeout_;
    return blocksWork && !answeredProbe && suspected > failureTimeout_ && !machine.cloud.deletionRequested;
}

}  // namespace burlpoint::coordination
