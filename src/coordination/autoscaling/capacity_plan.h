#pragma once

// Which machines the waiting jobs need: those that are there, those on their way, and those to be rented.
// Owns a virtual packing of the waiting tasks; nothing is started, rented or released by it.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "bookkeeping/state_replica.h"
#include "coordination/autoscaling/capacity_errors.h"
#include "coordination/autoscaling/instance_request_queue.h"
#include "coordination/autoscaling/instance_selection.h"

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::MachineTypes;
using bookkeeping::Offering;
using bookkeeping::Machine;
using bookkeeping::Resources;
using bookkeeping::StateReplica;
using protocol::InstanceRequest;
using protocol::JobSpec;
using protocol::MachineType;
using protocol::Policy;
using protocol::Settings;

/// What a plan is made from. All of it outlives the plan and stays as it is meanwhile. `types` is what the
/// machines' own types point into.
struct PlanInputs {
    const Settings& settings;
    const Policy& policy;
    const StateReplica& replica;
    const Fleet& fleet;
    const MachineTypes& types;
    const InstanceRequestQueue& pending;
    const CapacityErrors& capacityErrors;
    std::function<Time(const Job&)> dueAt;  // asked only of jobs that have a time due
    Time now;
};

/// A virtual packing: what waits is put into the room that exists or is on its way; the rest needs machines,
/// the cheapest per task first. Made anew for each look at the fleet. The caller adds the jobs in the order
/// in which they are to be served, each once.
class CapacityPlan {
  public:
    explicit CapacityPlan(PlanInputs inputs);

    /// Packs the job's waiting tasks, as far as its team's limits and its rules of zones allow. Nothing is
    /// planned for a job that is over, has no task waiting, or fails everywhere. An open job must have a run.
    void add(const Job& job);

    /// How many machines are missing per offering, beyond those asked for already.
    const std::map<Offering, std::uint32_t>& missingMachines() const { return missingMachines_; }

    /// The machines that some planned task is a reason to keep.
    std::set<std::string> neededMachines() const;

  private:
    /// The room of one machine.
    struct Bin {
        Offering offering;
        const MachineType* type = nullptr;
        Resources room;
        const Machine* machine = nullptr;  // null: asked for or to be asked for
        const Job* reservedFor = nullptr;  // null: for all
        bool used = false;                 // some planned task is a reason to have it
    };
    /// What is left of a job to be packed.
    struct Demand {
        const Job& job;
        Resources need;                              // of one task
        std::uint32_t waiting = 0;                   // tasks that have no room so far
        std::map<std::string, std::uint32_t> zones;  // tasks per zone, those planned included
    };

    void addMachines();
    void addPendingRequests();
    bool isThere(const Machine& machine) const;
    std::uint32_t withinTeamLimits(const JobSpec& spec, std::uint32_t tasks);
    std::uint32_t atOnce(const Job& job, std::uint32_t tasks) const;
    Seconds horizonOf(const Job& job) const;
    std::optional<std::string> gangZone(const Demand& demand) const;
    std::map<std::string, std::uint32_t> roomPerZone(const Demand& demand) const;
    std::map<std::string, std::uint32_t> askedPerZone() const;
    std::uint32_t tasksFor(const Demand& demand, const Resources& room, const std::string& zone) const;
    void fill(Demand& demand, Bin& bin) const;
    void requestMachinesFor(Demand& demand);
    std::optional<Offering> cheapest(const Demand& demand, bool plainObtainable) const;
    bool mayAskFor(const Offering& offering) const;

    const PlanInputs in_;
    std::vector<Bin> bins_;
    std::map<Offering, std::uint32_t> missingMachines_;
    std::unordered_map<std::string, Resources> planned_;  // per team with limits, by the jobs added so far
};

}  // namespace burlpoint::coordination
