#pragma once

#include <deque>
#include <memory>
#include <unordered_map>
#include <variant>

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
    void perform(Action& action);
    void perform(AnswerReport& action);
    void perform(SendOrders& action);
    void perform(WriteState& action);
    void perform(RefreshReplica& action);
    void perform(Rent& action);
    void perform(Release& action);
    void perform(ListMachines& action);
    void perform(ListTypes& action);
    void perform(Resign& action);
    void listPage(const std::string& after, std::shared_ptr<MachinesListed> listed);
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
    transport::Client http_;     // to the state service, the cloud and peers
    transport::Client workers_;  // apart, so that silent machines do not take those sockets
    storage::StateClient state_;
    bookkeeping::StateReplica replica_;
    StateWatcher watcher_;
    Election election_;
    UserApi userApi_;
    PeerExchange peers_;
    WorkerRelay relay_;
    std::unique_ptr<Leader> leader_;
    std::uint64_t leaderRound_ = 0;  // answers meant for an earlier leadership are dropped

    std::deque<Queued> queue_;
    bool draining_ = false;
    std::uint64_t requests_ = 0;
    std::unordered_map<std::uint64_t, transport::Reply> reports_;  // being answered

    Readiness readiness_;
    asio::steady_timer ticker_;
    transport::Time nextPeers_{}, nextHeartbeat_{}, nextClean_{};
    transport::Server users_, peerServer_;
};

}  // namespace burlpoint::coordination
