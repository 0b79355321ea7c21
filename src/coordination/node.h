#pragma once

#include <deque>
#include <memory>
#include <unordered_map>
#include <variant>

#include "coordination/election.h"
#include "coordination/leader.h"
#include "coordination/state_watcher.h"
#include "coordination/user_api.h"
#include "transport/http.h"

namespace burlpoint::coordination {

/// Whether this node tells the load balancer that it can take requests. Losing readiness costs the more the
/// more often it happens, so a node on the edge stays out instead of flapping.
class Readiness {
  public:
    void update(bool able, transport::Time now);
    bool ready() const { return ready_; }

  private:
    bool ready_ = false, ever_ = false;
    transport::Time ableSince_ = transport::Time::max(), lostAt_{};
    std::chrono::seconds penalty_{3};
};

/// Whether a follower passes a worker's report on to the leader or sends the worker there. The first report
/// is passed on, as the worker's lease may be short by now; with the second the worker is sent to the leader.
/// If it is back soon, a cut lies between the two and not between them and this node, which then stands in
/// for a while.
class RelayDecider {
  public:
    bool shouldRelay(transport::Time now);
    /// Nothing of it matters any more.
    bool over(transport::Time now) const;

  private:
    transport::Time at_{}, until_{};
    int contacts_ = 0;
};

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
    void redirect(Call& call);
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
    bool inTouch(const std::string& peer, transport::Time now) const;
    void describeKnownState(const std::string& peer, protocol::PeerStatus& question) const;
    void appendCancellations(const protocol::PeerStatus& asking, protocol::PeerStatus& answer) const;
    void applyCancellations(const protocol::PeerStatus& answer);
    std::string peerInTouchWithLeader(transport::Time now) const;
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
    std::unique_ptr<Leader> leader_;
    std::uint64_t leaderRound_ = 0;  // answers meant for an earlier leadership are dropped

    std::deque<Queued> queue_;
    bool draining_ = false;
    const std::uint64_t log_;  // names this process's log of cancellations
    std::uint64_t requests_ = 0;
    std::unordered_map<std::uint64_t, transport::Reply> reports_;  // being answered

    struct PeerView {
        transport::Time heardAt{};
        transport::Time stateAnsweredAt{};
        std::uint64_t leaderToken = 0;     // the token of the leader that it is in touch with
        std::uint64_t log = 0, logAt = 0;  // its log of cancellations, and how far it is known here
    };
    std::unordered_map<std::string, PeerView> peers_;
    std::unordered_map<std::string, RelayDecider>
        relayDeciders_;  // per machine that reported to this follower
    Readiness readiness_;
    asio::steady_timer ticker_;
    transport::Time nextPeers_{}, nextHeartbeat_{}, nextClean_{};
    transport::Server users_, peerServer_;
};

}  // namespace burlpoint::coordination
