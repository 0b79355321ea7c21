#pragma once

// The network between the leader and the workers of a simulated cluster. Loses, delays, duplicates and holds
// back heartbeats, heartbeat responses and direct commands, and can partition a zone.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "simulation/environment.h"
#include "simulation/requester.h"
#include "simulation/simulated_workers.h"

namespace burlpoint::simulation {

class SimulatedNetwork {
  public:
    SimulatedNetwork(Environment& environment, SimulatedWorkers& workers)
        : environment_(environment), workers_(workers) {}

    /// Callbacks to the other parts of the cluster. All of them must be set.
    struct Hooks {
        /// A heartbeat, or a copy of one, arrives at the controllers.
        std::function<void(const protocol::Heartbeat&, std::uint64_t request)> heartbeatArrived;
        /// The leader sends a command to the machine in a heartbeat response, and the response is not lost on
        /// sending.
        std::function<void(const std::string& machine, std::uint64_t fencingToken,
                           const protocol::WorkerCommand&)>
            commandSentInResponse;
        /// The leader sends a direct command.
        std::function<void(const protocol::WorkerCommand&)> commandSentDirectly;
    };
    Hooks hooks;

    /// Partitions the zone from the rest of the cluster for `time`. Only one zone is partitioned at a time.
    void partitionZone(const std::string& zone, Seconds time);
    /// Whether messages pass between the worker and a leader inside (`leaderInside`) or outside the
    /// partitioned zone.
    bool areConnected(const SimulatedWorker& worker, bool leaderInside) const;

    /// Sends a worker's heartbeat and returns its request number.
    std::uint64_t sendHeartbeat(const SimulatedWorker& worker, const protocol::Heartbeat& heartbeat);
    /// Delivers the heartbeat copies that were held back for the next leader, each within 6 s.
    void releaseHeldHeartbeats();
    void answerHeartbeat(const coordination::AnswerHeartbeat& action, const Requester& leader);
    void sendCommands(const coordination::SendCommands& action, const Requester& leader);

  private:
    /// Assigns a request number to a heartbeat of the worker.
    std::uint64_t newRequest(const SimulatedWorker& worker);
    void scheduleArrival(Clock::duration delay, const protocol::Heartbeat& heartbeat, std::uint64_t request);
    /// The worker if a message from such a leader can reach it now; otherwise null.
    SimulatedWorker* findReceiver(const std::string& id, bool leaderInside);
    /// Runs `onArrival` after the delay, or, if the message is held back by a fault, after the delay and the
    /// machine's recovery.
    void deliver(Clock::duration delay, const std::string& id, std::function<void()> onArrival);
    /// The remaining time of the worker's hang or partition; 0 if it has neither.
    Clock::duration timeToRecovery(const SimulatedWorker& worker) const;
    void receiveAnswer(const coordination::AnswerHeartbeat& action, const Requester& leader);
    /// Lets the commands of a response that the worker has just executed arrive once more.
    void scheduleResponseCopy(const SimulatedWorker& worker, const coordination::AnswerHeartbeat& action,
                              const Requester& leader);
    void receiveResponseCopy(const coordination::AnswerHeartbeat& action, const Requester& leader,
                             SimulatedWorker& worker);
    void scheduleDirectCommandCopy(const coordination::SendCommands& action, const Requester& leader);
    /// Executes the commands unless their fencing token is older than the worker's or they are for another
    /// incarnation. Returns whether they were executed.
    bool receiveCommands(SimulatedWorker& worker, const coordination::SendCommands& action,
                         std::uint64_t fencingToken);
    /// Executes the commands once the machine has recovered. The leader has timed out by then and gets no
    /// response.
    void executeAfterRecovery(const coordination::SendCommands& action, const Requester& leader);

    Environment& environment_;
    SimulatedWorkers& workers_;
    Time zonePartitionedUntil_{};
    std::string partitionedZone_;
    std::uint64_t lastRequest_ = 0;
    /// The worker that sent each request and its incarnation at that time, by request number.
    std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> senders_;
    std::vector<std::function<void()>> heldHeartbeats_;  // arrivals held back for the next leader
};

}  // namespace burlpoint::simulation
