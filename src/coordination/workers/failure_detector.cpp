#include "coordination/workers/failure_detector.h"

#include <algorithm>

namespace burlpoint::coordination {

using bookkeeping::Machine;
using namespace std::chrono_literals;

namespace {

constexpr auto kCheckInterval = 500ms;
constexpr auto kTakeOverGrace = 1500ms;  // within this after a take-over most workers report by themselves
constexpr std::size_t kMaxProbes = 100;  // at a time
constexpr auto kTickGap = 3s;            // without a tick this node did not lead in the meantime
// A lone silent machine, or two, says nothing of this node; of more, a quarter may be given up at a time.
constexpr std::size_t kAlwaysFewSuspected = 2;
constexpr std::size_t kFewShare = 4;
// Beyond a machine's patience: how long nobody must have reported, and the least age of a leadership, before
// the silence counts as this node's own.
constexpr auto kUnreachedFor = 4s;
constexpr auto kUnreachedSinceStart = 6s;
// Beyond the leases: lost machines are given back and others rented.
constexpr auto kWithoutWorkersMargin = 20s;

Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

/// A worker whose heartbeat fails waits 4 s, and another second before it tries the next node.
Clock::duration failureTimeout(const protocol::Settings& settings) {
    return std::max(ticks(settings.workerLease * 0.4),
                    ticks(settings.heartbeatInterval * 1.25 + Seconds(5.5)));
}

}  // namespace

FailureDetector::FailureDetector(const protocol::Settings& settings, bookkeeping::Fleet& fleet,
                                 std::uint64_t fencingToken, Time began, Clock::duration leaseBound)
    : fleet_(fleet),
      nodes_(settings.peers.size() + 1),
      fencingToken_(fencingToken),
      began_(began),
      leaseBound_(leaseBound),
      suspicionTimeout_(ticks(settings.heartbeatInterval * 2 + Seconds(0.5))),
      failureTimeout_(failureTimeout(settings)),
      heartbeatInterval_(ticks(settings.heartbeatInterval)),
      nextCheck_(began),
      lastHeartbeat_(began) {}

void FailureDetector::noteHeartbeat(Time now) {
    lastHeartbeat_ = now;
    anyHeartbeat_ = true;
}

void FailureDetector::noteTick(Time now) {
    if (lastTick_ != Time{} && now - lastTick_ > kTickGap) {
        // This node was not entitled to act for a while, or too slow: silence meanwhile was its own.
        lastHeartbeat_ = now;
        for (auto& [id, machine] : fleet_.machines())
            machine->lastHeartbeat = std::max(machine->lastHeartbeat, now - heartbeatInterval_);
    }
    lastTick_ = now;
}

FailureDetector::Census FailureDetector::takeCensus(Time now) {
    nextCheck_ = now + kCheckInterval;
    Census census;
    for (auto& [id, machine] : fleet_.machines()) {
        const bool unheard = !machine->reconciled;
        const bool quiet = now - machine->lastHeartbeat > suspicionTimeout_ || machine->unreachableSince;
        if (unheard || machine->sendsHeartbeats) ++(quiet || unheard ? census.suspected : census.reporting);
        const bool counts = unheard || machine->sendsHeartbeats || !machine->placements.empty();
        if (now > machine->leaseUntil && counts) census.expired.push_back(machine.get());
    }
    return census;
}

FailureDetector::Findings FailureDetector::evaluate(const Census& census, Time now) {
    Findings findings;
    const auto all = census.reporting + census.suspected;
    const bool fewAreSuspected = census.suspected <= std::max(kAlwaysFewSuspected, all / kFewShare);
    for (auto& [id, machine] : fleet_.machines()) evaluateMachine(*machine, fewAreSuspected, now, findings);
    findings.resignation = evaluateOwnReachability(census, now);
    return findings;
}

void FailureDetector::evaluateMachine(Machine& machine, bool fewAreSuspected, Time now,
                                      Findings& findings) const {
    const bool unheard = !machine.reconciled;
    if (!unheard && !machine.sendsHeartbeats) return;
    // Heartbeats prove nothing of a machine that has not taken the fencing token or does not act on what it
    // is sent.
    const auto silentSince = unheard ? began_ : machine.unreachableSince.value_or(machine.lastHeartbeat);
    const auto silentFor = now - silentSince;
    if (!unheard && !machine.unreachableSince && silentFor <= suspicionTimeout_) return;
    // The probe carries the fencing token, so a reachable worker reports anew and an unheard one is heard.
    // Most come by themselves after a take-over, when each answer is urgent, so probes wait and come a few at
    // a time.
    const bool probeDue = !machine.probing && (!unheard || silentFor > kTakeOverGrace);
    if (probeDue && findings.toProbe.size() < kMaxProbes) findings.toProbe.push_back(&machine);
    const bool answered = now - machine.probedAt < failureTimeout_;
    const bool holds = unheard || machine.unreachableSince || !machine.placements.empty();
    if (fewAreSuspected && holds && !answered && silentFor > failureTimeout_ && !machine.deletionRequested)
        findings.failedMachines.push_back(&machine);
}

/// Nobody reports here any more: more likely this node's network than all machines at once. Where each node
/// has found the same in turn, they are gone: the next stays until their leases are over, or the nodes would
/// make way for each other for ever.
/// But one that has heard workers and does so no more makes way, and so does the one that stayed if even new
/// machines are not heard.
std::optional<std::string> FailureDetector::evaluateOwnReachability(const Census& census, Time now) {
    // One leadership in as many as there are nodes and one more stays.
    const bool staysAllTheSame = !anyHeartbeat_ && fencingToken_ % (nodes_ + 1) == 0;
    const bool unreached = census.reporting == 0 && census.suspected >= 2 &&
                           now - lastHeartbeat_ > suspicionTimeout_ + kUnreachedFor &&
                           now - began_ > suspicionTimeout_ + kUnreachedSinceStart;
    if (unreached) {
        leadsWithoutWorkers_ = staysAllTheSame;
        if (!staysAllTheSame) return "no worker reaches this node";
    }
    if (leadsWithoutWorkers_ && !anyHeartbeat_ && now - began_ > leaseBound_ + kWithoutWorkersMargin)
        return "no worker has reached this node";
    return std::nullopt;
}

}  // namespace burlpoint::coordination
