#pragma once

#include <deque>
#include <memory>
#include <unordered_map>
#include <variant>

#include "coordination/action_executor.h"
#include "coordination/election.h"
#include "coordination/leader.h"
#include "coordination/peer_exchange.h"
#include "coordination/readiness.h"
#include "coordination/state_watcher.h"
#include "coordination/user_api.h"
#include "coordination/worker_relay.h"
#include "transport/http.h"

namespace burlpoint::coordination {

/// One controller process: owns all state and works through a queue of commands, in batches, on one thread.
class Node {
  public:
    Node(asio::io_context& io, const protocol::Settings& settings, const protocol::Policy& policy);

  private:
    struct Call {  // a request from a user, a worker, the load balancer or a peer
        transport::Request request;
        transport::Reply reply;
        bool fromPeer = false;
    };
    using Queued = std::variant<Call, Command>;

    void enqueue(Queued command);
    void drain();
    void serve(Call& call);
    void serveReport(Call& call);
    void servePeer(Call& call);
    void lead(Command command);
    void won(std::uint64_t token);
    void lost();
    void tick();
    void talkToPeers(transport::Time now);
    void notePeerStatus(const protocol::PeerStatus& status, transport::Time now);
    bool able(transport::Time now) const;
    bool refusedAlone(transport::Time now) const;
    protocol::PeerStatus ownStatus(transport::Time now) const;

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
    std::unique_ptr<Leader> leader_;

    std::deque<Queued> queue_;
    bool draining_ = false;
    Readiness readiness_;
    asio::steady_timer ticker_;
    transport::Time nextPeers_{}, nextHeartbeat_{}, nextClean_{};
    transport::Server users_, peerServer_;
};

}  // namespace burlpoint::coordination
