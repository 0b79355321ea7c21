#pragma once

// Which machines the waiting jobs need: existing ones, requested ones, and missing ones that have to be
// requested. Owns one plan, made anew for each decision of the autoscaler. Nothing is started, requested or
// deleted by it.

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

/// The inputs of a plan. All of them must outlive the plan and stay unchanged meanwhile. The `typeInfo` of
/// the fleet's machines points into `types`.
struct PlanInputs {
    const protocol::Settings& settings;
    const protocol::Policy& policy;
    const bookkeeping::StateReplica& replica;
    const bookkeeping::Fleet& fleet;
    const bookkeeping::MachineTypes& types;
    const InstanceRequestQueue& pendingRequests;
    const CapacityErrors& capacityErrors;
    DueTime dueTime;
    Time now;
};

/// Packs the waiting tasks into the room that exists or has been requested. For the tasks that are left, it
/// plans missing machines, of the offering that is cheapest per task. The caller adds the jobs in the order
/// in which they are to be scheduled, each once.
class CapacityPlan {
  public:
    explicit CapacityPlan(PlanInputs inputs);

    /// Packs the job's waiting tasks, within its team's maximum quota and its rules on zones. Does nothing
    /// for a job that is in a terminal state, has no waiting task, or has failed on several machines. A job
    /// that is not in a terminal state must have a run.
    void add(const bookkeeping::Job& job);

    /// How many machines have to be requested per offering, beyond the pending requests.
    const MissingMachines& missingMachines() const { return missingMachines_; }

    /// The ids of the existing machines that planned tasks need, so that they should be kept.
    std::set<std::string> neededMachines() const { return packing_.neededMachines(); }

  private:
    void addMachines();
    void addPendingRequests();
    bool isUsable(const bookkeeping::Machine& machine) const;
    std::optional<std::string> gangZone(const TaskDemand& demand) const;
    void planMissingMachines(TaskDemand& demand);

    const PlanInputs inputs_;
    TeamQuota quota_;
    BinPacking packing_;
    OfferingSelection offerings_;
    MissingMachines missingMachines_;
};

}  // namespace burlpoint::coordination
