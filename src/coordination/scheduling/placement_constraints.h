#pragma once

// Decides where a job's tasks may run. Combines the placement constraints: the job owner's choices, zone
// spreading, reserved zones, accelerators, failures, team quotas and free capacity. The functions depend on
// their arguments only; PlacementConstraints refers to the policies that it applies and owns no state. Used
// on the leader's thread.

#include <chrono>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "coordination/scheduling/accelerator_policy.h"
#include "coordination/scheduling/zone_reservations.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// Tolerance for rounding errors in sums of decimal amounts of processors, accelerators or GB.
constexpr double kResourceTolerance = 1e-6;

/// The longest time for which a soft constraint may keep a job from machines with free capacity. This leaves
/// a margin to the 90 s after which users count a job as starved if there is free capacity.
constexpr std::chrono::seconds kMaxSoftConstraintTime{60};

/// True if tasks may be started on the machine now. It must send heartbeats, have acknowledged this leader's
/// fencing token, be in the stored machine registry and be of a known type. It must not be draining, about to
/// be deleted or interrupted, failed, faulty, unreachable or in backoff after it refused a start.
bool isUsable(const bookkeeping::Machine& machine, Time now);

/// The time after its last heartbeat from which a machine is suspected to have failed. A worker sends the
/// next one after 1.25 heartbeat intervals at the latest.
Clock::duration heartbeatTimeout(const protocol::Settings& settings);

/// True if the machine has this many processors free, reservations ignored. False for an unknown machine
/// type.
bool hasFreeCpus(const bookkeeping::Machine& machine, double cpus);

/// The maximum number of the job's tasks in one zone: half of them, rounded up, if the job has to be spread
/// over zones, otherwise all.
std::uint32_t maxTasksInZone(const protocol::JobSpec& spec);

/// True if one more of the job's tasks may run in the zone, given the placements of its other tasks. False if
/// the job is restricted to one zone and has tasks in another, or if it has to be spread and the zone has
/// reached `maxTasksInZone`.
bool zoneAllows(const bookkeeping::Job& job, const std::string& zone);

/// True if an attempt of one of the job's tasks that an earlier leader started may be on a machine that is
/// not reconciled yet. Starting another attempt of the task could then run it twice.
bool blockedByUnreconciled(const bookkeeping::Job& job, const bookkeeping::Fleet& fleet);

/// True if the job's team would stay within its maximum quota with this many more tasks of the job. Machines
/// that are not reconciled count as fully used by the team. False for a team that is not in the settings.
bool withinTeamQuota(const bookkeeping::Job& job, std::uint32_t tasks, const bookkeeping::Fleet& fleet,
                     const bookkeeping::MachineTypes& types);

/// True if one of the job's tasks fits into the machine's unused capacity, reservations ignored. This is the
/// cheapest check, so callers make it first.
bool hasFreeCapacity(const bookkeeping::Machine& machine, const bookkeeping::Job& job);

/// The machine's unused capacity, less the part that is reserved for another job and that this job may not
/// use. May be negative. Zero for a machine of an unknown type.
bookkeeping::Resources availableCapacity(const bookkeeping::Machine& machine, const bookkeeping::Job& job,
                                         Time now);

/// The capacity that the job would have on the machine if all tasks that it may preempt were stopped. This is
/// an upper bound: protected starts (see `isProtectedStart`) and the quotas of the tasks' teams, for which
/// `mayPreempt` exempts some tasks, are not considered.
bookkeeping::Resources capacityWithPreemption(const bookkeeping::Machine& machine,
                                              const bookkeeping::Job& job, Time now);

/// True if capacity that preemption freed on the machine is reserved for some job.
bool isReservedByPreemption(const bookkeeping::Machine& machine, Time now);

/// True if the attempt began to run, or was placed if it does not run yet, less than 30 s ago. Users count a
/// task that is stopped sooner as never started.
bool startedRecently(const bookkeeping::Placement& placement, Time now);

/// True if this is the first task that its overdue job started, and it started recently. The newest task is
/// the cheapest to preempt, so without this protection the job would be preempted each time and never begin.
bool isProtectedStart(const bookkeeping::Placement& placement, Time now);

/// Decides whether a job may start a task on a machine, apart from capacity and quota.
class PlacementConstraints {
  public:
    /// Keeps references to both arguments, which must outlive this object.
    PlacementConstraints(const AcceleratorPolicy& accelerators, const ZoneReservations& zoneReservations);

    /// True if one more task of the job may start on the machine, apart from free capacity and the team's
    /// quota. The job must have a run.
    bool mayStart(const bookkeeping::Job& job, const bookkeeping::Machine& machine, Time now) const;

  private:
    const AcceleratorPolicy& accelerators_;
    const ZoneReservations& zoneReservations_;
};

}  // namespace burlpoint::coordination
