#include "coordination/controller/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "coordination/controller/socket_shares.h"
#include "transport/endpoint.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

using bookkeeping::ReplicaChange;
using transport::Reply;
using transport::Request;

namespace {

constexpr double kStoreRequestShare = 0.5;  // this controller's share of the store's request rate limit

transport::ServerLimits serverLimits(const protocol::Settings& settings, double share) {
    transport::ServerLimits limits;
    limits.connections = sockets::count(settings, share);
    return limits;
}

/// The minimum time between two reads that update the replica on demand. Three quarters of the key-value
/// store's request rate limit are divided among the controllers for all their reads. The factor of 1.5 covers
/// the watches: `StateWatcher` pauses for two intervals after each, so it opens up to one in two intervals.
Duration minReadInterval(const protocol::Settings& settings) {
    constexpr Duration kMinInterval{25};
    const double controllers = static_cast<double>(settings.peers.size()) + 1;
    return std::max(kMinInterval, Duration(static_cast<int>(1000 * 1.5 * controllers /
                                                            (settings.storeRequestsPerSecond * 0.75))));
}

}  // namespace

Controller::Controller(asio::io_context& io, const protocol::Settings& settings,
                       const protocol::Policy& policy)
    : http_(io, sockets::count(settings, sockets::kServices)),
      store_(http_, settings.storeAddress, settings.storeRequestsPerSecond, kStoreRequestShare, Clock::now()),
      watcher_(
          io, store_, replica_,
          [this](const std::vector<ReplicaChange>& changes) { replicaChanged(changes); },
          minReadInterval(settings)),
      election_(
          settings, policy, store_, replica_, watcher_,
          [this](std::uint64_t fencingToken) { leadershipGained(fencingToken); },
          [this] { leadershipLost(); }),
      userApi_(io, settings, store_, replica_, watcher_),
      peerExchange_(settings, replica_,
                    [this](const protocol::Cancellation& cancellation) {
                        watcher_.applyCancellation(cancellation.job, cancellation.version);
                    }),
      forwarder_(settings, http_, peerExchange_, sockets::count(settings, sockets::kForwards)),
      executor_(io, settings, sockets::count(settings, sockets::kWorkers),
                {http_, store_, watcher_, election_},
                [this](LeaderEvent event) { events_.push(std::move(event)); }),
      leader_(settings, policy, replica_, executor_),
      events_(io, [this](ControllerEvent& event) { handle(event); }),
      peers_({settings, http_, store_, replica_, peerExchange_, election_, userApi_, leader_}),
      heartbeats_(election_, leader_, forwarder_),
      router_(readiness_, userApi_, heartbeats_, peers_),
      periodicTasks_(io, {store_, replica_, watcher_, election_, leader_, peers_, readiness_, overload_,
                          http_, executor_, forwarder_}),
      clientServer_(
          io, transport::parseEndpoint(settings.listenAddress), serverLimits(settings, sockets::kClients),
          [this](Request&& request, Reply reply) {
              events_.push(IncomingRequest{std::move(request), std::move(reply), Listener::clients});
          }),
      peerServer_(io, transport::parseEndpoint(settings.peerListenAddress),
                  serverLimits(settings, sockets::kPeers), [this](Request&& request, Reply reply) {
                      events_.push(IncomingRequest{std::move(request), std::move(reply), Listener::peers});
                  }) {
    watcher_.start();
    periodicTasks_.start();
}

void Controller::handle(ControllerEvent& event) {
    if (auto* incoming = std::get_if<IncomingRequest>(&event))
        router_.serve(*incoming);
    else
        leader_.handle(std::move(std::get<LeaderEvent>(event)));
}

void Controller::replicaChanged(const std::vector<ReplicaChange>& changes) {
    JobsChanged jobs;
    for (const auto& change : changes)
        if (change.kind == bookkeeping::ReplicaChangeKind::job) jobs.ids.push_back(change.id);
    if (leader_.leader() && !jobs.ids.empty()) events_.push(std::move(jobs));
}

void Controller::leadershipGained(std::uint64_t fencingToken) {
    overload_.recordLeadershipStart(Clock::now());
    // A peer that the key-value store refuses learns of the new leader only from a status message.
    peers_.scheduleExchange(Clock::now());
    leader_.begin(fencingToken);
}

void Controller::leadershipLost() {
    spdlog::info("leadership lost");
    leader_.end();
}

}  // namespace burlpoint::coordination
