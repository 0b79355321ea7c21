#include "coordination/silence_monitor.h"

#include <algorithm>

namespace burlpoint::coordination {

using bookkeeping::Machine;
using protocol::Seconds;
using transport::Clock;
using transport::Time;
using namespace std::chrono_literals;

namespace {

constexpr auto kCheckInterval = 500ms;
constexpr auto kTakeOverGrace = 1500ms;  // within this after a take-over most workers report by themselves
constexpr std::size_t kMaxProbes = 100;  // at a time
constexpr auto kTickGap = 3s;            // without a tick this node did not lead in the meantime
// A lone silent machine, or two, says nothing of this node; of more, a quarter may be given up at a time.
constexpr std::size_t kAlwaysFew = 2;
constexpr std::size_t kFewShare = 4;
// Beyond a machine's patience: how long nobody must have reported, and the least age of a leadership, before
// the silence counts as this node's own.
constexpr auto kUnreachedFor = 4s;
constexpr auto kUnreachedSinceStart = 6s;
// Beyond the leases: lost machines are given back and others rented.
constexpr auto kWithoutWorkersMargin = 20s;

Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

/// A worker whose report fails waits 4 s, and another second before it tries the next node.
Clock::duration giveUpAfter(const protocol::Settings& settings) {
    return std::max(ticks(settings.lease * 0.4), ticks(settings.report * 1.25 + Seconds(5.5)));
}

}  // namespace

SilenceMonitor::SilenceMonitor(const protocol::Settings& settings, bookkeeping::Fleet& fleet,
                               std::uint64_t token, Time began, Clock::duration leaseBound)
    : fleet_(fleet),
      nodes_(settings.peers.size() + 1),
      token_(token),
      began_(began),
      leaseBound_(leaseBound),
      patience_(ticks(settings.report * 2 + Seconds(0.5))),
      giveUp_(giveUpAfter(settings)),
      reportInterval_(ticks(settings.report)),
      nextCheck_(began),
      lastReport_(began) {}

void SilenceMonitor::noteReport(Time now) {
    lastReport_ = now;
    anyReport_ = true;
}

void SilenceMonitor::noteTick(Time now) {
    if (lastTick_ != Time{} && now - lastTick_ > kTickGap) {
        // This node was not entitled to act for a while, or too slow: silence meanwhile was its own.
        lastReport_ = now;
        for (auto& [id, machine] : fleet_.machines())
            machine->lastReport = std::max(machine->lastReport, now - reportInterval_);
    }
    lastTick_ = now;
}

SilenceMonitor::Census SilenceMonitor::takeCensus(Time now) {
    nextCheck_ = now + kCheckInterval;
    Census census;
    for (auto& [id, machine] : fleet_.machines()) {
        const bool unheard = !machine->reconciled;
        const bool quiet = now - machine->lastReport > patience_ || machine->unreachableSince;
        if (unheard || machine->reports) ++(quiet || unheard ? census.silent : census.reporting);
        const bool counts = unheard || machine->reports || !machine->placements.empty();
        if (now > machine->leaseUntil && counts) census.lapsed.push_back(machine.get());
    }
    return census;
}

SilenceMonitor::Findings SilenceMonitor::judge(const Census& census, Time now) {
    Findings findings;
    const auto all = census.reporting + census.silent;
    const bool fewAreSilent = census.silent <= std::max(kAlwaysFew, all / kFewShare);
    for (auto& [id, machine] : fleet_.machines()) judgeMachine(*machine, fewAreSilent, now, findings);
    findings.resignation = judgeOwnReach(census, now);
    return findings;
}

void SilenceMonitor::judgeMachine(Machine& machine, bool fewAreSilent, Time now, Findings& findings) const {
    const bool unheard = !machine.reconciled;
    if (!unheard && !machine.reports) return;
    // Reports prove nothing of a machine that has not taken the token or does not act on what it is sent.
    const auto silentSince = unheard ? began_ : machine.unreachableSince.value_or(machine.lastReport);
    const auto silence = now - silentSince;
    if (!unheard && !machine.unreachableSince && silence <= patience_) return;
    // The probe carries the token, so a reachable worker reports anew and an unheard one is heard. Most
    // come by themselves after a take-over, when each answer is urgent, so probes wait and come a few at
    // a time.
    const bool probeDue = !machine.probing && (!unheard || silence > kTakeOverGrace);
    if (probeDue && findings.toProbe.size() < kMaxProbes) findings.toProbe.push_back(&machine);
    const bool answered = now - machine.probedAt < giveUp_;
    const bool holds = unheard || machine.unreachableSince || !machine.placements.empty();
    if (fewAreSilent && holds && !answered && silence > giveUp_ && !machine.releasing)
        findings.toGiveUp.push_back(&machine);
}

/// Nobody reports here any more: more likely this node's network than all machines at once. Where each node
/// has found the same in turn, they are gone: the next stays until their leases are over, or the nodes would
/// make way for each other for ever.
/// But one that has heard workers and does so no more makes way, and so does the one that stayed if even new
/// machines are not heard.
std::optional<std::string> SilenceMonitor::judgeOwnReach(const Census& census, Time now) {
    // One leadership in as many as there are nodes and one more stays.
    const bool staysAllTheSame = !anyReport_ && token_ % (nodes_ + 1) == 0;
    const bool unreached = census.reporting == 0 && census.silent >= 2 &&
                           now - lastReport_ > patience_ + kUnreachedFor &&
                           now - began_ > patience_ + kUnreachedSinceStart;
    if (unreached) {
        leadsWithoutWorkers_ = staysAllTheSame;
        if (!staysAllTheSame) return "no worker reaches this node";
    }
    if (leadsWithoutWorkers_ && !anyReport_ && now - began_ > leaseBound_ + kWithoutWorkersMargin)
        return "no worker has reached this node";
    return std::nullopt;
}

}  // namespace burlpoint::coordination
