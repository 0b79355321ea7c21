#pragma once

// The leaders of a simulated cluster, one at a time: elects a leader, lets it lose the store or crash, and
// elects the next. Executes the actions of the current leader through the network, the store and the cloud.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "bookkeeping/state_replica.h"
#include "coordination/controller/leader.h"
#include "simulation/environment.h"
#include "simulation/requester.h"
#include "simulation/simulated_cloud.h"
#include "simulation/simulated_network.h"
#include "simulation/simulated_store.h"
#include "simulation/simulated_workers.h"

namespace burlpoint::simulation {

class SimulatedLeaders {
  public:
    SimulatedLeaders(Environment& environment, SimulatedStore& store, SimulatedWorkers& workers,
                     SimulatedNetwork& network, SimulatedCloud& cloud)
        : environment_(environment), store_(store), workers_(workers), network_(network), cloud_(cloud) {}

    /// Called with each action that a leader decides on, before it is executed. Used to record decisions.
    std::function<void(const coordination::Action&)> onAction;

    /// Advances elections, crashes, store reads and the leader's own tick by one time step.
    void step(double seconds);
    void receiveHeartbeat(const protocol::Heartbeat& heartbeat, std::uint64_t request);

    // Faults that a test injects.

    /// Ends the leadership; the next election takes place after the pause.
    void endLeadership(Seconds pause);
    /// The leader loses its connection to the store for good. Its lease, and with it its leadership, ends
    /// after a random time between 0.5 s and `longest`.
    void loseStore(Seconds longest);
    /// Places the leader, if there is one, inside the partitioned zone, where it cannot reach the store.
    void moveIntoPartitionedZone();
    /// Brings the leader's replica up to date, which a leader must be to keep its leadership by its peers'
    /// votes during a store outage.
    void readStoreBeforeOutage();

    // The state of the current leader.

    bool exists() const { return leadership_ != nullptr; }
    bookkeeping::StateReplica& replica() { return leadership_->replica; }
    bool reachesStore() const { return leadership_->reachesStore(); }
    /// Describes the leader's view of a job and of all machines.
    std::string describe(const std::string& job) const;

  private:
    /// One leadership, from election to end.
    struct Leadership {
        std::uint64_t fencingToken = 0;
        bookkeeping::StateReplica replica;
        std::size_t replicaPosition = 0;  // up to which the store's log was read
        Time lastRead{};
        bool insidePartitionedZone = false;
        Time leaseEnd = Time::max();  // set once the leader has lost the store
        std::unique_ptr<coordination::Leader> leader;

        bool reachesStore() const { return leaseEnd == Time::max(); }
    };

    void elect();
    void crash();
    /// Counts teams near their CPU quota in `failoversNearTeamQuota` if a machine with tasks is unreachable.
    void countTeamsNearQuota();
    void readStore(Leadership& leadership);
    /// Passes an event to the leader and executes the actions that it decides on.
    void handle(coordination::LeaderEvent event);
    /// The current leadership as the sender of a request.
    Requester requester();

    void perform(const coordination::AnswerHeartbeat& action) {
        network_.answerHeartbeat(action, requester());
    }
    void perform(const coordination::SendCommands& action) { network_.sendCommands(action, requester()); }
    void perform(const coordination::WriteState& action) { store_.commit(action, requester()); }
    void perform(const coordination::RefreshReplica& action);
    void perform(const coordination::ScaleOut& action) { cloud_.scaleOut(action, requester()); }
    void perform(const coordination::ScaleIn& action) { cloud_.scaleIn(action, requester()); }
    void perform(const coordination::ListMachines&) { cloud_.listMachines(requester()); }
    void perform(const coordination::ListTypes&) { cloud_.listTypes(requester()); }
    void perform(const coordination::Resign&) { crash(); }

    Environment& environment_;
    SimulatedStore& store_;
    SimulatedWorkers& workers_;
    SimulatedNetwork& network_;
    SimulatedCloud& cloud_;
    std::shared_ptr<Leadership> leadership_;  // null while there is no leader
    Time nextElection_{};
    std::uint64_t handledEvents_ = 0;
};

}  // namespace burlpoint::simulation
