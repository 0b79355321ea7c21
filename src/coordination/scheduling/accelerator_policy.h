#pragma once

// Decides which jobs that need no accelerators may use machines that have some. Machines with accelerators
// are few and slow to obtain, so capacity on them is kept for the jobs that need them. Owns the recorded
// demand of those jobs, the number of such machines that service replicas occupy, and the free capacity of
// plain machines (machines without accelerators). Used on the leader's thread.

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "coordination/autoscaling/capacity_errors.h"

namespace burlpoint::coordination {

/// Lets jobs that need no accelerators use machines that have some, as long as a job that does need them
/// still has capacity there, either free or by preempting tasks of lower priority.
class AcceleratorPolicy {
  public:
    /// Keeps references to both arguments, which must outlive this object.
    AcceleratorPolicy(const bookkeeping::MachineTypes& types, const CapacityErrors& capacityErrors);

    /// Records the job's demand; from then on capacity is kept for it on all machine types that it may use.
    /// Does nothing for a job that needs no accelerators.
    void recordDemand(const bookkeeping::Job& job);

    /// Recounts the capacity. `up` lists the machines whose workers send heartbeats to this leader, each
    /// once. Iterates over all of them, so it must not be called for every heartbeat.
    void refresh(const std::vector<const bookkeeping::Machine*>& up, Time now);

    /// True if this policy lets one more task of the job start on the machine. Always true for a job that
    /// needs accelerators, on a plain machine, and for a job that has waited for `kMaxSoftConstraintTime`
    /// without any task on a machine.
    bool allows(const bookkeeping::Job& job, const bookkeeping::Machine& machine, Time now) const;

  private:
    /// The demand for a machine type from jobs that need accelerators.
    struct Demand {
        bookkeeping::Resources perTask;     // the maximum of each resource separately
        protocol::Priority lowestPriority;  // among these jobs
    };
    /// Counts of the machines of a type for which there is demand.
    struct MachineCount {
        std::uint32_t occupied = 0;  // whose replicas leave too little for the demand
        std::uint32_t all = 0;
    };
    struct ZoneAndPurchase {
        std::string zone;
        bool spot = false;
        auto operator<=>(const ZoneAndPurchase&) const = default;
    };

    void countPlainCapacity(const bookkeeping::Machine& machine);
    void countOccupied(const bookkeeping::Machine& machine);
    bool waitsForPlainMachine(const bookkeeping::Job& job, Time now) const;
    bool mayUseWithoutDemand(const bookkeeping::Job& job) const;
    bool replicaMayUse(const bookkeeping::Job& job, const bookkeeping::Machine& machine, const Demand& demand,
                       const bookkeeping::Resources& left, Time now) const;
    bool replicaMayOccupy(const bookkeeping::Machine& machine, Time now) const;
    bool moreObtainable(const std::string& type, Time now) const;

    const bookkeeping::MachineTypes& types_;
    const CapacityErrors& capacityErrors_;
    std::map<std::string, Demand> demands_;              // by type
    std::map<std::string, MachineCount> machineCounts_;  // by type
    std::map<ZoneAndPurchase, double> plainCpus_;  // processors that replicas could use on plain machines
};

}  // namespace burlpoint::coordination
