#pragma once

// The decision logic of the leader. Leader owns the state of one leadership, such as machines and the runs of
// jobs, and the modules that make decisions. It passes each event to the responsible module and collects the
// resulting actions. DegradedFirstScheduler decides which task starts on which machine, and GangPlanner does
// so for gangs of several tasks. Used on the event loop's thread only.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/wall_clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "bookkeeping/state_replica.h"
#include "coordination/autoscaling/autoscaler.h"
#include "coordination/controller/cloud_response_handler.h"
#include "coordination/controller/direct_commands.h"
#include "coordination/controller/fleet_health_check.h"
#include "coordination/controller/fleet_membership.h"
#include "coordination/controller/heartbeat_commands.h"
#include "coordination/controller/heartbeat_handler.h"
#include "coordination/controller/job_change_handler.h"
#include "coordination/controller/leader_actions.h"
#include "coordination/controller/leader_events.h"
#include "coordination/controller/scheduling_inputs.h"
#include "coordination/controller/worker_leases.h"
#include "coordination/scheduling/accelerator_policy.h"
#include "coordination/scheduling/attempt_id_generator.h"
#include "coordination/scheduling/degraded_first_scheduler.h"
#include "coordination/scheduling/fetch_pacing.h"
#include "coordination/scheduling/gang_planner.h"
#include "coordination/scheduling/image_locality.h"
#include "coordination/scheduling/job_activator.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/scheduling/placement_constraints.h"
#include "coordination/scheduling/preemption.h"
#include "coordination/scheduling/scan_counter.h"
#include "coordination/scheduling/task_terminator.h"
#include "coordination/scheduling/zone_reservations.h"
#include "coordination/state/machine_registry.h"
#include "coordination/state/state_writer.h"
#include "coordination/workers/attempt_completion.h"
#include "coordination/workers/failure_detector.h"
#include "coordination/workers/heartbeat_reconciler.h"
#include "protocol/policy.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

/// One leadership of a controller, from its start to its end. Its actions depend only on its state, the event
/// and the time passed in. It does no I/O. The replica must be up to date when the object is constructed.
class Leader {
  public:
    /// `wallMs` is the wall-clock time at `now` in milliseconds; the ages of jobs that were accepted earlier
    /// are computed from it. All references are kept and must outlive this object.
    Leader(const protocol::Settings& settings, const protocol::Policy& policy,
           bookkeeping::StateReplica& replica, std::uint64_t fencingToken, Time now, std::uint64_t wallMs);
    ~Leader();
    Leader(const Leader&) = delete;
    Leader& operator=(const Leader&) = delete;

    /// Handles the event and returns the resulting actions, which must be executed in this order. A `now`
    /// that is earlier than that of a previous call is replaced by the latter.
    std::vector<Action> handle(LeaderEvent event, Time now);

    std::uint64_t fencingToken() const { return fencingToken_; }
    const bookkeeping::Fleet& fleet() const { return fleet_; }
    /// The writer of the leader's state. Simulations include its summary in their reports.
    const StateWriter& stateWriter() const { return writer_; }
    /// The number of machines scanned so far on behalf of waiting jobs. Measures the cost that may grow with
    /// the size of the fleet.
    std::uint64_t machinesScanned() const { return scans_.total(); }
    /// The ids of all jobs with running tasks, each with its number of running tasks.
    std::vector<std::pair<std::string, std::uint32_t>> runningCounts() const;

  private:
    void inheritMachines();

    void on(const HeartbeatReceived& event);
    void on(const CommandsAnswered& event);
    void on(const JobsChanged& event);
    void on(const StateWritten& event);
    void on(const ReplicaRefreshed& event);
    void on(const ScaleOutCompleted& event);
    void on(const ScaleInCompleted& event);
    void on(const MachinesListed& event);
    void on(const TypesListed& event);
    void on(const Tick& event);

    // The parts of a tick that have longer intervals of their own.
    void preemptIfDue();
    void autoscaleIfDue();
    void logStateIfDue();

    const protocol::Policy& policy_;
    bookkeeping::StateReplica& replica_;
    const std::uint64_t fencingToken_;
    const WallClock wallClock_;
    Time now_;
    std::vector<Action> actions_;  // result of the event being handled

    bookkeeping::Fleet fleet_;
    bookkeeping::MachineTypes types_;
    AttemptIdGenerator attemptIds_;
    ScanCounter scans_;

    MachineRegistry registry_;
    StateWriter writer_;
    FailureDetector failureDetector_;
    Autoscaler autoscaler_;

    FetchPacing pacing_;
    JobQueue jobQueue_;
    JobActivator activator_;
    ZoneReservations zoneReservations_;
    AcceleratorPolicy accelerators_;
    PlacementConstraints constraints_;
    ImageLocality imageLocality_;
    TaskTerminator terminator_;
    GangPlanner gangPlanner_;
    DegradedFirstScheduler scheduler_;
    Preemption preemption_;
    AttemptCompletion completion_;
    HeartbeatReconciler reconciler_;

    FleetMembership membership_;
    WorkerLeases leases_;
    DirectCommands directCommands_;
    SchedulingInputs inputs_;
    HeartbeatCommands heartbeatCommands_;
    HeartbeatHandler heartbeatHandler_;
    FleetHealthCheck healthCheck_;
    JobChangeHandler jobChangeHandler_;
    CloudResponseHandler cloudResponseHandler_;

    Time nextPreemption_{};
    Time nextAutoscaling_{};
    Time nextLog_{};
};

}  // namespace burlpoint::coordination
