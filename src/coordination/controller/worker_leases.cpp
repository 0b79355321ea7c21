#include "coordination/controller/worker_leases.h"

#include <algorithm>

#include "coordination/workers/heartbeat_reconciler.h"

namespace burlpoint::coordination {

using bookkeeping::Machine;

namespace {

constexpr double kClockDrift = 1.002;      // twice the 0.1% between two clocks, each off by up to 0.05%
constexpr Seconds kProcessingMargin{0.3};  // a busy controller handles a message with a delay

}  // namespace

WorkerLeases::WorkerLeases(const protocol::Settings& settings, std::uint64_t fencingToken,
                           Time leadershipStart)
    : settings_(settings), fencingToken_(fencingToken), leadershipStart_(leadershipStart) {}

Clock::duration WorkerLeases::maxDuration(const protocol::Settings& settings) {
    return std::chrono::duration_cast<Clock::duration>(settings.workerLease * kClockDrift +
                                                       kProcessingMargin);
}

void WorkerLeases::inherit(Machine& machine, Time now) const {
    machine.lease.until = now + maxDuration(settings_);
    machine.lease.lastHeartbeat = now;
}

WorkerLeases::Renewal WorkerLeases::renew(Machine& machine, const protocol::Heartbeat& heartbeat,
                                          Time now) const {
    const bool hasOlderToken = heartbeat.fencingToken < fencingToken_;
    if (!machine.registry.reconciled && hasOlderToken) {
        // The worker has not adopted this leader's fencing token, so no response of this leader has renewed
        // the lease so far.
        machine.lease.until = leadershipStart_ + maxDuration(settings_);
        if (machine.agent.undeliveredResponses >= kMaxUndeliveredResponses) return Renewal::mustExpire;
        ++machine.agent.undeliveredResponses;
    }
    const auto currentExpiry = machine.registry.reconciled ? Time{} : machine.lease.until;
    machine.lease.until = std::max(currentExpiry, now + maxDuration(settings_));
    machine.lease.active = true;
    return Renewal::renewed;
}

void WorkerLeases::extendForStaleHeartbeat(Machine& machine) const {
    machine.lease.until = std::max(machine.lease.until, machine.agent.lastMessageAt + maxDuration(settings_));
}

}  // namespace burlpoint::coordination
