#pragma once

// The worker agents of a simulated cluster with their machines and tasks: their behaviour over time, the
// execution of commands, and their faults. Messages are sent and delivered by `SimulatedNetwork`.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/worker_messages.h"
#include "simulation/environment.h"

namespace burlpoint::simulation {

struct SimulatedTask {
    protocol::TaskState state = protocol::TaskState::fetching;
    protocol::ExitReason exitReason = protocol::ExitReason::none;
    Time phaseEnd{};  // end of the current fetch, run or checkpoint
    Time fetched{};   // when the image fetch finished
};

struct SimulatedWorker {
    std::string id, type, zone;
    bool spot = false, booted = false, dead = false;
    Time bootAt{}, hungUntil{}, partitionedUntil{}, inboundLinkDownUntil{}, outboundLinkDownUntil{};
    Time faultyUntil{};  // until then the machine fails every task that it starts to run
    Time lastFault{};    // the last moment at which a fault affected the worker
    std::optional<Time> interruptionAt;
    double clockRate = 1;
    std::uint64_t incarnation = 1, sequence = 0, fencingToken = 0;
    std::uint64_t restarts = 0;  // of the agent; a response to a heartbeat from before one is lost
    std::map<protocol::Attempt, SimulatedTask> tasks;
    Time leaseStart{};                    // when the last answered heartbeat was sent
    std::uint64_t unansweredRequest = 0;  // request number of the pending heartbeat; 0: none
    Time heartbeatSent{}, nextHeartbeat{};
    bool changedSinceHeartbeat = false;  // lets the next heartbeat be sent early

    /// Adopts the fencing token of received commands. If it is newer, the next heartbeat, which reports it,
    /// is sent early.
    void adoptToken(std::uint64_t token);
};

class SimulatedWorkers {
  public:
    explicit SimulatedWorkers(Environment& environment) : environment_(environment) {}

    /// Callbacks to the other parts of the cluster. All of them must be set.
    struct Hooks {
        /// Sends a heartbeat and returns its request number.
        std::function<std::uint64_t(const SimulatedWorker&, const protocol::Heartbeat&)> sendHeartbeat;
        /// A task was started on this worker, or has finished fetching its image.
        std::function<void(const SimulatedWorker&, const protocol::Attempt&)> taskPlaced;
        /// The leader acknowledged the result of a completed task, and the worker forgets it.
        std::function<void(const protocol::Attempt&)> resultAcknowledged;
        /// The last task of this job has completed, and its user is to cancel, query and resubmit it now.
        std::function<void(const std::string& job)> userActsAtJobEnd;
    };
    Hooks hooks;

    // Bounds of the random run and fetch times of tasks, and of the number of machines.
    Seconds minRunTime{2}, maxRunTime{12}, maxFetchTime{3};
    std::size_t maxMachines = 12;

    // Functions that the simulated cloud provider calls.

    /// Creates a machine, which boots within 0.5 to 8 s, and returns its id.
    std::string create(const std::string& type, const std::string& zone, bool spot);
    void remove(const std::string& id);
    std::size_t aliveCount() const;

    // Advance of the simulated time, heartbeats and commands.

    void step(double seconds);
    protocol::Heartbeat nextHeartbeat(SimulatedWorker& worker) const;
    void execute(SimulatedWorker& worker, const protocol::WorkerCommand& command);

    // Faults that a test injects. A fault with a `time` lasts that long from now on.

    void hang(const std::string& id, Seconds time) { workers_.at(id).hungUntil = until(time); }
    void partition(const std::string& id, Seconds time) { workers_.at(id).partitionedUntil = until(time); }
    void breakInboundLink(const std::string& id, Seconds time) {
        workers_.at(id).inboundLinkDownUntil = until(time);
    }
    void breakOutboundLink(const std::string& id, Seconds time) {
        workers_.at(id).outboundLinkDownUntil = until(time);
    }
    /// The machine fails every task that it starts to run; tasks that run already are not affected.
    void makeFaulty(const std::string& id, Seconds time) { workers_.at(id).faultyUntil = until(time); }
    /// The machine dies with its tasks.
    void kill(const std::string& id);

    // Queries of the current state.

    const std::map<std::string, SimulatedWorker>& all() const { return workers_; }
    const SimulatedWorker& at(const std::string& id) const { return workers_.at(id); }
    /// Whether the worker is up and its lease, by its own clock, has not expired. Only then do its tasks
    /// count as running.
    bool holdsLease(const SimulatedWorker& worker) const;
    /// The worker if it is up and neither hung nor partitioned; otherwise null.
    SimulatedWorker* findReachable(const std::string& id);
    /// The workers with a valid lease and a task of the job that has not exited; of any job if `job` is
    /// empty.
    std::vector<std::string> workersWithTasks(const std::string& job) const;
    /// Lists all tasks that have not exited, on workers with a valid lease.
    std::string describeRunningTasks() const;

  private:
    using Attempt = protocol::Attempt;
    using ExitReason = protocol::ExitReason;
    using TaskState = protocol::TaskState;

    Time until(Seconds time) const { return environment_.now() + toClockDuration(time); }
    void stepWorker(SimulatedWorker& worker, double seconds);
    /// Draws the random faults of a worker that is up: hangs, link failures, agent restarts and spot
    /// interruptions.
    void drawFaults(SimulatedWorker& worker, double seconds);
    void restartAgent(SimulatedWorker& worker);
    void sendHeartbeat(SimulatedWorker& worker);

    void stepTask(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task);
    void beginRun(SimulatedWorker& worker, SimulatedTask& task);
    void finishFetch(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task);
    void stepGangWait(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task);
    void finishRun(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task);
    static void markExited(SimulatedWorker& worker, SimulatedTask& task, ExitReason reason);
    /// Counts the tasks of the attempt's gang that satisfy the condition, on workers with a valid lease.
    std::size_t countGangMembers(const Attempt& attempt,
                                 const std::function<bool(const SimulatedTask&)>& condition) const;
    void start(SimulatedWorker& worker, const Attempt& attempt);
    void stop(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task, Seconds grace);
    /// Why the worker refuses to start the attempt; `none` if it does not.
    ExitReason startRefusal(const SimulatedWorker& worker, const Attempt& attempt) const;

    Environment& environment_;
    std::map<std::string, SimulatedWorker> workers_;
    std::uint64_t createdCount_ = 0;
};

}  // namespace burlpoint::simulation
