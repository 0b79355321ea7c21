#pragma once

// The network between the leader and the workers of a simulated cluster. It loses, delays, duplicates and
// holds back heartbeats, their answers and direct commands, and can cut off a zone.

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

    /// How the other parts take part. All of them have to be set.
    struct Hooks {
        /// A heartbeat, or a copy of one, arrives at the controllers.
        std::function<void(const protocol::Heartbeat&, std::uint64_t request)> heartbeatArrived;
        /// A command leaves with the answer to a heartbeat, and the answer is not lost.
        std::function<void(const protocol::WorkerCommand&)> commandAnswered;
    };
    Hooks hooks;

    /// Cuts the zone off from everything outside.
    void cutZone(const std::string& zone, Seconds time);
    /// Messages pass between the worker and a leader that is inside the zone that is cut off, or outside.
    bool areConnected(const SimulatedWorker& worker, bool leaderInside) const;

    /// Sends a worker's heartbeat and returns the number of the request.
    std::uint64_t sendHeartbeat(const SimulatedWorker& worker, const protocol::Heartbeat& heartbeat);
    /// From now on the copies that are held back for the next leader arrive.
    void releaseHeldHeartbeats();
    void answerHeartbeat(const coordination::AnswerHeartbeat& action, const Requester& leader);
    void sendCommands(const coordination::SendCommands& action, const Requester& leader);

  private:
    std::uint64_t newRequest(const SimulatedWorker& worker);
    void scheduleArrival(Clock::duration delay, const protocol::Heartbeat& heartbeat, std::uint64_t request);
    /// The worker if a message of such a leader gets to it now; otherwise null.
    SimulatedWorker* findReceiver(const std::string& id, bool leaderInside);
    /// Runs `arrive` after the delay, or, if the message is held up, once its machine has recovered.
    void deliver(Clock::duration delay, const std::string& id, std::function<void()> arrive);
    Clock::duration timeToRecovery(const SimulatedWorker& worker) const;
    void receiveAnswer(const coordination::AnswerHeartbeat& action, const Requester& leader);
    /// Carries out the commands unless they name an older token or another incarnation.
    bool receiveCommands(SimulatedWorker& worker, const coordination::SendCommands& action,
                         std::uint64_t fencingToken);
    /// The leader no longer waits for these; they are carried out as the machine goes on.
    void executeAfterRecovery(const coordination::SendCommands& action, const Requester& leader);

    Environment& environment_;
    SimulatedWorkers& workers_;
    Time zoneCutUntil_{};
    std::string cutZone_;
    std::uint64_t lastRequest_ = 0;
    /// By request: the worker that sent it, and its incarnation then.
    std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> senders_;
    std::vector<std::function<void()>> heldHeartbeats_;  // for the next leader
};

}  // namespace burlpoint::simulation
