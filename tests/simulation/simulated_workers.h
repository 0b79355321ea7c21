#pragma once

// The worker agents of a simulated cluster, with their machines and tasks: what a worker does by itself as
// time goes on, how it carries out commands, and what befalls it. Sending and receiving is the network's
// part.

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
    Time phaseEnd{};  // of the fetch, the run or the checkpoint
    Time fetched{};
};

struct SimulatedWorker {
    std::string id, type, zone;
    bool spot = false, booted = false, dead = false;
    Time bootAt{}, hungUntil{}, partitionedUntil{}, inboundLinkDownUntil{}, outboundLinkDownUntil{};
    Time lastFault{};  // when something was last wrong with it
    std::optional<Time> interruptionAt;
    double clockRate = 1;
    std::uint64_t incarnation = 1, sequence = 0, fencingToken = 0;
    std::map<protocol::Attempt, SimulatedTask> tasks;
    Time leaseStart{};                    // when the last answered heartbeat was sent
    std::uint64_t unansweredRequest = 0;  // the heartbeat that it waits for, or 0
    Time heartbeatSent{}, nextHeartbeat{};
    bool changed = false;  // since the last heartbeat

    /// Takes a token that came with commands; the next heartbeat shows a newer one early.
    void adoptToken(std::uint64_t token);
};

class SimulatedWorkers {
  public:
    explicit SimulatedWorkers(Environment& environment) : environment_(environment) {}

    /// How the parts around the workers take part. All of them have to be set.
    struct Hooks {
        /// Sends a heartbeat and returns the number of the request.
        std::function<std::uint64_t(const SimulatedWorker&, const protocol::Heartbeat&)> sendHeartbeat;
        /// A task was started, or has fetched its image, on this worker.
        std::function<void(const SimulatedWorker&, const protocol::Attempt&)> taskPlaced;
        /// A worker was told to forget the result of a completed task.
        std::function<void(const protocol::Attempt&)> resultAcknowledged;
        /// The last task of this job has completed, and its user acts at that moment.
        std::function<void(const std::string& job)> userActsAtJobEnd;
    };
    Hooks hooks;

    // What machines and tasks are like.
    Seconds shortestRun{2}, longestRun{12}, slowestFetch{3};
    std::size_t maxMachines = 12;

    // --- for the cloud ---

    /// The new machine's id. It boots within some seconds.
    std::string create(const std::string& type, const std::string& zone, bool spot);
    void remove(const std::string& id);
    std::size_t aliveCount() const;

    // --- time and messages ---

    void step(double seconds);
    protocol::Heartbeat nextHeartbeat(SimulatedWorker& worker) const;
    void execute(SimulatedWorker& worker, const protocol::WorkerCommand& command);

    // --- faults that a test brings about, each for a time from now on ---

    void hang(const std::string& id, Seconds time) { workers_.at(id).hungUntil = until(time); }
    void partition(const std::string& id, Seconds time) { workers_.at(id).partitionedUntil = until(time); }
    void breakInboundLink(const std::string& id, Seconds time) {
        workers_.at(id).inboundLinkDownUntil = until(time);
    }
    void breakOutboundLink(const std::string& id, Seconds time) {
        workers_.at(id).outboundLinkDownUntil = until(time);
    }
    /// The machine is gone with its tasks.
    void kill(const std::string& id);

    // --- what is true of them now ---

    const std::map<std::string, SimulatedWorker>& all() const { return workers_; }
    const SimulatedWorker& at(const std::string& id) const { return workers_.at(id); }
    /// It runs and its lease, by its own clock, is not over: what it holds counts.
    bool holdsLease(const SimulatedWorker& worker) const;
    /// The worker if it is up, neither hung nor partitioned; otherwise null.
    SimulatedWorker* findReachable(const std::string& id);
    /// Workers with a task of the job that has not exited; of any job if `job` is empty.
    std::vector<std::string> workersWithTasks(const std::string& job) const;
    /// All tasks that have not exited, in words.
    std::string describeRunningTasks() const;

  private:
    using Attempt = protocol::Attempt;
    using ExitReason = protocol::ExitReason;
    using TaskState = protocol::TaskState;

    Time until(Seconds time) const { return environment_.now() + toClockDuration(time); }
    void stepWorker(SimulatedWorker& worker, double seconds);
    /// What may befall a worker that is up: faults of its links, a restart, an interruption of its spot
    /// machine.
    void drawFaults(SimulatedWorker& worker, double seconds);
    void restartAgent(SimulatedWorker& worker);
    void sendHeartbeat(SimulatedWorker& worker);

    void stepTask(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task);
    void stepFetch(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task);
    void stepGangWait(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task);
    void finishRun(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task);
    static void exit(SimulatedWorker& worker, SimulatedTask& task, ExitReason reason);
    /// How many tasks of the attempt's gang satisfy the condition, on workers that hold their lease.
    std::size_t gangMembers(const Attempt& attempt,
                            const std::function<bool(const SimulatedTask&)>& condition) const;
    void start(SimulatedWorker& worker, const Attempt& attempt);
    void stop(SimulatedWorker& worker, const Attempt& attempt, SimulatedTask& task, Seconds grace);
    ExitReason refusalOf(const SimulatedWorker& worker, const Attempt& attempt) const;

    Environment& environment_;
    std::map<std::string, SimulatedWorker> workers_;
    std::uint64_t created_ = 0;
};

}  // namespace burlpoint::simulation
