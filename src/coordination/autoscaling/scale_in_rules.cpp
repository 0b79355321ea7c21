#include "coordination/autoscaling/scale_in_rules.h"

#include <algorithm>

#include "bookkeeping/machine_status.h"

namespace burlpoint::coordination {

using bookkeeping::Machine;
using namespace std::chrono_literals;

namespace {

// A machine without tasks counts as lost after sending no heartbeat for this long past the expiry of its
// lease.
constexpr Clock::duration kLostAfterLeaseExpiry = 10s;
// A machine has failed to boot if it sends no heartbeat within this many boot times of its type plus the
// margin.
constexpr double kMaxBootTimes = 3.5;
constexpr Seconds kBootMargin{15};

bool failedToBoot(const Machine& machine, Time now) {
    if (!machine.typeInfo) return false;
    const auto limit = toClockDuration(machine.typeInfo->bootTime * kMaxBootTimes + kBootMargin);
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
    if (isLost(machine, now) || machine.cloud.draining || isFaulty(machine, now)) return true;
    return isIdle(machine, now) && !neededMachines.contains(machine.id);
}

/// True if the machine has had no task for longer than its idle retention time, has existed for longer than
/// the policy's minimum lifetime, which follows from the cloud's minimum charge, and is not reserved.
bool ScaleInRules::isIdle(const Machine& machine, Time now) const {
    // A machine of a type that boots slowly is kept longer, since the next job would have to wait for a full
    // boot.
    const auto bootRetention =
        machine.typeInfo ? machine.typeInfo->bootTime * policy_.bootRetention : Seconds(0);
    const auto idleRetention = toClockDuration(std::max(policy_.idleRetention, bootRetention));
    const auto minRetention = toClockDuration(policy_.minRetention);
    return now - machine.history.lastBusyAt > idleRetention &&
           now - machine.cloud.firstSeenAt > minRetention && machine.reservation.until <= now;
}

}  // namespace burlpoint::coordination
