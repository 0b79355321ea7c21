#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "bookkeeping/fleet.h"
#include "coordination/accelerator_policy.h"
#include "coordination/day_clock.h"
#include "coordination/fetch_pacing.h"
#include "coordination/job_order.h"
#include "coordination/placement_rules.h"
#include "coordination/provisioner.h"
#include "coordination/roster.h"
#include "coordination/silence_monitor.h"
#include "coordination/state_writer.h"
#include "coordination/zone_reservations.h"
#include "protocol/settings.h"
#include "storage/store.h"

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

// What a leader is told.
struct ReportArrived {
    std::uint64_t request = 0;
    Report report;
    bool cancellationsCurrent = true;  // what was cancelled until a moment ago is known here
};
struct WorkerAnswered {  // to SendOrders; no report: it could not be reached
    std::string machine;
    std::optional<Report> report;
    MessageOrder known{};  // as sent with the orders
};
struct JobsChanged {
    std::vector<std::string> ids;
};
struct ReplicaRefreshed {
    bool ok = false;
};
struct RentalAnswered {
    std::string name;
    bool rented = false, noCapacity = false, malformed = false;
    std::vector<std::string> machines;
};
struct ReleaseAnswered {
    std::vector<std::string> machines;
    bool ok = false;
};
struct MachinesListed {
    std::vector<protocol::Rented> machines;
    Time asked{};
    bool ok = false;
};
struct TypesListed {
    std::vector<MachineType> types;
};
struct Tick {};

using Command = std::variant<ReportArrived, WorkerAnswered, JobsChanged, StateWritten, ReplicaRefreshed,
                             RentalAnswered, ReleaseAnswered, MachinesListed, TypesListed, Tick>;

// What a leader wants done.
struct AnswerReport {
    std::uint64_t request = 0;
    bool accepted = true;  // false: 503
    std::vector<Order> orders;
};
struct SendOrders {
    std::string machine, address;
    std::uint64_t session = 0;
    std::vector<Order> orders;
    MessageOrder known{};  // the newest seen before: whatever answers these orders is newer
};
struct RefreshReplica {};
struct Rent {
    protocol::RentalRequest request;
};
struct Release {
    std::vector<std::string> machines;
};
struct ListMachines {};
struct ListTypes {};
struct Resign {
    std::string why;
    bool deferToPeers = false;  // this node is the likely cause, so it should not lead again soon
};

using Action = std::variant<AnswerReport, SendOrders, WriteState, RefreshReplica, Rent, Release, ListMachines,
                            ListTypes, Resign>;

/// The decisions of a leading controller, from take-over to resignation: functions of its state, a command
/// and the time. It does no I/O. The replica must be fresh when it is made.
class Leader {
  public:
    /// `dayMs` is the time of day at `now`, for the ages of jobs accepted earlier.
    Leader(const Settings& settings, const Policy& policy, StateReplica& replica, std::uint64_t token,
           Time now, std::uint64_t dayMs);
    ~Leader();
    Leader(const Leader&) = delete;
    Leader& operator=(const Leader&) = delete;

    std::vector<Action> handle(Command command, Time now);

    std::uint64_t token() const { return token_; }
    const Fleet& fleet() const { return fleet_; }
    /// What is stored and what is still to be, for tests and logs.
    const StateWriter& stateWriter() const { return writer_; }
    std::vector<std::pair<std::string, std::uint32_t>> runningCounts() const;

    /// The worker's lease as its controllers must count it: from the receipt of a report, with drift.
    static Clock::duration leaseBound(const Settings& settings);

  private:
    friend class LeaderProbe;  // tests look inside

    struct PreemptionPlan {  // what would stop on a machine to make room
        Machine* machine = nullptr;
        std::vector<Placement*> victims;
        double loss = 0;
        std::uint32_t tasks = 1;
    };

    struct RoomSurvey {          // what a job finds on the machines that it may use
        std::size_t coming = 0;  // of its tasks have room without stopping more
        std::map<std::string, std::uint32_t>
            zones;                         // its tasks per zone, those that room was made for included
        std::vector<Machine*> candidates;  // where stopping something would make room
    };
    struct GangMachine {
        Machine* machine = nullptr;
        std::uint32_t tasks = 0;  // that fit if all that may yield did
    };
    struct GangRoom {  // what a zone offers a gang, in tasks of it
        std::string zone;
        std::uint32_t yielding = 0;  // fit if all that may yield did; at most the gang's size
        std::uint32_t possible =
            0;                   // would fit on machines with nothing but replicas; at most the gang's size
        std::uint32_t free = 0;  // fit at once
        std::vector<GangMachine> machines;
        auto merit() const { return std::tuple(yielding, possible, free); }
    };

    // leader.cpp
    void on(ReportArrived& command);
    void on(WorkerAnswered& command);
    void on(JobsChanged& command);
    void on(StateWritten& command);
    void on(ReplicaRefreshed& command);
    void on(RentalAnswered& command);
    void on(ReleaseAnswered& command);
    void on(MachinesListed& command);
    void on(TypesListed& command);
    void on(Tick& command);

    Machine& findOrAddMachine(const std::string& id, const std::string& type, const std::string& zone,
                              bool spot);
    void refuse(const ReportArrived& command);
    bool isLateCopyOfRemoved(const Report& report);
    void answerOldNews(Machine& machine, const ReportArrived& command);
    template <typename Predicate>
    void endPlacementsIf(Machine& machine, Predicate isGone);
    void applyReport(Machine& machine, const Report& report, bool isReport);
    void noteMessage(Machine& machine, const Report& report);
    void settlePlacements(Machine& machine, const Report& report, bool isReport);
    void applyTaskReport(Machine& machine, const protocol::TaskReport& task);
    Placement& adoptPlacement(Machine& machine, Job& job, const bookkeeping::AttemptKey& key,
                              PlacementState state);
    void noteProgress(Machine& machine, Placement& placement, PlacementState state);
    void noteTaskDone(Job& job, std::uint32_t task);
    void endPlacement(Machine& machine, const Placement& placement, protocol::ExitReason why);
    void noteExitReason(Machine& machine, Job& job, protocol::ExitReason why);
    void noteGangTaskGone(Machine& machine, const Placement& placement, protocol::ExitReason why);
    void stop(Machine& machine, Placement& placement, Seconds grace);
    void stopJob(Job& job, Seconds grace);
    void clearAfterLease(Machine& machine);
    void probe(Machine& machine);
    void sendOrders(const Machine& machine);
    void quarantine(Machine& machine);
    void noteUndelivered(Machine& machine);
    void removeMachine(Machine& machine);
    void beginJob(Job& job, bool inherited);
    Time dueAt(const Job& job) const { return dayClock_.steadyAt(*job.dueMs); }
    void jobsChanged(const std::vector<bookkeeping::Change>& changes);
    std::vector<Order> composeOrders(Machine& machine, const Report& report, bool cancellationsCurrent);
    void sendUrgentStops();
    void drainForRecall(Machine& machine);
    void checkSilentMachines();
    void dump() const;

    // placement.cpp
    const MachineType* typeOf(const std::string& name) const;
    bool mayStart(const Job& job, const Machine& machine) const;
    void refreshOrder();
    using JobSpan = std::span<Job* const>;  // some of the waiting jobs, in order
    void schedule(Machine& machine, std::vector<Order>& orders);
    void startPlanned(Machine& machine, std::vector<Order>& orders);
    void startCachedAndPaced(Machine& machine, JobSpan jobs, bool& fetchPlaced, std::vector<Order>& orders);
    void fillLeftoverRoom(Machine& machine, JobSpan jobs, std::vector<Order>& orders);
    bool startOne(Machine& machine, Job& job, std::vector<Order>& orders);
    std::uint32_t roomWithImage(Job& job);
    bool mayPreempt(const Placement& placement, const Job& job) const;
    bool startedRecently(const Placement& placement) const;
    bool isProtectedStart(const Placement& placement) const;
    bool waitsForImage(Job& job);
    void refreshPacing();
    void reserveFreedRoom(Machine& machine, const Job& job);
    void planGangs();
    bool mayComplete(const Job& job);
    bool planGang(Job& job, const std::vector<Machine*>& machines, const std::string* zone);
    void preempt();
    Seconds preemptionDelay(const Job& job) const;
    std::optional<PreemptionPlan> planPreemption(Machine& machine, const Job& job, std::uint32_t tasks);
    void execute(const PreemptionPlan& plan, Job& job, Clock::duration until);
    void surveyMachine(Machine& machine, const Job& job, RoomSurvey& survey);
    RoomSurvey surveyRoom(Job& job);
    int makeRoomFor(Job& job);
    GangRoom gangRoomIn(const std::string& zone, const Job& job);
    GangRoom bestGangRoom(const Job& job);
    std::vector<PreemptionPlan> plansForGang(const Job& job, const GangRoom& room);
    int makeRoomForGang(Job& job);

    // provisioning.cpp
    void provision();
    void noteListed(const protocol::Rented& rented);

    const Settings& settings_;
    const Policy& policy_;
    StateReplica& replica_;
    const std::uint64_t token_;
    const Time began_;
    const DayClock dayClock_;
    Time now_;
    std::vector<Action> actions_;

    Fleet fleet_;
    MachineTypes types_;
    std::uint64_t attempts_ = 0;
    // Machines that are gone, with the newest message seen: what is not newer is a late copy.
    std::map<std::string, MessageOrder> removedMachines_;
    std::set<std::string> urgent_;  // machines to be sent their stops at once

    Roster roster_;
    StateWriter writer_;
    SilenceMonitor silence_;

    // placement
    FetchPacing pacing_;
    JobOrder order_;
    Time nextPacing_{}, nextGangs_{};
    ZoneReservations zoneReservations_;
    std::size_t preemptFrom_ = 0, turn_ = 0;
    std::uint64_t visited_ = 0;  // machines looked at on behalf of jobs; tests count them

    // machines
    Time nextPreempt_{}, nextPlan_{}, nextDump_{};
    Provisioner provisioner_;
    AcceleratorPolicy accelerators_;  // asks the provisioner for refusals, so it comes after it
};

}  // namespace burlpoint::coordination
