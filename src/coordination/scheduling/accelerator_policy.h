#pragma once

// Decides which jobs that need no accelerators may use machines that have some. Such machines are few and
// slow to obtain, so capacity is left on them for the jobs that need them. Owns what those jobs have
// demanded, how many such machines service replicas have taken up, and how much capacity there is on plain
// machines, those without accelerators. Used on the leader's thread.

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

/// Jobs that need no accelerators may use machines that have some, but only so far that a job that does need
/// them still has capacity there: at once, or by preempting tasks of lower priority.
class AcceleratorPolicy {
  public:
    /// Both are kept by reference and have to outlive this.
    AcceleratorPolicy(const bookkeeping::MachineTypes& types, const CapacityErrors& capacityErrors);

    /// Leaves capacity for the job from now on, on all machine types that it may use. Does nothing for a job
    /// that needs no accelerators.
    void recordDemand(const bookkeeping::Job& job);

    /// Counts anew what capacity there is. `up`: the machines whose workers send heartbeats to this leader,
    /// each once. Walks over them, so it is not for each heartbeat.
    void refresh(const std::vector<const bookkeeping::Machine*>& up, Time now);

    /// May one more task of the job start on the machine, as far as its accelerators are concerned? Always
    /// true for a job that needs accelerators, on a plain machine, and for a job that has waited for
    /// `kMaxSoftConstraintTime` without any task on a machine.
    bool allows(const bookkeeping::Job& job, const bookkeeping::Machine& machine, Time now) const;

  private:
    /// What jobs that need accelerators have demanded of a machine type.
    struct Demand {
        bookkeeping::Resources perTask;     // the most of each resource by itself
        protocol::Priority lowestPriority;  // of these jobs
    };
    /// The machines of a type for which there is a demand.
    struct MachineCount {
        std::uint32_t takenUp = 0;  // their replicas leave too little for the demand
        std::uint32_t all = 0;
    };
    struct ZoneAndPurchase {
        std::string zone;
        bool spot = false;
        auto operator<=>(const ZoneAndPurchase&) const = default;
    };

    void countPlainCapacity(const bookkeeping::Machine& machine);
    void countTakenUp(const bookkeeping::Machine& machine);
    bool waitsForPlainMachine(const bookkeeping::Job& job, Time now) const;
    bool mayUseWithoutDemand(const bookkeeping::Job& job) const;
    bool replicaMayUse(const bookkeeping::Job& job, const bookkeeping::Machine& machine, const Demand& demand,
                       const bookkeeping::Resources& left, Time now) const;
    bool replicaMayTakeUp(const bookkeeping::Machine& machine, Time now) const;
    bool moreObtainable(const std::string& type, Time now) const;

    const bookkeeping::MachineTypes& types_;
    const CapacityErrors& capacityErrors_;
    std::map<std::string, Demand> demands_;              // by type
    std::map<std::string, MachineCount> machineCounts_;  // by type
    std::map<ZoneAndPurchase, double> plainCpus_;        // that replicas could have on plain machines
};

}  // namespace burlpoint::coordination
