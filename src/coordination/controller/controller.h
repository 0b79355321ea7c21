#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "coordination/api/readiness.h"
#include "coordination/api/user_api.h"
#include "coordination/controller/action_executor.h"
#include "coordination/controller/heartbeat_forwarder.h"
#include "coordination/controller/leader.h"
#include "coordination/leadership/election.h"
#include "coordination/leadership/overload_monitor.h"
#include "coordination/leadership/peer_exchange.h"
#include "coordination/state/state_watcher.h"
#include "protocol/policy.h"
#include "transport/executor.h"
#include "transport/http_client.h"
#include "transport/http_message.h"
#include "transport/http_server.h"

/// The controller process. `Controller` owns the parts it consists of and the queue through which they are
/// told what happens; it routes requests and messages between them. What each part decides or remembers is
/// its own.
namespace burlpoint::coordination {

/// One controller process: owns all state and works through a queue of commands, in batches, on one thread.
class Controller {
  public:
    /// Listens and starts; all the rest happens as `io` runs. `settings` and `policy` must outlive the node.
    /// Throws if an address of the settings is none or is in use.
    Controller(asio::io_context& io, const protocol::Settings& settings, const protocol::Policy& policy);

  private:
    enum class Listener { outside, peers };  // for users, workers and the load balancer; for other nodes
    struct Call {                            // a request to this node
        transport::Request request;
        transport::Reply reply;
        Listener listener = Listener::outside;  // that it came to
    };
    using Queued = std::variant<Call, LeaderEvent>;
    struct PeerQuestion {  // what an answer of a peer belongs to
        std::string peer;
        Time sent;
        std::uint64_t round = 0;  // of the executor's leaderships
    };

    // The queue.
    void enqueue(Queued event);
    /// Carries out all that was queued before this call.
    void drain();

    // What is done by the clock, ten times a second.
    void tick();
    /// Reads the key-value store if nothing else has done so lately.
    void keepReplicaFresh(Time now);
    void resignIfRefusedAlone(Time now);
    /// Leaves the leadership to a peer while this node does not keep up with its work.
    void giveWayIfOverloaded(Time now);
    void cleanUp(Time now);

    // Requests. Each of these answers the call or hands its reply on.
    void serve(Call& call);
    void serveOutside(Call& call);
    void servePeer(Call& call);
    /// A heartbeat, from itself or passed on by a peer.
    void serveHeartbeat(Call& call);

    // Peers.
    /// Sends this node's status, and a leader's questions, to all peers once a second.
    void askPeers(Time now);
    void peerAnswered(const PeerQuestion& question, const std::string& body);
    void notePeerStatus(const protocol::PeerStatus& status, Time now);
    protocol::PeerStatus ownStatus(Time now) const;
    /// The grant to the leader that asks, in milliseconds; 0: none. Only for an answer that tells all
    /// cancellations.
    std::uint64_t voteFor(const protocol::PeerStatus& asking, Time now);

    // Leading.
    void leadershipGained(std::uint64_t fencingToken);
    void leadershipLost();
    /// Tells the leader, if this node has one, and carries out what it decides.
    void lead(LeaderEvent event);
    void replicaChanged(const std::vector<bookkeeping::Change>& changes);

    /// Can this node serve users?
    bool able(Time now) const;
    /// The key-value store answers peers and not this node.
    bool refusedAlone(Time now) const;

    asio::io_context& io_;
    const protocol::Settings& settings_;
    const protocol::Policy& policy_;
    transport::HttpClient http_;  // to the key-value store, the cloud and peers
    storage::KeyValueClient state_;
    bookkeeping::StateReplica replica_;
    StateWatcher watcher_;
    Election election_;
    UserApi userApi_;
    PeerExchange peers_;
    HeartbeatForwarder forwarder_;
    ActionExecutor executor_;
    std::unique_ptr<Leader> leader_;  // none: this node doesn't lead
    Readiness readiness_;
    OverloadMonitor overload_;

    std::deque<Queued> queue_;
    bool draining_ = false;  // a call of `drain` is posted
    transport::Timer ticker_;
    Time nextTick_{};          // when the next tick is due
    Time nextPeerExchange_{};  // the next questions to the peers
    Time nextForcedRead_{};    // no read for its own sake before
    Time nextCleanup_{};
    transport::HttpServer users_;  // and workers and the load balancer
    transport::HttpServer peerServer_;
};

}  // namespace burlpoint::coordination
