#pragma once

// Plans which machines the waiting jobs need: existing ones, requested ones, and missing ones that have to be
// requested. A new plan is made for each decision of the autoscaler. The plan itself starts no tasks and
// neither requests nor deletes machines.

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/job.h"
#include "bookkeeping/machine_types.h"
#include "bookkeeping/state_replica.h"
#include "coordination/autoscaling/bin_packing.h"
#include "coordination/autoscaling/capacity_errors.h"
#include "coordination/autoscaling/instance_request_queue.h"
#include "coordination/autoscaling/offering_selection.h"
#include "coordination/autoscaling/task_concurrency.h"
#include "coordination/autoscaling/team_quota.h"
#include "protocol/policy.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// The inputs of a plan. All of them must outlive the plan and stay unchanged during its lifetime. The
/// `typeInfo` of the fleet's machines points into `types`.
struct PlanInputs {
    const protocol::Settings& settings;
    const protocol::Policy& policy;
    const bookkeeping::StateReplica& replica;
    const bookkeeping::Fleet& fleet;
    const bookkeeping::MachineTypes& types;
    const InstanceRequestQueue& pendingRequests;
    const CapacityErrors& capacityErrors;
    DueTime dueTime;
    /// How many machines of one offering may be in requests that wait to be sent, those of this plan
    /// included.
    std::uint32_t maxUnsentMachines;
    Time now;
};

/// Packs the waiting tasks into machines that exist or have been requested. For the remaining tasks it plans
/// missing machines of the offering that is cheapest per task, as many as `PlanInputs::maxUnsentMachines`
/// allows. Tasks beyond that are left to later plans. The caller adds each job once, in scheduling order.
class CapacityPlan {
  public:
    explicit CapacityPlan(PlanInputs inputs);

    /// Packs the job's waiting tasks, within its team's maximum quota and its zone rules. Of a job
    /// that is the likely cause of its tasks' failures, and no gang, it packs as many as are running, at
    /// least one. Does nothing for a job that is in a terminal state or has no waiting tasks. A job that is
    /// not in a terminal state must have a run.
    void add(const bookkeeping::Job& job);

    /// How many machines have to be requested per offering, in addition to the pending requests.
    const MissingMachines& missingMachines() const { return missingMachines_; }

    /// The ids of the existing machines that should be kept, since planned tasks need them.
    std::set<std::string> neededMachines() const { return packing_.neededMachines(); }

  private:
    void addMachines();
    void addPendingRequests();
    bool isUsable(const bookkeeping::Machine& machine) const;
    std::optional<std::string> gangZone(const TaskDemand& demand) const;
    void planMissingMachines(TaskDemand& demand);
    bool mayAddMissingMachine(const bookkeeping::Offering& offering) const;

    const PlanInputs inputs_;
    TeamQuota quota_;
    BinPacking packing_;
    OfferingSelection offerings_;
    const bookkeeping::MachineCounts unsentMachines_;  // before this plan
    MissingMachines missingMachines_;
};

}  // namespace burlpoint::coordination
