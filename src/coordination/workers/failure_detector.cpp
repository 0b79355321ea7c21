#include "coordination/workers/failure_detector.h"

#include <algorithm>

namespace burlpoint::coordination {

using bookkeeping::Machine;
using namespace std::chrono_literals;

namespace {

constexpr auto kCensusInterval = 500ms;
constexpr auto kProbeGrace = 1500ms;     // after a failover: most workers send a heartbeat within this
constexpr std::size_t kMaxProbes = 100;  // in one evaluation
constexpr auto kTickGap = 3s;            // after a longer gap this controller did not lead in the meantime
// One or two suspected machines, or a quarter of all, may be declared failed at a time. If more are
// suspected, the cause is probably not in the machines.
constexpr std::size_t kAlwaysFewSuspected = 2;
constexpr std::size_t kFewShare = 4;

Clock::duration suspicionTimeout(const protocol::Settings& settings) {
    return toClockDuration(settings.heartbeatInterval * 2 + Seconds(0.5));
}

/// A worker whose heartbeat fails waits 4 s, and another second before it tries the next controller.
Clock::duration failureTimeout(const protocol::Settings& settings) {
    return std::max(toClockDuration(settings.workerLease * 0.4),
                    toClockDuration(settings.heartbeatInterval * 1.25 + Seconds(5.5)));
}

/// Tasks of an earlier leader may be on the machine, and its worker has not shown this leader's fencing
/// token.
bool isUnreconciled(const Machine& machine) { return !machine.registry.reconciled; }

bool isMonitored(const Machine& machine) { return isUnreconciled(machine) || machine.lease.active; }

}  // namespace

FailureDetector::FailureDetector(const protocol::Settings& settings, bookkeeping::Fleet& fleet,
                                 std::uint64_t fencingToken, Time began, Clock::duration leaseBound)
    : fleet_(fleet),
      began_(began),
      suspicionTimeout_(suspicionTimeout(settings)),
      failureTimeout_(failureTimeout(settings)),
      heartbeatInterval_(toClockDuration(settings.heartbeatInterval)),
      isolation_({settings.peers.size() + 1, fencingToken, began, leaseBound, suspicionTimeout(settings)}),
      nextCensus_(began) {}

void FailureDetector::noteHeartbeat(Time now) { isolation_.noteHeartbeat(now); }

void FailureDetector::noteTick(Time now) {
    if (lastTick_ != Time{} && now - lastTick_ > kTickGap) {
        // This controller was not allowed to act for a while, or too slow, so it missed the heartbeats
        // itself.
        isolation_.noteSuspension(now);
        for (auto& [id, machine] : fleet_.machines())
            machine->lease.lastHeartbeat = std::max(machine->lease.lastHeartbeat, now - heartbeatInterval_);
    }
    lastTick_ = now;
}

FailureDetector::Census FailureDetector::takeCensus(Time now) {
    nextCensus_ = now + kCensusInterval;
    Census census;
    for (auto& [id, machine] : fleet_.machines()) {
        if (isMonitored(*machine)) ++(suspectedFor(*machine, now) ? census.suspected : census.alive);
        const bool mayHoldTasks = isMonitored(*machine) || !machine->placements.empty();
        if (now > machine->lease.until && mayHoldTasks) census.expired.push_back(machine.get());
    }
    return census;
}

FailureDetector::Findings FailureDetector::evaluate(const Census& census, Time now) {
    Findings findings;
    const auto policy = failurePolicy(census);
    for (auto& [id, machine] : fleet_.machines()) evaluateMachine(*machine, policy, now, findings);
    findings.isolation = isolation_.evaluate(census.alive, census.suspected, now);
    return findings;
}

FailureDetector::FailurePolicy FailureDetector::failurePolicy(const Census& census) {
    const auto monitored = census.alive + census.suspected;
    const auto few = std::max(kAlwaysFewSuspected, monitored / kFewShare);
    return census.suspected <= few ? FailurePolicy::allow : FailurePolicy::suspend;
}

/// How long the machine has been suspected, or none if it is not. Heartbeats do not clear a machine that has
/// not shown the fencing token or does not receive what it is sent.
std::optional<Clock::duration> FailureDetector::suspectedFor(const Machine& machine, Time now) const {
    if (isUnreconciled(machine)) return now - began_;
    if (!machine.lease.active) return std::nullopt;
    if (machine.agent.unreachableSince) return now - *machine.agent.unreachableSince;
    const auto sinceHeartbeat = now - machine.lease.lastHeartbeat;
    return sinceHeartbeat > suspicionTimeout_ ? std::optional(sinceHeartbeat) : std::nullopt;
}

void FailureDetector::evaluateMachine(Machine& machine, FailurePolicy policy, Time now,
                                      Findings& findings) const {
    const auto suspected = suspectedFor(machine, now);
    if (!suspected) return;
    // A probe carries the fencing token, so a machine that can be reached is reconciled by its answer. After
    // a failover most send a heartbeat by themselves, and each answer is urgent then, so probes wait and are
    // bounded in number.
    const bool probeDue = !machine.agent.probing && (!isUnreconciled(machine) || *suspected > kProbeGrace);
    if (probeDue && findings.toProbe.size() < kMaxProbes) findings.toProbe.push_back(&machine);
    if (policy == FailurePolicy::allow && hasFailed(machine, *suspected, now))
        findings.failedMachines.push_back(&machine);
}

/// Has the suspected machine failed for good, and is its deletion still to be requested?
bool FailureDetector::hasFailed(const Machine& machine, Clock::duration suspected, Time now) const {
    // A machine without tasks costs nobody anything, so it is only probed until its lease expires.
    const bool blocksWork =
        isUnreconciled(machine) || machine.agent.unreachableSince || !machine.placements.empty();
    const bool answeredProbe = now - machine.agent.probedAt < failureTimeout_;
    return blocksWork && !answeredProbe && suspected > failureTimeout_ && !machine.cloud.deletionRequested;
}

}  // namespace burlpoint::coordination
