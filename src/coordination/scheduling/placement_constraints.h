#pragma once

// Where a job's tasks may run. Collects the placement constraints: the job owner's choices, zone spreading,
// reserved zones, accelerators, failures, team quotas and free capacity. The functions depend on their
// arguments only; PlacementConstraints refers to the policies that it asks and owns no state. Used on the
// leader's thread.

#include <chrono>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "coordination/scheduling/accelerator_policy.h"
#include "coordination/scheduling/zone_reservations.h"

namespace burlpoint::coordination {

/// Sums of decimal amounts (processors, accelerators, GB) are exact only up to this.
constexpr double kResourceTolerance = 1e-6;

/// The longest time for which a soft constraint may keep a job from machines with free capacity. It leaves a
/// margin to the 90 s after which users count a job beside free capacity as starved.
constexpr std::chrono::seconds kMaxSoftConstraintTime{60};

/// Can the machine be given any task now? It must have acknowledged this leader's fencing token, be in the
/// stored machine registry and be of a known type. It must not be leaving, faulty, unreachable or backing off
/// after it refused a start.
bool usable(const bookkeeping::Machine& machine, Time now);

/// Does the machine have so many processors free, whoever they are reserved for? False for an unknown type.
bool hasFreeCpus(const bookkeeping::Machine& machine, double cpus);

/// How many of the job's tasks may be in one zone: half of them, rounded up, if the job has to be spread,
/// otherwise all.
std::uint32_t maxTasksInZone(const protocol::JobSpec& spec);

/// May one more of the job's tasks run in the zone, given where the others may be running? False if the job
/// is restricted to one zone and is in another, or if it has to be spread and the zone has its share.
bool zoneAllows(const bookkeeping::Job& job, const std::string& zone);

/// Could an attempt that an earlier leader started be on a machine that is not reconciled yet? Starting
/// another attempt of the task could then run it twice.
bool blockedByUnreconciled(const bookkeeping::Job& job, const bookkeeping::Fleet& fleet);

/// Would the job's team stay within its maximum quota with this many more tasks of the job? Machines that are
/// not reconciled count as fully used by the team. False for a team that the settings do not name.
bool withinTeamQuota(const bookkeeping::Job& job, std::uint32_t tasks, const bookkeeping::Fleet& fleet,
                     const bookkeeping::MachineTypes& types);

/// Does one of the job's tasks fit beside what is on the machine, reservations ignored? This is the cheapest
/// check, so callers make it first.
bool hasFreeCapacity(const bookkeeping::Machine& machine, const bookkeeping::Job& job);

/// The machine's unused capacity, less what is reserved for another job that this one has to leave it to.
/// May be negative. Nothing for a machine of an unknown type.
bookkeeping::Resources availableCapacity(const bookkeeping::Machine& machine, const bookkeeping::Job& job,
                                         Time now);

/// The capacity that the job could have on the machine if all tasks that it may preempt were stopped.
bookkeeping::Resources capacityWithPreemption(const bookkeeping::Machine& machine,
                                              const bookkeeping::Job& job, Time now);

/// Is capacity that preemption freed on the machine reserved for some job?
bool isReservedByPreemption(const bookkeeping::Machine& machine, Time now);

/// Has the task run too briefly to count as started for its users?
bool startedRecently(const bookkeeping::Placement& placement, Time now);

/// Did the task's overdue job begin with this task, a short while ago? The newest task is the cheapest to
/// preempt, so without this protection the job would be preempted each time and never begin.
bool isProtectedStart(const bookkeeping::Placement& placement, Time now);

/// Decides whether a job may start a task on a machine, apart from capacity and quota.
class PlacementConstraints {
  public:
    /// Both are kept by reference and have to outlive this.
    PlacementConstraints(const AcceleratorPolicy& accelerators, const ZoneReservations& zoneReservations);

    /// May one more task of the job start on the machine, apart from free capacity and the team's quota? The
    /// job must have a run.
    bool mayStart(const bookkeeping::Job& job, const bookkeeping::Machine& machine, Time now) const;

  private:
    const AcceleratorPolicy& accelerators_;
    const ZoneReservations& zoneReservations_;
};

}  // namespace burlpoint::coordination
