#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "bookkeeping/fleet.h"
#include "coordination/fetch_pacing.h"
#include "coordination/job_order.h"
#include "coordination/placement_rules.h"
#include "coordination/zone_reservations.h"
#include "protocol/settings.h"
#include "storage/store.h"

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
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
using Counters = std::pair<std::uint64_t, std::uint64_t>;  // session and sequence of a worker's message
struct WorkerAnswered {  // to SendOrders; no report: it could not be reached
    std::string machine;
    std::optional<Report> report;
    Counters known{};  // as sent with the orders
};
struct JobsChanged {
    std::vector<std::string> ids;
};
struct StateWritten {  // what came of WriteState
    storage::TxnResult result;
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
    Counters known{};  // the newest seen before: whatever answers these orders is newer
};
struct WriteState {
    std::vector<protocol::KeyCondition> conditions;
    std::vector<protocol::KeyWrite> writes;
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
    std::vector<std::pair<std::string, std::uint32_t>> runningCounts() const;

    /// The worker's lease as its controllers must count it: from the receipt of a report, with drift.
    static Clock::duration leaseBound(const Settings& settings);

  private:
    friend class LeaderProbe;  // tests look inside

    struct DoneWrite {
        Job* job;
        bookkeeping::BitRange range;
        std::vector<std::uint32_t> tasks;
    };
    struct PendingRental {
        protocol::RentalRequest request;
        Time since{}, nextTry{};
        bool asked = false, fresh = true;  // fresh: never asked for so far
    };
    struct PreemptionPlan {  // what would stop on a machine to make room
        Machine* machine = nullptr;
        std::vector<Placement*> victims;
        double loss = 0;
        std::uint32_t tasks = 1;
    };
    struct Refusal {
        Time until{};
        Clock::duration pause{};
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
    void applyReport(Machine& machine, const Report& report, bool isReport);
    void applyTaskReport(Machine& machine, const protocol::TaskReport& task);
    void noteTaskDone(Job& job, std::uint32_t task);
    void endPlacement(Machine& machine, const Placement& placement, protocol::ExitReason why);
    void stop(Machine& machine, Placement& placement, Seconds grace);
    void stopJob(Job& job, Seconds grace);
    void clearAfterLease(Machine& machine);
    void probe(Machine& machine);
    void sendOrders(const Machine& machine);
    void quarantine(Machine& machine);
    void noteUndelivered(Machine& machine);
    void removeMachine(Machine& machine);
    void beginJob(Job& job, bool inherited);
    Time clockOf(std::uint64_t dayMs) const;
    Time dueAt(const Job& job) const { return clockOf(*job.dueMs); }
    void jobsChanged(const std::vector<bookkeeping::Change>& changes);
    std::vector<Order> composeOrders(Machine& machine, const Report& report, bool cancellationsCurrent);
    std::vector<Order> stopOrders(const Machine& machine) const;
    void sendUrgentStops();
    void drainForRecall(Machine& machine);
    void checkSilentMachines();
    storage::MachineRecord recordOf(const Machine& machine) const;
    bool mayHoldTasks(const std::string& id) const;
    void ensureRosterEntry(Machine& machine);
    void maybeWrite();
    void shrinkWrites();
    void growWrites();
    void dump() const;
    bool finalWriteSuffices(const Job& job) const;

    // placement.cpp
    const MachineType* typeOf(const std::string& name) const;
    bool mayStart(const Job& job, const Machine& machine) const;
    bool acceleratorRoomAllows(const Job& job, const Machine& machine) const;
    bool plainMachineRentable(const Job& job) const;
    bool allOfferingsRefused(const std::string& type) const;
    void recordAcceleratorNeed(const Job& job);
    void refreshOrder();
    void schedule(Machine& machine, std::vector<Order>& orders);
    bool startOne(Machine& machine, Job& job, std::vector<Order>& orders);
    std::uint32_t roomWithImage(Job& job);
    bool mayPreempt(const Placement& placement, const Job& job) const;
    bool startedRecently(const Placement& placement) const;
    bool isProtectedStart(const Placement& placement) const;
    bool waitsForImage(Job& job);
    void refreshPacing();
    void refreshAcceleratorRoom(const std::vector<const Machine*>& up);
    void reserveFreedRoom(Machine& machine, const Job& job);
    void planGangs();
    bool mayComplete(const Job& job);
    bool planGang(Job& job, const std::vector<Machine*>& machines, const std::string* zone);
    void preempt();
    Seconds preemptionDelay(const Job& job) const;
    std::optional<PreemptionPlan> planPreemption(Machine& machine, const Job& job, std::uint32_t tasks);
    void execute(const PreemptionPlan& plan, Job& job, Clock::duration until);
    int makeRoomFor(Job& job);
    int makeRoomForGang(Job& job);

    // provisioning.cpp
    void provision();
    bool mayRent(const Job& job, const std::string& zone) const;
    bool needsAcceleratorMachine(const Job& job) const;
    bool worthRenting(const Job& job, const MachineType& type, bool spot) const;
    void requestRentals(const std::map<Offering, std::uint32_t>& wanted);
    bool wasUp(const Machine& machine) const;
    void releaseIdle(const std::set<std::string>& needed);
    bool refused(const Offering& offering) const;
    void noteRefusal(const Offering& offering);

    const Settings& settings_;
    const Policy& policy_;
    StateReplica& replica_;
    const std::uint64_t token_;
    const Time began_;
    const std::uint64_t beganMs_;
    Time now_;
    std::vector<Action> actions_;

    Fleet fleet_;
    MachineTypes types_;
    std::uint64_t attempts_ = 0, rentals_ = 0;
    // Machines that are gone, with the newest counters seen: what is not newer is a late copy.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> removedMachines_;
    std::set<std::string> urgent_;  // machines to be sent their stops at once

    // the state service
    storage::RateBudget writeBudget_;
    // What a transaction may have. Lowered when the service says that one was too large, and raised again.
    std::size_t maxOperations_, maxBytes_, maxBitmapBytes_, maxFinalBytes_;
    Clock::duration growthPause_{};
    Time nextGrowth_{};
    std::map<std::string, Time> deferredKeys_;  // keys whose value is too large alone, until when
    std::vector<std::string> writingKeys_;      // of the write under way
    std::size_t writingBytes_ = 0;
    bool writing_ = false, refreshing_ = false;
    Time nextWrite_{};
    std::set<Job*> unstored_;  // with done tasks whose bits are to be stored
    std::set<std::string> rosterAdd_, rosterDrop_;
    std::set<std::string> rosterDeleted_;  // entries whose deletion was sent and that were not written since
    bool typesUnstored_ = false;
    std::vector<DoneWrite> doneWrites_;                        // of the write under way
    std::vector<std::pair<Job*, std::uint64_t>> finalWrites_;  // and the time of day of their ends
    std::vector<std::pair<std::string, storage::MachineRecord>> rosterWrites_;
    std::vector<std::string> rosterDeletes_;
    std::vector<MachineType> typesWrite_;

    // placement
    FetchPacing pacing_;
    JobOrder order_;
    Time nextPacing_{}, nextGangs_{};
    std::map<std::string, std::pair<Resources, Priority>> acceleratorNeeds_;
    // Machines per type whose replicas leave no room for the jobs that need accelerators, and all.
    std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> sharedWithServices_;
    // Processors, per zone and kind, that replicas could have on machines without accelerators.
    std::map<std::pair<std::string, bool>, double> plainRoom_;
    ZoneReservations zoneReservations_;
    std::size_t preemptFrom_ = 0, turn_ = 0;
    std::uint64_t visited_ = 0;  // machines looked at on behalf of jobs; tests count them

    // machines
    Time lastTick_{};
    Time nextSilence_{}, nextPreempt_{}, nextPlan_{}, nextDump_{}, nextList_{}, nextTypes_{}, lastReport_{};
    bool anyReport_ = false,
         leadsWithoutWorkers_ = false;  // a worker reached this leader; it leads though none does
    bool listing_ = false;
    storage::RateBudget cloudBudget_;
    std::deque<PendingRental> rentalsPending_;
    std::map<Offering, Refusal> refusals_;
    bool releasing_ = false;
    Time nextRelease_{};
};

}  // namespace burlpoint::coordination
