#pragma once

// The decisions of a leading controller. Leader owns what one leadership knows of machines and jobs' runs,
// and the modules that decide; it hands each command to them in turn and collects what they want done. Where
// a start is decided: DegradedFirstScheduler, and GangPlanner for gangs of several tasks.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/wall_clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "bookkeeping/state_replica.h"
#include "coordination/autoscaling/autoscaler.h"
#include "coordination/controller/leader_messages.h"
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
#include "coordination/workers/machine_tombstones.h"
#include "protocol/policy.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::HeartbeatVersion;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::Offering;
using bookkeeping::Placement;
using bookkeeping::PlacementState;
using bookkeeping::Resources;
using bookkeeping::StateReplica;
using protocol::Heartbeat;
using protocol::MachineType;
using protocol::Policy;
using protocol::Priority;
using protocol::Settings;
using protocol::WorkerCommand;

/// A controller's leadership from take-over to resignation: a function of its state, a command and the time.
/// It does no I/O. The replica must be fresh when it is made.
class Leader {
  public:
    /// `wallMs` is the time of day at `now`, for the ages of jobs accepted earlier. All references are kept
    /// and have to outlive this.
    Leader(const Settings& settings, const Policy& policy, StateReplica& replica, std::uint64_t fencingToken,
           Time now, std::uint64_t wallMs);
    ~Leader();
    Leader(const Leader&) = delete;
    Leader& operator=(const Leader&) = delete;

    /// Takes in the command and returns what is to be done, in that order. Time never goes back.
    std::vector<Action> handle(LeaderEvent event, Time now);

    std::uint64_t fencingToken() const { return fencingToken_; }
    const Fleet& fleet() const { return fleet_; }
    /// What is stored and what is still to be, for tests and logs.
    const StateWriter& stateWriter() const { return writer_; }
    /// Machines looked at on behalf of waiting jobs so far: what grows with the fleet.
    std::uint64_t machinesScanned() const { return scans_.total(); }
    /// The jobs with running tasks, and how many each has.
    std::vector<std::pair<std::string, std::uint32_t>> runningCounts() const;

    /// The worker's lease as its controllers must count it: from the receipt of a heartbeat, with drift.
    static Clock::duration leaseBound(const Settings& settings);

  private:
    void takeOverJobs();
    void takeOverMachines();

    // Workers.
    void on(HeartbeatReceived& event);
    void on(CommandsAnswered& event);
    Machine& findOrAddMachine(const std::string& id, const std::string& type, const std::string& zone,
                              bool spot);
    void refuse(const HeartbeatReceived& event);
    void answerStaleHeartbeat(Machine& machine, const HeartbeatReceived& event);
    bool renewLease(Machine& machine, bool hasOlderToken);
    std::vector<WorkerCommand> composeCommands(Machine& machine, const Heartbeat& heartbeat,
                                               bool cancellationsCurrent);
    void probe(Machine& machine);
    void sendCommands(const Machine& machine);
    void sendUrgentStops();
    static void quarantine(Machine& machine);
    void removeMachine(Machine& machine);
    void checkFailedMachines();

    // Users and the key-value store.
    void on(JobsChanged& event);
    void on(StateWritten& event);
    void on(ReplicaRefreshed& event);
    void jobsChanged(const std::vector<bookkeeping::Change>& changes);
    void jobChanged(Job& job);

    // The cloud (leader_cloud.cpp).
    void on(ScaleOutCompleted& event);
    void on(ScaleInCompleted& event);
    void on(MachinesListed& event);
    void on(TypesListed& event);
    void autoscale();
    void noteListed(const protocol::CloudInstance& rented);

    // Time.
    void on(Tick& event);
    void refreshJobQueue();
    void refreshPacing();
    void logState() const;

    const Settings& settings_;
    const Policy& policy_;
    StateReplica& replica_;
    const std::uint64_t fencingToken_;
    const Time began_;
    const WallClock wallClock_;
    Time now_;
    std::vector<Action> actions_;  // of the command being handled

    Fleet fleet_;
    bookkeeping::MachineTypes types_;
    MachineTombstones tombstones_;
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

    // When things that walk over the fleet are due again.
    Time nextPacing_{};
    Time nextPreemption_{};
    Time nextAutoscaling_{};
    Time nextLog_{};
};

}  // namespace burlpoint::coordination
