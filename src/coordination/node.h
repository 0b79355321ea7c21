#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "coordination/action_executor.h"
#include "coordination/election.h"
#include "coordination/leader.h"
#include "coordination/overload_monitor.h"
#include "coordination/peer_exchange.h"
#include "coordination/readiness.h"
#include "coordination/state_watcher.h"
#include "coordination/user_api.h"
#include "coordination/worker_relay.h"
#include "transport/http.h"

/// The controller process. `Node` owns the parts it consists of and the queue through which they are told
/// what happens; it routes requests and messages between them. What each part decides or remembers is its
/// own.
namespace burlpoint::coordination {

/// One controller process: owns all state and works through a queue of commands, in batches, on one thread.
class Node {
  public:
    /// Listens and starts; all the rest happens as `io` runs. `settings` and `policy` must outlive the node.
    /// Throws if an address of the settings is none or is in use.
    Node(asio::io_context& io, const protocol::Settings& settings, const protocol::Policy& policy);

  private:
    enum class Listener { outside, peers };  // for users, workers and the load balancer; for other nodes
    struct Call {                            // a request to this node
        transport::Request request;
        transport::Reply reply;
        Listener listener = Listener::outside;  // that it came to
    };
    using Queued = std::variant<Call, Command>;
    struct PeerQuestion {  // what an answer of a peer belongs to
        std::string peer;
        transport::Time sent;
        std::uint64_t round = 0;  // of the executor's leaderships
    };

    // The queue.
    void enqueue(Queued command);
    /// Carries out all that was queued before this call.
    void drain();

    // What is done by the clock, ten times a second.
    void tick();
    /// Reads the state service if nothing else has done so lately.
    void keepReplicaFresh(transport::Time now);
    void giveUpLeadership(transport::Time now);
    /// Leaves the leadership to a peer while this node does not keep up with its work.
    void giveWayIfOverloaded(transport::Time now);
    void cleanUp(transport::Time now);

    // Requests. Each of these answers the call or hands its reply on.
    void serve(Call& call);
    void serveOutside(Call& call);
    void servePeer(Call& call);
    /// A worker's report, from itself or passed on by a peer.
    void serveReport(Call& call);

    // Peers.
    /// Sends this node's status, and a leader's questions, to all peers once a second.
    void askPeers(transport::Time now);
    void peerAnswered(const PeerQuestion& question, const std::string& body);
    void notePeerStatus(const protocol::PeerStatus& status, transport::Time now);
    protocol::PeerStatus ownStatus(transport::Time now) const;
    /// The grant to the leader that asks, in milliseconds; 0: none. Only for an answer that tells all
    /// cancellations.
    std::uint64_t grantTo(const protocol::PeerStatus& asking, transport::Time now);

    // Leading.
    void won(std::uint64_t token);
    void lost();
    /// Tells the leader, if this node has one, and carries out what it decides.
    void lead(Command command);
    void replicaChanged(const std::vector<bookkeeping::Change>& changes);

    /// Can this node serve users?
    bool able(transport::Time now) const;
    /// The state service answers peers and not this node.
    bool refusedAlone(transport::Time now) const;

    asio::io_context& io_;
    const protocol::Settings& settings_;
    const protocol::Policy& policy_;
    transport::Client http_;  // to the state service, the cloud and peers
    storage::StateClient state_;
    bookkeeping::StateReplica replica_;
    StateWatcher watcher_;
    Election election_;
    UserApi userApi_;
    PeerExchange peers_;
    WorkerRelay relay_;
    ActionExecutor executor_;
    std::unique_ptr<Leader> leader_;  // none: this node doesn't lead
    Readiness readiness_;
    OverloadMonitor overload_;

    std::deque<Queued> queue_;
    bool draining_ = false;  // a call of `drain` is posted
    transport::Timer ticker_;
    transport::Time nextTick_{};       // when the next tick is due
    transport::Time nextPeers_{};      // the next questions to the peers
    transport::Time nextHeartbeat_{};  // no read for its own sake before
    transport::Time nextClean_{};
    transport::Server users_;  // and workers and the load balancer
    transport::Server peerServer_;
};

}  // namespace burlpoint::coordination
