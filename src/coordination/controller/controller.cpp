#include "coordination/controller/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "base/wall_clock.h"
#include "protocol/errors.h"
#include "protocol/responses.h"
#include "transport/endpoint.h"

namespace burlpoint::coordination {

using protocol::MalformedMessage;
using transport::HttpResult;
using transport::Reply;
using transport::Request;
using namespace std::chrono_literals;

namespace paths = protocol::paths;

namespace {

constexpr auto kTick = 100ms;
constexpr auto kPeerPause = 1s;               // between questions to the peers
constexpr auto kPeerTimeout = 900ms;          // an answer is there, or not, before the next question
constexpr std::uint64_t kMaxVoteMs = 60'000;  // what a peer tells must not overflow
// So old may the newest read be before one is made for its own sake. A leader must know what is cancelled.
constexpr auto kReadAge = 800ms;
constexpr auto kLeaderReadAge = 400ms;
constexpr auto kServedLately = 3s;     // an answer of the key-value store no older shows that it serves
constexpr auto kCleanPause = 5s;       // between looks at what is left over
constexpr auto kConnectionIdle = 20s;  // after which a connection is closed
constexpr double kRequestShare = 0.5;  // of the requests that the key-value store takes, for this node

// Shares of the sockets. Every worker keeps a connection to the leader, beside the users that any node has;
// what a node opens itself is short-lived.
constexpr double kUserSockets = 0.74, kPeerSockets = 0.04, kServiceSockets = 0.07, kWorkerSockets = 0.12;
constexpr double kRelaySockets = 0.04;  // at most, of those for services: the key-value store needs the rest
static_assert(kRelaySockets < kServiceSockets);
static_assert(kUserSockets + kPeerSockets + kServiceSockets + kWorkerSockets < 0.98);

std::size_t sockets(const protocol::Settings& settings, double share) {
    return static_cast<std::size_t>(settings.maxConnections * share);
}

transport::ServerLimits limits(const protocol::Settings& settings, double share) {
    transport::ServerLimits limits;
    limits.connections = sockets(settings, share);
    return limits;
}

/// Three quarters of the key-value store's requests are shared out for reads, each followed by this pause.
Duration readSpacing(const protocol::Settings& settings) {
    const double nodes = static_cast<double>(settings.peers.size()) + 1;
    return std::max(Duration(25), Duration(static_cast<int>(1000 * 1.5 * nodes /
                                                            (settings.storeRequestsPerSecond * 0.75))));
}

}  // namespace

Controller::Controller(asio::io_context& io, const protocol::Settings& settings,
                       const protocol::Policy& policy)
    : io_(io),
      settings_(settings),
      policy_(policy),
      http_(io, sockets(settings, kServiceSockets)),
      state_(http_, settings.storeAddress, settings.storeRequestsPerSecond, kRequestShare, Clock::now()),
      watcher_(
          io, state_, replica_,
          [this](const std::vector<bookkeeping::Change>& changes) { replicaChanged(changes); },
          readSpacing(settings)),
      election_(
          settings, policy, state_, replica_, watcher_,
          [this](std::uint64_t fencingToken) { leadershipGained(fencingToken); },
          [this] { leadershipLost(); }),
      userApi_(io, settings, state_, replica_, watcher_),
      peers_(settings, replica_,
             [this](const protocol::Cancellation& told) { watcher_.noteCancelled(told.job, told.version); }),
      forwarder_(settings, http_, peers_, sockets(settings, kRelaySockets)),
      executor_(io, settings, sockets(settings, kWorkerSockets), {http_, state_, watcher_, election_},
                [this](LeaderEvent event) { enqueue(std::move(event)); }),
      ticker_(io),
      users_(io, transport::parseEndpoint(settings.listenAddress), limits(settings, kUserSockets),
             [this](Request&& request, Reply reply) {
                 enqueue(Call{std::move(request), std::move(reply), Listener::outside});
             }),
      peerServer_(io, transport::parseEndpoint(settings.peerListenAddress), limits(settings, kPeerSockets),
                  [this](Request&& request, Reply reply) {
                      enqueue(Call{std::move(request), std::move(reply), Listener::peers});
                  }) {
    watcher_.start();
    tick();
}

// --- the queue --------------------------------------------------------------------------------------------

void Controller::enqueue(Queued event) {
    queue_.push_back(std::move(event));
    if (draining_) return;
    draining_ = true;
    asio::post(io_, [this] { drain(); });
}

void Controller::drain() {
    auto batch = std::exchange(queue_, {});
    draining_ = false;
    for (auto& event : batch) {
        if (auto* call = std::get_if<Call>(&event))
            serve(*call);
        else
            lead(std::move(std::get<LeaderEvent>(event)));
    }
}

void Controller::replicaChanged(const std::vector<bookkeeping::Change>& changes) {
    JobsChanged jobs;
    for (const auto& change : changes)
        if (change.kind == bookkeeping::ChangeKind::job) jobs.ids.push_back(change.id);
    if (leader_ && !jobs.ids.empty()) enqueue(LeaderEvent(std::move(jobs)));
}

void Controller::tick() {
    const auto now = Clock::now();
    if (nextTick_ != Time{}) overload_.noteTick(nextTick_, now);
    election_.tick(now);
    if (leader_ && election_.valid(now)) lead(Tick{});
    keepReplicaFresh(now);
    if (leader_ && refusedAlone(now)) resignIfRefusedAlone(now);
    giveWayIfOverloaded(now);
    readiness_.update(able(now), now);
    askPeers(now);
    cleanUp(now);
    nextTick_ = now + kTick;
    ticker_.expires_at(nextTick_);
    ticker_.async_wait([this](auto error) {
        if (!error) tick();
    });
}

void Controller::keepReplicaFresh(Time now) {
    if (now < nextForcedRead_) return;
    const bool old = leader_ && now - watcher_.asOf() > kLeaderReadAge;
    if (!old && now - state_.lastAnswer() <= kReadAge) return;
    nextForcedRead_ = now + (leader_ ? kLeaderReadAge : kReadAge);
    watcher_.readLatest([](bool) {});
}

// Refused by the key-value store alone, this node cannot lead for long: better that a peer does it at once.
void Controller::resignIfRefusedAlone(Time now) {
    spdlog::info("the state service answers others and not this node: resigning");
    election_.resign(now, true);
    nextPeerExchange_ = now;
}

// Seen on a simulated day: a leader three times slower than its peers for 30 s kept the leadership for 7 s
// more, answered no worker in time, and the leases of a third of them ran out.
void Controller::giveWayIfOverloaded(Time now) {
    if (!leader_ || !overload_.shouldGiveWay(now)) return;
    // In an outage no peer could take over, and none should that hears nothing of the others.
    if (now - state_.lastAnswer() > kServedLately) return;
    const bool heard = std::any_of(settings_.peers.begin(), settings_.peers.end(),
                                   [&](const auto& peer) { return peers_.inTouch(peer.name, now); });
    if (!heard) return;
    spdlog::info("resigning: this node does not keep up with its work");
    overload_.noteGivenWay(now);
    election_.resign(now, true);
    nextPeerExchange_ = now;
}

void Controller::cleanUp(Time now) {
    if (now < nextCleanup_) return;
    nextCleanup_ = now + kCleanPause;
    http_.closeIdle(kConnectionIdle);
    executor_.closeIdle(kConnectionIdle);
    forwarder_.forgetOld(now);
}

// --- requests ---------------------------------------------------------------------------------------------

void Controller::serve(Call& call) {
    if (call.listener == Listener::peers)
        servePeer(call);
    else
        serveOutside(call);
}

void Controller::serveOutside(Call& call) {
    const Request& request = call.request;
    if (request.tooLarge) return call.reply(protocol::respond(413, protocol::errorReply("more than 64 KiB")));
    if (request.path == paths::kReady) {
        if (request.method != "GET") return call.reply(protocol::wrongMethod("GET"));
        return call.reply(protocol::respond(readiness_.ready() ? 200 : 503));
    }
    if (request.path == paths::kHeartbeat) return serveHeartbeat(call);
    if (!userApi_.handle(request, call.reply))
        call.reply(protocol::respond(404, protocol::errorReply("no such path")));
}

void Controller::serveHeartbeat(Call& call) {
    if (call.request.method != "POST") return call.reply(protocol::wrongMethod("POST"));
    if (!election_.valid(Clock::now()) || !leader_) {
        const bool passedOn = call.listener == Listener::peers;
        const auto origin = passedOn ? HeartbeatOrigin::peer : HeartbeatOrigin::worker;
        PendingHeartbeat heartbeat{std::move(call.request.body), origin, std::move(call.reply)};
        return forwarder_.answer(std::move(heartbeat), election_.leading(), Clock::now());
    }
    HeartbeatReceived event;
    try {
        event.heartbeat = protocol::decodeHeartbeat(call.request.body);
    } catch (const MalformedMessage& error) {
        spdlog::error("malformed report: {}", error.what());
        return call.reply(protocol::respond(400, protocol::errorReply(error.what())));
    }
    event.cancellationsCurrent = election_.cancellationsCurrent(Clock::now());
    event.request = executor_.awaitAnswer(std::move(call.reply));
    lead(std::move(event));
}

// --- peers ------------------------------------------------------------------------------------------------

protocol::PeerStatus Controller::ownStatus(Time now) const {
    protocol::PeerStatus status;
    status.node = settings_.name;
    status.resignedToken = election_.resignedToken();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - state_.lastAnswer());
    status.stateAgeMs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count()));
    if (const auto leader = peers_.knownLeader(now); leader && peers_.inTouch(leader->node, now))
        status.leaderToken = leader->fencingToken;
    if (leader_ && election_.valid(now)) {
        status.fencingToken = status.leaderToken = leader_->fencingToken();
        status.running = leader_->runningCounts();
    }
    return status;
}

void Controller::askPeers(Time now) {
    if (now < nextPeerExchange_) return;
    nextPeerExchange_ = now + kPeerPause;
    auto status = ownStatus(now);
    if (leader_) userApi_.setRunning(leader_->runningCounts());
    for (const auto& peer : settings_.peers) {
        if (leader_) peers_.describeKnownState(peer.name, status);
        const PeerQuestion question{peer.name, now, executor_.epoch()};
        http_.request(peer.address, "POST", paths::kPeer, protocol::encodePeerStatus(status), kPeerTimeout,
                      [this, question](const HttpResult& outcome) {
                          if (outcome.ok()) peerAnswered(question, outcome.body);
                      });
    }
}

void Controller::peerAnswered(const PeerQuestion& question, const std::string& body) {
    try {
        const auto answer = protocol::decodePeerStatus(body);
        if (answer.node != question.peer) return;
        notePeerStatus(answer, Clock::now());
        if (peers_.applyCancellations(answer)) nextPeerExchange_ = Clock::now();
        // A grant of a peer that has more to tell would carry this leader on while tasks go on that users
        // were told are cancelled.
        if (!leader_ || question.round != executor_.epoch() || !answer.complete) return;
        const Duration life(std::min(answer.grantMs, kMaxVoteMs));
        election_.noteVote(question.peer, life, question.sent);
    } catch (const MalformedMessage& error) {
        spdlog::error("malformed answer of a peer: {}", error.what());
    }
}

void Controller::servePeer(Call& call) {
    if (call.request.tooLarge) return call.reply(protocol::respond(413));
    if (call.request.path == paths::kRelay) return serveHeartbeat(call);
    if (call.request.path != paths::kPeer) return call.reply(protocol::respond(404));
    if (call.request.method != "POST") return call.reply(protocol::respond(405));
    try {
        const auto now = Clock::now();
        const auto asking = protocol::decodePeerStatus(call.request.body);
        notePeerStatus(asking, now);
        auto status = ownStatus(now);
        status.running.clear();
        if (asking.fencingToken > 0) {
            peers_.appendCancellations(asking, status);
            if (status.complete) status.grantMs = voteFor(asking, now);
        }
        call.reply(protocol::respond(200, protocol::encodePeerStatus(status)));
    } catch (const MalformedMessage& error) {
        call.reply(protocol::respond(400, protocol::errorReply(error.what())));
    }
}

std::uint64_t Controller::voteFor(const protocol::PeerStatus& asking, Time now) {
    const auto life = election_.voteForExtension(asking.node, asking.fencingToken, now);
    return static_cast<std::uint64_t>(life.count());
}

void Controller::notePeerStatus(const protocol::PeerStatus& status, Time now) {
    if (!peers_.noteStatus(status, now)) return;
    election_.noteResignation(status.resignedToken);
    if (!status.running.empty() && status.fencingToken >= replica_.fencingToken)
        userApi_.setRunning(status.running);
}

bool Controller::able(Time now) const {
    return watcher_.synced() && !replica_.types.empty() && !refusedAlone(now);
}

bool Controller::refusedAlone(Time now) const { return peers_.refusedAlone(state_.lastAnswer(), now); }

// --- leading ----------------------------------------------------------------------------------------------

void Controller::leadershipGained(std::uint64_t fencingToken) {
    executor_.begin(fencingToken);
    overload_.noteLeading(Clock::now());
    leader_ =
        std::make_unique<Leader>(settings_, policy_, replica_, fencingToken, Clock::now(), wallClockMs());
    nextPeerExchange_ =
        Clock::now();  // a peer that the key-value store refuses learns of this leader from it alone
    lead(Tick{});
}

void Controller::leadershipLost() {
    spdlog::info("no longer leading");
    leader_.reset();
    executor_.end();
}

void Controller::lead(LeaderEvent event) {
    if (!leader_) return;
    for (auto& action : leader_->handle(std::move(event), Clock::now())) {
        if (!leader_) return;  // it resigned
        executor_.perform(action);
    }
}

}  // namespace burlpoint::coordination
