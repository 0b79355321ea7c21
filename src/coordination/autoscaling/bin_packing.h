#pragma once

// First-fit bin packing of waiting tasks into machines: those that are there, those requested from the cloud
// and those that are to be requested. Owns the bins, that is the free room per machine. It is a model only:
// nothing is started or requested.

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

/// The part of a job that is still to be packed.
struct TaskDemand {
    const bookkeeping::Job& job;
    bookkeeping::Resources perTask;
    std::uint32_t unpacked = 0;  // tasks without room so far
    TasksPerZone tasksPerZone;   // running or packed

    /// How many of the unpacked tasks fit into `room` in `zone`, by resources and by the job's rules on
    /// zones.
    std::uint32_t tasksThatFit(const bookkeeping::Resources& room, const std::string& zone) const;
};

/// A bin per machine, filled in the order in which the bins were added.
class BinPacking {
  public:
    /// `types` must outlive this object; the types of bins point into it or live as long.
    explicit BinPacking(const bookkeeping::MachineTypes& types) : types_(types) {}

    /// Adds the free room of a machine whose type is known. While the machine is reserved, its room is for
    /// the job that it is reserved for.
    void addMachine(const bookkeeping::Machine& machine, Time now);

    /// Adds a machine that has been requested from the cloud, or is to be.
    void addRequestedMachine(const bookkeeping::Offering& offering, const protocol::MachineType& type);

    /// Packs as many of the tasks as fit into the bins.
    void pack(TaskDemand& demand);

    /// Packs as many of the tasks as fit into the bin added last.
    void packIntoLast(TaskDemand& demand) { packInto(bins_.back(), demand); }

    /// How many tasks like the demand's have room, by zone; zones without room may be left out.
    std::map<std::string, std::uint32_t> roomPerZone(const TaskDemand& demand) const;

    /// How many requested machines have tasks packed that need them, by zone.
    std::map<std::string, std::uint32_t> neededRequestsPerZone() const;

    /// The ids of the machines that packed tasks need, so that they should be kept.
    std::set<std::string> neededMachines() const;

  private:
    struct Bin {
        bookkeeping::Offering offering;
        const protocol::MachineType& type;
        bookkeeping::Resources room;
        const bookkeeping::Machine* machine = nullptr;  // null: not there yet
        const bookkeeping::Job* reservedFor = nullptr;  // null: for all jobs
        bool needed = false;                            // a packed task is a reason to have the machine
    };

    static bool admits(const Bin& bin, const bookkeeping::Job& job);
    void packInto(Bin& bin, TaskDemand& demand) const;

    const bookkeeping::MachineTypes& types_;
    std::vector<Bin> bins_;
};

}  // namespace burlpoint::coordination
