#pragma once

// The leaders of a simulated cluster, one at a time: they are elected, lose the store, crash, and the next
// one follows. Carries out what the present leader decides, through the network, the store and the cloud.

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

    /// Called with each action that a leader decides, before it is carried out; for recording decisions.
    std::function<void(const coordination::Action&)> onAction;

    /// Elections, crashes, reading the store, and the leader's own tick.
    void step(double seconds);
    void receiveHeartbeat(const protocol::Heartbeat& heartbeat, std::uint64_t request);

    // --- brought about by a test ---

    /// The leader ends; the next begins after the pause.
    void endLeadership(Seconds pause);
    /// The store refuses the leader alone from now on. Its leader lease ends within 0.5 s to `longest`.
    void loseStore(Seconds longest);
    /// The leader, if there is one, is inside the zone that is cut off, without the store.
    void moveIntoCutZone();
    /// Lets the leader see all there is, as one that goes on by its peers' votes in an outage has to.
    void readStoreBeforeOutage();

    // --- what the present leader knows ---

    bool exists() const { return leadership_ != nullptr; }
    bookkeeping::StateReplica& replica() { return leadership_->replica; }
    bool reachesStore() const { return leadership_->reachesStore(); }
    /// What the leader knows of a job and of all machines, in words.
    std::string describe(const std::string& job) const;

  private:
    /// One leadership, from election to end.
    struct Leadership {
        std::uint64_t fencingToken = 0;
        bookkeeping::StateReplica replica;
        std::size_t replicaPosition = 0;  // in the store's log
        Time lastRead{};
        bool insideCutZone = false;
        Time leaseEnd = Time::max();  // set once it has lost the store
        std::unique_ptr<coordination::Leader> leader;

        bool reachesStore() const { return leaseEnd == Time::max(); }
    };

    void elect();
    void crash();
    void noteTeamsAtMaximum();
    void readStore(Leadership& leadership);
    /// Gives the leader an event and carries out what it decides.
    void handle(coordination::LeaderEvent event);
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
    std::shared_ptr<Leadership> leadership_;  // null between two of them
    Time nextElection_{};
    std::uint64_t handledEvents_ = 0;
};

}  // namespace burlpoint::simulation
