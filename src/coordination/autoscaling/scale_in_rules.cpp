#include "coordination/autoscaling/scale_in_rules.h"

#include <algorithm>

#include "bookkeeping/machine_status.h"

namespace burlpoint::coordination {

using bookkeeping::Machine;
using namespace std::chrono_literals;

namespace {

// A machine without tasks is lost when it sends no heartbeat for so long after its lease expired.
constexpr Clock::duration kLostAfterLeaseExpiry = 10s;
// A machine without a heartbeat after so many boot times of its type, and the margin, does not boot.
constexpr double kMaxBootTimes = 3.5;
constexpr Seconds kBootMargin{15};

bool failedToBoot(const Machine& machine, Time now) {
    if (!machine.typeInfo) return false;
    const auto limit = toClockDuration(machine.typeInfo->boot * kMaxBootTimes + kBootMargin);
    return now - machine.cloud.firstSeenAt > limit;
}

bool isLost(const Machine& machine, Time now) {
    return !machine.lease.active && now > machine.lease.until + kLostAfterLeaseExpiry;
}

}  // namespace

bool ScaleInRules::mayScaleIn(const Machine& machine, const std::set<std::string>& neededMachines,
                              Time now) const {
    if (machine.cloud.deletionRequested || machine.cloud.failed) return true;
    const bool mayHaveTasks = !machine.placements.empty() || !machine.registry.reconciled;
    if (mayHaveTasks) return false;
    if (!wasUp(machine, replica_)) return failedToBoot(machine, now);
    if (isLost(machine, now) || machine.cloud.draining || isFaulty(machine)) return true;
    return isIdle(machine, now) && !neededMachines.contains(machine.id);
}

/// True if the machine has had no task for long, its minimum charge is used up and it is not reserved.
bool ScaleInRules::isIdle(const Machine& machine, Time now) const {
    // A type that boots slowly is kept longer, since the next job would wait for the whole boot.
    const auto bootKeep = machine.typeInfo ? machine.typeInfo->boot * policy_.bootKeep : Seconds(0);
    const auto idleKeep = toClockDuration(std::max(policy_.idleKeep, bootKeep));
    const auto minimumKeep = toClockDuration(policy_.minimumKeep);
    return now - machine.history.lastBusyAt > idleKeep && now - machine.cloud.firstSeenAt > minimumKeep &&
           machine.reservation.until <= now;
}

}  // namespace burlpoint::coordination
