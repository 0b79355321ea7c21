#pragma once

// First-fit bin packing of waiting tasks into machines: existing ones, ones requested from the cloud, and
// ones still to be requested. Owns the bins, which hold the free resources of each machine. The packing is
// only a model: it starts no tasks and requests no machines.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/job.h"
#include "bookkeeping/machine_types.h"
#include "coordination/autoscaling/zone_rules.h"
#include "protocol/cloud_messages.h"

namespace burlpoint::coordination {

/// The tasks of a job that are still to be packed.
struct TaskDemand {
    const bookkeeping::Job& job;
    bookkeeping::Resources perTask;
    std::uint32_t unpacked = 0;  // tasks not packed into any bin so far
    TasksPerZone tasksPerZone;   // tasks running or packed

    /// How many of the unpacked tasks fit into `freeResources` in `zone`, under the job's zone rules.
    std::uint32_t tasksThatFit(const bookkeeping::Resources& freeResources, const std::string& zone) const;
};

/// One bin per machine, filled in the order in which the bins were added.
class BinPacking {
  public:
    /// `types` must outlive this object, and so must the machine types of all bins added.
    explicit BinPacking(const bookkeeping::MachineTypes& types) : types_(types) {}

    /// Adds a bin for an existing machine, whose type must be known. If the machine is reserved at `now`, the
    /// bin admits only the job that it is reserved for.
    void addMachine(const bookkeeping::Machine& machine, Time now);

    /// Adds a bin for a machine that has been requested from the cloud or is to be requested.
    void addRequestedMachine(const bookkeeping::Offering& offering, const protocol::MachineType& type);

    /// Packs as many of the tasks as fit into the bins.
    void pack(TaskDemand& demand);

    /// Packs as many of the tasks as fit into the bin added last.
    void packIntoLast(TaskDemand& demand) { packInto(bins_.back(), demand); }

    /// How many tasks of the size of those of `demand` fit into the free resources of the bins that admit its
    /// job, by zone. The job's zone rules are not applied. Zones without free resources may be missing.
    std::map<std::string, std::uint32_t> capacityPerZone(const TaskDemand& demand) const;

    /// How many requested machines are needed by tasks packed into them, by zone.
    std::map<std::string, std::uint32_t> neededRequestsPerZone() const;

    /// The ids of the existing machines that should be kept, since packed tasks need them.
    std::set<std::string> neededMachines() const;

  private:
    struct Bin {
        bookkeeping::Offering offering;
        const protocol::MachineType& type;
        bookkeeping::Resources freeResources;
        const bookkeeping::Machine* machine = nullptr;  // null: no machine exists yet
        const bookkeeping::Job* reservedFor = nullptr;  // null: open to all jobs
        bool needed = false;                            // a packed task justifies keeping the machine
    };

    static bool admits(const Bin& bin, const bookkeeping::Job& job);
    void packInto(Bin& bin, TaskDemand& demand) const;

    const bookkeeping::MachineTypes& types_;
    std::vector<Bin> bins_;
};

}  // namespace burlpoint::coordination
