#pragma once

// The decisions of a leading controller. Leader owns what one leadership knows of machines and jobs' runs,
// and the modules that decide; it hands each command to them in turn and collects what they want done. Where
// a start is decided: DegradedFirstScheduler, and GangPlanner for gangs of several tasks.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "coordination/accelerator_policy.h"
#include "coordination/attempt_numbers.h"
#include "coordination/cached_image_lookup.h"
#include "coordination/day_clock.h"
#include "coordination/degraded_first_scheduler.h"
#include "coordination/fetch_pacing.h"
#include "coordination/gang_planner.h"
#include "coordination/job_order.h"
#include "coordination/job_runs.h"
#include "coordination/leader_messages.h"
#include "coordination/lookup_meter.h"
#include "coordination/placement_ends.h"
#include "coordination/preemption.h"
#include "coordination/provisioner.h"
#include "coordination/removed_machines.h"
#include "coordination/report_reconciler.h"
#include "coordination/roster.h"
#include "coordination/silence_monitor.h"
#include "coordination/start_rules.h"
#include "coordination/state_writer.h"
#include "coordination/task_stopper.h"
#include "coordination/zone_reservations.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::MessageOrder;
using bookkeeping::Offering;
using bookkeeping::Placement;
using bookkeeping::PlacementState;
using bookkeeping::Resources;
using bookkeeping::StateReplica;
using protocol::MachineType;
using protocol::Order;
using protocol::Policy;
using protocol::Priority;
using protocol::Report;
using protocol::Seconds;
using protocol::Settings;
using transport::Clock;
using transport::Time;

/// A controller's leadership from take-over to resignation: a function of its state, a command and the time.
/// It does no I/O. The replica must be fresh when it is made.
class Leader {
  public:
    /// `dayMs` is the time of day at `now`, for the ages of jobs accepted earlier. All references are kept
    /// and have to outlive this.
    Leader(const Settings& settings, const Policy& policy, StateReplica& replica, std::uint64_t token,
           Time now, std::uint64_t dayMs);
    ~Leader();
    Leader(const Leader&) = delete;
    Leader& operator=(const Leader&) = delete;

    /// Takes in the command and returns what is to be done, in that order. Time never goes back.
    std::vector<Action> handle(Command command, Time now);

    std::uint64_t token() const { return token_; }
    const Fleet& fleet() const { return fleet_; }
    /// What is stored and what is still to be, for tests and logs.
    const StateWriter& stateWriter() const { return writer_; }
    /// Machines looked at on behalf of waiting jobs so far: what grows with the fleet.
    std::uint64_t machineLookups() const { return lookups_.total(); }
    /// The jobs with running tasks, and how many each has.
    std::vector<std::pair<std::string, std::uint32_t>> runningCounts() const;

    /// The worker's lease as its controllers must count it: from the receipt of a report, with drift.
    static Clock::duration leaseBound(const Settings& settings);

  private:
    void takeOverJobs();
    void takeOverMachines();

    // Workers.
    void on(ReportArrived& command);
    void on(WorkerAnswered& command);
    Machine& findOrAddMachine(const std::string& id, const std::string& type, const std::string& zone,
                              bool spot);
    void refuse(const ReportArrived& command);
    void answerOldNews(Machine& machine, const ReportArrived& command);
    bool renewLease(Machine& machine, bool hasOlderToken);
    std::vector<Order> composeOrders(Machine& machine, const Report& report, bool cancellationsCurrent);
    void probe(Machine& machine);
    void sendOrders(const Machine& machine);
    void sendUrgentStops();
    static void quarantine(Machine& machine);
    void removeMachine(Machine& machine);
    void checkSilentMachines();

    // Users and the state service.
    void on(JobsChanged& command);
    void on(StateWritten& command);
    void on(ReplicaRefreshed& command);
    void jobsChanged(const std::vector<bookkeeping::Change>& changes);
    void jobChanged(Job& job);

    // The cloud (leader_cloud.cpp).
    void on(RentalAnswered& command);
    void on(ReleaseAnswered& command);
    void on(MachinesListed& command);
    void on(TypesListed& command);
    void provision();
    void noteListed(const protocol::Rented& rented);

    // Time.
    void on(Tick& command);
    void refreshOrder();
    void refreshPacing();
    void logState() const;

    const Settings& settings_;
    const Policy& policy_;
    StateReplica& replica_;
    const std::uint64_t token_;
    const Time began_;
    const DayClock dayClock_;
    Time now_;
    std::vector<Action> actions_;  // of the command being handled

    Fleet fleet_;
    MachineTypes types_;
    RemovedMachines removedMachines_;
    AttemptNumbers attempts_;
    LookupMeter lookups_;

    Roster roster_;
    StateWriter writer_;
    SilenceMonitor silence_;
    Provisioner provisioner_;

    FetchPacing pacing_;
    JobOrder order_;
    JobRuns runs_;
    ZoneReservations zoneReservations_;
    AcceleratorPolicy accelerators_;
    StartRules rules_;
    CachedImageLookup images_;
    TaskStopper stopper_;
    GangPlanner gangs_;
    DegradedFirstScheduler scheduler_;
    Preemption preemption_;
    PlacementEnds ends_;
    ReportReconciler reconciler_;

    // When things that walk over the fleet are due again.
    Time nextPacing_{};
    Time nextPreemption_{};
    Time nextProvisioning_{};
    Time nextLog_{};
};

}  // namespace burlpoint::coordination
