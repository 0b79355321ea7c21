#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/controller/leader.h"
#include "fleet_recount.h"
#include "store_stub.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;
using bookkeeping::Resources;
using coordination::Leader;
using protocol::Heartbeat;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::WorkerCommand;

/// Leaders that come and go over workers, a cloud, a store and a network that loses, delays and reorders
/// whatever PROTOCOL lets it. After each start on a worker the rules are checked.
class World {
  public:
    struct Faults {
        double lose = 0.03;   // a message
        double late = 0.03;   // a direct command, transaction or cloud request carried out much later
        double crash = 0.01;  // the leader, per second
        double die = 0.002;   // a worker, per second
        double hang = 0.003;  // a worker, for up to its lease and beyond, per second
        double cut = 0.005;   // a worker from the controllers, per second
        double error = 0.02;  // a task
        double drainForInterruption = 0.002;  // a spot machine, per second
        double unreachable = 0.003;  // a worker whose reports arrive and that nothing reaches, per second
        double copy = 0.05;          // a heartbeat of which a copy comes again, up to several leases later
        double back = 0.001;         // a worker that ends and is back at once, per second
        double anew = 0.0005;        // the same, and it counts its heartbeats from the beginning
        double sever = 0.003;        // the leader from the store, not from the workers, per second
        double mute = 0;        // a worker that reaches no controller, direct commands reach it, per second
        double afterwards = 0;  // a transaction without an answer, carried out 2 to 12 s later
        double heldBack = 0;    // a heartbeat of which a copy arrives once a new leader has acted
        double heldUp = 0;  // a command or its answer to a machine that hangs or is cut off, until that ends
        double atEnd = 0;   // a job that its user cancels, asks about and submits again as it ends
    };

    World(std::uint64_t seed, Faults faults) : faults_(faults), random_(seed) {
        settings.name = "leader";
        settings.zones = {"a", "b"};
        settings.teams = {{"small", 0, 12, 0, 0}, {"large", 8, 0, 0, 0}, {"third", 4, 30, 0, 2}};
        settings.heartbeatInterval = Seconds(2);
        settings.workerLease = Seconds(12);
        settings.gangWaitTimeout = Seconds(20);
        settings.gangPeerTimeout = Seconds(4);
        settings.cancelTimeout = Seconds(45);
        settings.maxTransactionWrites = 6;
        settings.storeWritesPerSecond = 40;
        settings.cloudRequestsPerSecond = 5;
        settings.cloudListLag = Seconds(4);
        types_ = {{"cpu", 8, 0, 32, 10, 0.5, 1.0, 0.3, Seconds(4), {"a", "b"}},
                  {"gpu", 8, 2, 32, 10, 0.5, 3.0, 1.0, Seconds(6), {"a", "b"}}};
        std::vector<std::string> failed;
        store.transact({},
                       {{storage::keys::kToken, storage::encodeToken(1), 0},
                        {storage::keys::kTypes, protocol::encodeMachineTypes(types_), 0}},
                       failed);
    }

    protocol::Settings settings;
    protocol::Policy policy;
    Store store;
    std::vector<std::string> broken;  // rules, in words
    std::size_t starts = 0, takeOvers = 0, lateWrites = 0;
    // How often what a test is about came to pass.
    struct Met {
        std::size_t lateWritesFailed = 0;  // newer ones came before them
        std::size_t heldHeartbeats = 0;    // that a later leader received
        std::size_t earlierSessions = 0;   // of these, from before the worker's present incarnation
        std::size_t heldCommands = 0;      // carried out as a machine went on
        std::size_t muteCommands = 0;      // carried out by a machine that reached no controller
        std::size_t endCancels = 0;        // cancellations between a job's last result and its stored end
        std::size_t hungCancels = 0;       // machines with cancelled tasks that hung or could not be reached
        std::size_t unstored = 0;          // cancellations that waited for the store
        std::size_t insideAnswers = 0;     // by a leader inside a zone that is cut off
        std::size_t fullTeams = 0;         // take-overs at a team's limit with machines out of reach
        std::size_t freedStarts = 0;       // of tasks whose job had to wait for others
        std::size_t derived = 0;           // jobs cancelled with one that they need
    } met;
    std::set<std::string> completed;  // "job/task"
    /// Called with each action that a leader decides, before it is carried out; for recording decisions.
    std::function<void(const coordination::Action&)> onAction;

    // What machines and tasks are like.
    Seconds shortestRun{2}, longestRun{12}, slowestFetch{3};
    std::size_t mostMachines = 12;

    /// Accepted unless the store is out. A repetition finds the record and changes nothing.
    void submit(const JobSpec& spec);
    /// A user's cancellation through any node that the store answers, repeated until it is confirmed.
    void cancel(const std::string& id);
    /// A user's question. Nobody is told the contrary of a final state that somebody was told.
    void ask(const std::string& id);

    // --- troubles brought about by a test ---

    /// From then on the store takes no more than this, changes counted by the second.
    void lowerLimits(Seconds after, StubLimits limits);

    Time now() const { return now_; }
    /// The store refuses everybody. A leader that has seen all there is goes on by its peers' votes.
    void storeOutage(Seconds time);
    /// The store refuses the leader alone: it ends with its leader lease, within `most`.
    void refuseLeader(Seconds most);
    /// The store takes so long for each answer; a node waits for a transaction's for 1.5 s.
    void slowStore(Seconds latency) { latency_ = latency; }
    /// The leader ends; the next begins after the pause.
    void endLeader(Seconds pause);
    /// The zone is cut from everything else. With `leaderInside` the leader is in it, without the store.
    void cutZone(const std::string& zone, Seconds time, bool leaderInside);
    /// Machines that hold a task of a job (any, if empty) at this moment.
    std::vector<std::string> holding(const std::string& job) const;
    void hang(const std::string& id, Seconds time) { workers_.at(id).hungUntil = now_ + ticks(time); }
    void cut(const std::string& id, Seconds time) { workers_.at(id).cutUntil = now_ + ticks(time); }
    void mute(const std::string& id, Seconds time) { workers_.at(id).muteUntil = now_ + ticks(time); }
    void makeUnreachable(const std::string& id, Seconds time);
    void lose(const std::string& id);
    /// As stored, or cancelled with one that it needs.
    storage::TerminalState terminalStateOf(const std::string& id) const;
    storage::JobRecord recordOf(const std::string& id) const;
    bool allDone(const std::string& id) const;
    bool free(const std::string& id) const;
    const std::map<std::string, JobSpec>& jobs() const { return specs_; }
    /// No further trouble; what began goes on to its end. From a while later on nothing may wait for long.
    void calm();

    void run(Seconds time);
    std::string runningOn() const;
    /// Why a job may not be getting on, for a failure's message.
    std::string explain(const std::string& id);
    double random01() { return std::uniform_real_distribution<>(0, 1)(random_); }
    int below(int n) { return std::uniform_int_distribution<>(0, n - 1)(random_); }

  private:
    using Attempt = protocol::Attempt;
    using TaskState = protocol::TaskState;
    using ExitReason = protocol::ExitReason;

    struct Task {
        TaskState state = TaskState::fetching;
        ExitReason why = ExitReason::none;
        Time next{};  // end of the fetch, the run or the saving
        Time since{};
    };
    struct Worker {
        std::string id, type, zone;
        bool spot = false, up = false, dead = false;
        Time bootAt{}, hungUntil{}, cutUntil{}, unreachableUntil{}, muteUntil{};
        Time troubledAt{};  // when it was last out of order in some way
        std::optional<Time> interruptionAt;
        double drift = 1;
        std::uint64_t incarnation = 1, sequence = 0, fencingToken = 0;
        std::map<Attempt, Task> tasks;
        Time answeredSent{};  // when the last answered report was sent
        std::uint64_t inFlight = 0;
        Time heartbeatSent{}, nextHeartbeat{};
        bool changed = false;
    };
    /// One leadership: its messages name it, and it may be gone when answers come.
    struct Tenant {
        std::uint64_t fencingToken = 0;
        bookkeeping::StateReplica replica;
        std::size_t read = 0;
        Time lastRead{};
        bool inside = false;  // of the zone that is cut off
        std::unique_ptr<Leader> leader;
        Time leaderLeaseEnds = Time::max();  // severed from the store, it leads until then
        bool severed() const { return leaderLeaseEnds != Time::max(); }
    };

    Clock::duration span(double from, double to);
    static Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }
    bool outage() const { return now_ < storeOutUntil_; }
    /// A kind of trouble that most histories do without draws nothing there: they stay as they were.
    bool rarely(double p) { return p > 0 && chance(p); }
    bool chance(double p) { return random01() < p; }
    void at(Clock::duration delay, std::function<void()> what);
    bool present(const Worker& w) const;

    void step();

    void crash();
    void takeOver();
    void noteFullTeams();
    std::vector<bookkeeping::Change> read(bookkeeping::StateReplica& replica, std::size_t& at);
    void readStore(Tenant& tenant);
    void tell(coordination::LeaderEvent event);
    /// Tells the leadership that asked, unless it is gone.
    void deliverLater(Clock::duration delay, std::uint64_t fencingToken, coordination::LeaderEvent event);

    // --- the network and the services ---

    void perform(coordination::AnswerHeartbeat& a);
    void perform(coordination::SendCommands& a);
    /// Held up on the way to a machine that hangs or is cut off, a message arrives as that ends.
    void deliver(Clock::duration delay, const std::string& id, std::function<void()> what);
    /// Orders that nobody waits for any more are carried out as the machine goes on.
    void later(const coordination::SendCommands& a, std::uint64_t fencingToken, bool inside);
    void perform(coordination::WriteState& a);
    void perform(coordination::RefreshReplica&);
    void perform(coordination::ScaleOut& a);
    void perform(coordination::ScaleIn& a);
    void perform(coordination::ListMachines&);
    void perform(coordination::ListTypes&);
    void perform(coordination::Resign&) { crash(); }

    std::size_t alive() const;

    // --- workers ---

    Worker* reachable(const std::string& id);
    /// And what is sent to it gets there.
    Worker* hearing(const std::string& id, bool inside);
    /// Nothing passes between a zone that is cut off and the rest.
    bool linked(const Worker& w, bool inside) const;
    static storage::TransactionResult refusal() {
        storage::TransactionResult refused;
        refused.status = storage::TransactionStatus::refused;
        return refused;
    }
    Heartbeat heartbeatOf(Worker& w);
    /// What may befall a worker that is up: silences, a restart of its incarnation and a recall of its
    /// machine.
    void drawTroubles(Worker& w, double perStep);
    void stepWorker(Worker& w, double perStep);
    /// Sends the heartbeat: it may be lost, late, copied, or held back until a cut ends.
    void sendHeartbeat(Worker& w);
    void arrive(const Heartbeat& heartbeat, std::uint64_t request);
    void exit(Worker& w, Task& task, ExitReason why);
    /// How many tasks of the attempt's gang, on workers that are present, are as `counts` asks.
    std::size_t membersOfGang(const Attempt& attempt, const std::function<bool(const Task&)>& counts) const;
    void stepTask(Worker& w, const Attempt& attempt, Task& task);
    /// The job's last task has just ended: its user cancels, asks and submits it again, all at that moment.
    void atEnd(const std::string& id);
    void execute(Worker& w, const WorkerCommand& command);
    void start(Worker& w, const Attempt& attempt);

    // --- the rules ---

    void checkPlace(const Worker& w, const Attempt& attempt);
    /// A start that leaves after the leader could know that its job was cancelled. What was in flight by then
    /// may still start; it has to be gone in time like the rest.
    void checkStart(const WorkerCommand& command);
    /// A cancelled task is gone within the time set, whether or not its machine can be reached or runs.
    void checkCancelled();
    /// What was accepted stays in the store, and what is final stays as it is.
    void checkStore();
    /// What the tasks on the workers hold at one moment.
    struct Usage {
        std::map<std::string, Resources> teams;
        std::map<std::string, Resources> machines;
        std::set<std::string> jobs;  // with a task somewhere
    };
    Usage currentUsage() const;
    /// The worker has had no trouble for a while and the job's owner allows its machine.
    bool mayHost(const Worker& w, const JobSpec& spec) const;
    /// How many more tasks of the job have room beside what runs, in the zones that it may have.
    std::uint32_t roomFor(const JobSpec& spec, Usage& usage) const;
    /// Nothing of the job runs, and its team's limits and the machines' room let it begin.
    bool couldBegin(const JobSpec& spec, Usage& usage);
    /// Once the troubles are over, nothing that waits has to wait long beside room that it may have.
    void checkWaiting();
    /// A result may be cleared once the store has it, or the job is over.
    void checkStored(const Attempt& attempt);

    Faults faults_;
    std::mt19937_64 random_;
    Time now_{1000s};
    std::multimap<Time, std::function<void()>> events_;
    std::vector<protocol::MachineType> types_;
    std::map<std::string, JobSpec> specs_;
    std::map<std::string, Time> cancelled_;
    std::map<std::string, Worker> workers_;
    std::map<std::string, std::vector<std::string>> rented_;
    std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> heartbeats_;
    std::uint64_t requests_ = 0, machines_ = 0, told_ = 0;
    std::string lastFailed_;  // a key whose condition failed in the last transaction
    std::shared_ptr<Tenant> tenant_;
    Time electionAt_{};
    Time storeOutUntil_{}, zoneCutUntil_{}, nextLook_{};
    std::string cutZone_;
    Seconds latency_{0};
    std::optional<Time> calmSince_;
    std::vector<std::function<void()>> held_;  // copies of heartbeats, for the next leader
    // Of the checks: how far the store's changes are read, what they said, and what was noted once.
    std::size_t checked_ = 0;
    std::map<std::string, storage::TerminalState> finals_;
    std::map<std::string, Time> waiting_;
    std::set<std::string> waited_;
    std::set<Attempt> reported_;
    std::map<std::string, storage::TerminalState> answered_;

  public:
    std::size_t refusals = 0;

  private:
    bookkeeping::StateReplica asked_;  // of a node that only answers users
    std::size_t askedRead_ = 0;
    std::optional<StubLimits> lowered_;
    Time nextSecond_{};
};

}  // namespace burlpoint::tests
