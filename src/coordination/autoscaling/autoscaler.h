#pragma once

// The autoscaler decides which requests the leader sends to the cloud: instance requests (scale-out),
// deletions of machines (scale-in), and listings of machines and machine types. Owns the budget of cloud
// requests, the pending instance requests, the capacity errors, and the times at which the next deletion and
// listings are due. It does no I/O, and neither adds machines to the fleet nor removes them; its caller does.
// Used on the controller's thread.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "bookkeeping/state_replica.h"
#include "coordination/autoscaling/capacity_errors.h"
#include "coordination/autoscaling/instance_request_queue.h"
#include "coordination/autoscaling/offering_selection.h"
#include "coordination/autoscaling/scale_in_rules.h"
#include "coordination/autoscaling/task_concurrency.h"
#include "protocol/cloud_messages.h"
#include "protocol/policy.h"
#include "protocol/settings.h"
#include "storage/token_bucket.h"

namespace burlpoint::coordination {

/// The requests to be sent to the cloud now.
struct ScalingRequests {
    std::vector<protocol::InstanceRequest> scaleOuts;
    std::vector<std::string> scaleIn;  // ids of machines to delete by one request; empty: no request
    bool listMachines = false;
    bool listTypes = false;
};

/// The waiting jobs that need capacity.
struct WaitingWork {
    const std::vector<bookkeeping::Job*>& order;  // jobs in scheduling order
    DueTime dueTime;
};

/// Decides on scale-out, scale-in and listings, for one leadership. The caller sends the requests that
/// `decide` returns and reports the outcome of each deletion, instance request and machine listing, also if
/// there was no answer. At most one deletion and one listing of machines are in flight at a time.
class Autoscaler {
  public:
    /// All references must outlive this object. The fencing token makes the names of instance requests
    /// unique.
    Autoscaler(const protocol::Settings& settings, const protocol::Policy& policy,
               const bookkeeping::StateReplica& replica, std::uint64_t fencingToken, Time now);

    /// Returns the requests to be sent now, within the budget of cloud requests: instance requests first,
    /// then a deletion, then listings. Sets `deletionRequested` of the machines to delete, so that no more
    /// tasks are started on them. The `typeInfo` of the fleet's machines points into `types`.
    ScalingRequests decide(bookkeeping::Fleet& fleet, const bookkeeping::MachineTypes& types,
                           const WaitingWork& work, Time now);

    /// Records the outcome of the instance request `name`, which created `machineCount` machines. Returns the
    /// request if it is now complete. Returns nothing if the outcome is unknown, so that the request is sent
    /// again, or if the request was complete before.
    std::optional<protocol::InstanceRequest> recordScaleOutOutcome(const std::string& name,
                                                                   InstanceRequestOutcome outcome,
                                                                   std::size_t machineCount, Time now);

    /// Records the outcome of the deletion in flight. If it is unknown, the deletion is requested again after
    /// 2 s.
    void recordScaleInOutcome(ScaleInOutcome outcome, Time now);

    /// Records that the listing of machines in flight has ended, successfully or not.
    void recordMachineListingCompletion() { listingInFlight_ = false; }

    /// Returns the machines that the cloud no longer has. Their ids are missing from `listed`, the result of
    /// a listing requested at `requestedAt`, and they were last known to exist longer before `requestedAt`
    /// than a listing may lag. Machines that send heartbeats or may have tasks are never returned.
    std::vector<bookkeeping::Machine*> vanishedMachines(bookkeeping::Fleet& fleet,
                                                        const std::set<std::string>& listed,
                                                        Time requestedAt) const;

    /// The recent capacity errors, for decisions that depend on whether more machines can be obtained.
    const CapacityErrors& capacityErrors() const { return capacityErrors_; }

  private:
    void requestScaleOut(const MissingMachines& missing, ScalingRequests& requests, Time now);
    void requestScaleIn(bookkeeping::Fleet& fleet, const std::set<std::string>& neededMachines,
                        ScalingRequests& requests, Time now);
    std::vector<bookkeeping::Machine*> machinesToDelete(bookkeeping::Fleet& fleet,
                                                        const std::set<std::string>& neededMachines,
                                                        Time now) const;
    void requestMachineListing(ScalingRequests& requests, Time now);
    void requestTypeListing(bool typesKnown, ScalingRequests& requests, Time now);
    bool takeFromRequestBudget(Time now) { return requestBudget_.tryTake(1, 0, now); }

    const protocol::Settings& settings_;
    const protocol::Policy& policy_;
    const bookkeeping::StateReplica& replica_;
    const std::uint32_t maxUnsentMachines_;  // of each offering
    storage::TokenBucket requestBudget_;     // of requests to the cloud
    InstanceRequestQueue instanceRequests_;
    CapacityErrors capacityErrors_;
    ScaleInRules scaleInRules_;
    bool scaleInInFlight_ = false;
    bool listingInFlight_ = false;  // of machines
    Time nextScaleIn_{};
    Time nextMachineListing_{};
    Time nextTypeListing_{};
};

}  // namespace burlpoint::coordination
