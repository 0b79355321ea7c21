#pragma once

// What the leader asks of the cloud: machines to rent and to release, and its lists of machines and of types.
// Owns the budget of requests, what is under way and what was refused lately. It does no I/O and does not add
// machines to the fleet or remove them: that is its caller's.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/machine_types.h"
#include "bookkeeping/state_replica.h"
#include "coordination/autoscaling/capacity_plan.h"
#include "coordination/autoscaling/instance_request_queue.h"
#include "protocol/policy.h"

namespace burlpoint::coordination {

/// What is to be sent to the cloud now.
struct ScalingRequests {
    std::vector<InstanceRequest> scaleOuts;
    std::vector<std::string> scaleIn;  // machines, by one request; none: no request
    bool listMachines = false;
    bool listTypes = false;
};

/// The waiting work that machines are rented for.
struct WaitingWork {
    const std::vector<Job*>& order;         // the jobs in the order in which they are served
    std::function<Time(const Job&)> dueAt;  // asked only of jobs that have a time due
};

/// Decides what to ask of the cloud, for one leadership. The caller sends what `decide` returns and tells
/// what came of it by the function of the request's kind, also if nothing came back: there is one release and
/// one list of machines under way at a time.
class Autoscaler {
  public:
    /// All that is referred to outlives the provisioner. The fencing token makes the names of instance
    /// requests unique.
    Autoscaler(const Settings& settings, const Policy& policy, const StateReplica& replica,
               std::uint64_t fencingToken, Time now);

    /// What to ask of the cloud now, as far as its budget goes: instance requests first, then a release, then
    /// lists. Marks the machines to be released in the fleet, so that nothing starts on them from here on.
    /// `types` is what the machines' own types point into.
    ScalingRequests decide(Fleet& fleet, const MachineTypes& types, const WaitingWork& work, Time now);

    /// What came of the request of that name; `machines`: how many were rented. Returns the request once it
    /// is settled; none: its outcome is unknown, so it is repeated, or it was settled before.
    std::optional<InstanceRequest> scaleOutCompleted(const std::string& name, InstanceRequestOutcome outcome,
                                                     std::size_t machines, Time now);

    /// `ok` false: the release may not have been carried out and is repeated after a pause.
    void scaleInCompleted(bool ok, Time now);

    /// The list of machines came or failed; the next may be asked for.
    void machinesListed() { listing_ = false; }

    /// The machines that the cloud no longer has: not among the `listed`, as of `asked`, though known for so
    /// long that its list would show them.
    std::vector<Machine*> vanished(Fleet& fleet, const std::set<std::string>& listed, Time asked) const;

    /// What the cloud refused lately, for whoever asks whether more machines could be had.
    const CapacityErrors& capacityErrors() const { return capacityErrors_; }

  private:
    void requestScaleOut(const std::map<Offering, std::uint32_t>& wanted, ScalingRequests& requests,
                         Time now);
    void requestScaleIn(Fleet& fleet, const std::set<std::string>& needed, ScalingRequests& requests,
                        Time now);
    void requestLists(bool anyTypes, ScalingRequests& requests, Time now);
    bool mayScaleIn(const Machine& machine, const std::set<std::string>& needed, Time now) const;
    bool isIdle(const Machine& machine, Time now) const;

    const Settings& settings_;
    const Policy& policy_;
    const StateReplica& replica_;
    storage::TokenBucket budget_;  // of requests to the cloud
    InstanceRequestQueue instanceRequests_;
    CapacityErrors capacityErrors_;
    bool scalingIn_ = false;  // a release is under way
    bool listing_ = false;    // a list of machines is under way
    Time nextScaleIn_{};
    Time nextList_{};
    Time nextTypes_{};
};

}  // namespace burlpoint::coordination
