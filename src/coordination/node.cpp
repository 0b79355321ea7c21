#include "coordination/node.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/responses.h"

namespace burlpoint::coordination {

using protocol::Malformed;
using storage::TxnResult;
using transport::Clock;
using transport::Duration;
using transport::Outcome;
using transport::Reply;
using transport::Request;
using transport::Time;
using namespace std::chrono_literals;

namespace paths = protocol::paths;

namespace {

constexpr auto kTick = 100ms;
constexpr auto kOrdersTimeout = 2500ms;
constexpr auto kCloudTimeout = 6000ms;
constexpr auto kWriteTimeout = 1500ms;
constexpr auto kPeerTimeout = 900ms;
constexpr unsigned kPageMachines = 500;

// Shares of the sockets. Every worker keeps a connection to the leader, beside the users that any node has;
// what a node opens itself is short-lived.
constexpr double kUserSockets = 0.74, kPeerSockets = 0.04, kServiceSockets = 0.07, kWorkerSockets = 0.12;
static_assert(kUserSockets + kPeerSockets + kServiceSockets + kWorkerSockets < 0.98);

std::size_t sockets(const protocol::Settings& settings, double share) {
    return static_cast<std::size_t>(settings.maxConnections * share);
}

transport::ServerLimits limits(const protocol::Settings& settings, double share) {
    transport::ServerLimits limits;
    limits.connections = sockets(settings, share);
    return limits;
}

/// Three quarters of the state service's requests are shared out for reads, each followed by this pause.
Duration readSpacing(const protocol::Settings& settings) {
    const double nodes = static_cast<double>(settings.peers.size()) + 1;
    return std::max(Duration(25),
                    Duration(static_cast<int>(1000 * 1.5 * nodes / (settings.stateRps * 0.75))));
}

}  // namespace

Node::Node(asio::io_context& io, const protocol::Settings& settings, const protocol::Policy& policy)
    : io_(io),
      settings_(settings),
      policy_(policy),
      http_(io, sockets(settings, kServiceSockets)),
      workers_(io, sockets(settings, kWorkerSockets)),
      state_(http_, settings.state, settings.stateRps, 0.5, Clock::now()),
      watcher_(
          io, state_, replica_,
          [this](const std::vector<bookkeeping::Change>& changes) {
              JobsChanged jobs;
              for (const auto& change : changes)
                  if (change.kind == bookkeeping::ChangeKind::job) jobs.ids.push_back(change.id);
              if (leader_ && !jobs.ids.empty()) enqueue(Command(std::move(jobs)));
          },
          readSpacing(settings)),
      election_(
          settings, policy, state_, replica_, watcher_, [this](std::uint64_t token) { won(token); },
          [this] { lost(); }),
      userApi_(io, settings, state_, replica_, watcher_),
      peers_(settings, replica_,
             [this](const protocol::Cancellation& told) { watcher_.noteCancelled(told.job, told.version); }),
      relay_(settings, http_, replica_, peers_),
      ticker_(io),
      users_(io, transport::parseEndpoint(settings.listen), limits(settings, kUserSockets),
             [this](Request&& request, Reply reply) {
                 enqueue(Call{std::move(request), std::move(reply), false});
             }),
      peerServer_(io, transport::parseEndpoint(settings.peerListen), limits(settings, kPeerSockets),
                  [this](Request&& request, Reply reply) {
                      enqueue(Call{std::move(request), std::move(reply), true});
                  }) {
    watcher_.start();
    tick();
}

// --- the queue --------------------------------------------------------------------------------------------

void Node::enqueue(Queued command) {
    queue_.push_back(std::move(command));
    if (draining_) return;
    draining_ = true;
    asio::post(io_, [this] { drain(); });
}

void Node::drain() {
    auto batch = std::exchange(queue_, {});
    draining_ = false;
    for (auto& command : batch) {
        if (auto* call = std::get_if<Call>(&command))
            call->fromPeer ? servePeer(*call) : serve(*call);
        else
            lead(std::move(std::get<Command>(command)));
    }
}

void Node::tick() {
    const auto now = Clock::now();
    election_.tick(now);
    if (leader_ && election_.valid(now)) lead(Tick{});
    // A leader must know what is cancelled.
    const bool old = leader_ && now - watcher_.asOf() > 400ms;
    if (now >= nextHeartbeat_ && (old || now - state_.lastAnswer() > 800ms)) {
        nextHeartbeat_ = now + (leader_ ? 400ms : 800ms);
        watcher_.fresh([](bool) {});
    }
    // Refused by the state service alone, this node cannot lead for long: better that a peer does it at once.
    if (leader_ && refusedAlone(now)) {
        spdlog::info("the state service answers others and not this node: resigning");
        election_.resign(now, true);
        nextPeers_ = now;
    }
    readiness_.update(able(now), now);
    talkToPeers(now);
    if (now >= nextClean_) {
        nextClean_ = now + 5s;
        http_.closeIdle(20s);
        workers_.closeIdle(20s);
        relay_.forgetOld(now);
    }
    ticker_.expires_after(kTick);
    ticker_.async_wait([this](auto error) {
        if (!error) tick();
    });
}

// --- requests ---------------------------------------------------------------------------------------------

void Node::serve(Call& call) {
    const Request& request = call.request;
    if (request.oversize) return call.reply(respond(413, protocol::errorReply("more than 64 KiB")));
    if (request.path == paths::kReady) {
        if (request.method != "GET") return call.reply(wrongMethod("GET"));
        return call.reply(respond(readiness_.ready() ? 200 : 503));
    }
    if (request.path == paths::kReport) return serveReport(call);
    if (!userApi_.handle(request, call.reply)) call.reply(respond(404, protocol::errorReply("no such path")));
}

void Node::serveReport(Call& call) {
    if (call.request.method != "POST") return call.reply(wrongMethod("POST"));
    if (!election_.valid(Clock::now()) || !leader_) {
        const auto origin = call.fromPeer ? ReportOrigin::peer : ReportOrigin::worker;
        UnansweredReport report{std::move(call.request.body), origin, std::move(call.reply)};
        return relay_.answer(std::move(report), election_.leading(), Clock::now());
    }
    ReportArrived command;
    try {
        command.report = protocol::decodeReport(call.request.body);
    } catch (const Malformed& error) {
        spdlog::error("malformed report: {}", error.what());
        return call.reply(respond(400, protocol::errorReply(error.what())));
    }
    command.request = ++requests_;
    command.cancellationsCurrent = election_.cancellationsCurrent(Clock::now());
    reports_[command.request] = std::move(call.reply);
    lead(std::move(command));
}

// --- peers ------------------------------------------------------------------------------------------------

protocol::PeerStatus Node::ownStatus(Time now) const {
    protocol::PeerStatus status;
    status.node = settings_.name;
    status.resignedToken = election_.resignedToken();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - state_.lastAnswer());
    status.stateAgeMs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count()));
    if (replica_.leader && peers_.inTouch(replica_.leader->node, now))
        status.leaderToken = replica_.leader->token;
    if (leader_ && election_.valid(now)) {
        status.token = status.leaderToken = leader_->token();
        status.running = leader_->runningCounts();
    }
    return status;
}

void Node::talkToPeers(Time now) {
    if (now < nextPeers_) return;
    nextPeers_ = now + 1s;
    auto status = ownStatus(now);
    if (leader_) userApi_.setRunning(leader_->runningCounts());
    for (const auto& peer : settings_.peers) {
        if (leader_) peers_.describeKnownState(peer.name, status);
        http_.request(peer.address, "POST", paths::kPeer, protocol::encodePeerStatus(status), kPeerTimeout,
                      [this, round = leaderRound_, name = peer.name, sent = now](Outcome outcome) {
                          if (!outcome.ok()) return;
                          try {
                              const auto answer = protocol::decodePeerStatus(outcome.body);
                              if (answer.node != name) return;
                              notePeerStatus(answer, Clock::now());
                              if (peers_.applyCancellations(answer)) nextPeers_ = Clock::now();
                              // A promise of a peer that has more to tell would carry this leader on while
                              // tasks go on that users were told are cancelled.
                              if (leader_ && round == leaderRound_ && answer.complete)
                                  election_.noteGrant(
                                      name, Duration(std::min<std::uint64_t>(answer.grantMs, 60'000)), sent);
                          } catch (const Malformed& error) {
                              spdlog::error("malformed answer of a peer: {}", error.what());
                          }
                      });
    }
}

void Node::servePeer(Call& call) {
    if (call.request.oversize) return call.reply(respond(413));
    if (call.request.path == paths::kRelay) return serveReport(call);
    if (call.request.path != paths::kPeer) return call.reply(respond(404));
    if (call.request.method != "POST") return call.reply(respond(405));
    try {
        const auto now = Clock::now();
        const auto asking = protocol::decodePeerStatus(call.request.body);
        notePeerStatus(asking, now);
        auto status = ownStatus(now);
        status.running.clear();
        if (asking.token > 0) {
            peers_.appendCancellations(asking, status);
            if (status.complete)
                status.grantMs = static_cast<std::uint64_t>(
                    election_.grantExtension(asking.node, asking.token, now).count());
        }
        call.reply(respond(200, protocol::encodePeerStatus(status)));
    } catch (const Malformed& error) {
        call.reply(respond(400, protocol::errorReply(error.what())));
    }
}

void Node::notePeerStatus(const protocol::PeerStatus& status, Time now) {
    if (!peers_.noteStatus(status, now)) return;
    election_.noteResignation(status.resignedToken);
    if (!status.running.empty() && status.token >= replica_.token) userApi_.setRunning(status.running);
}

bool Node::able(Time now) const { return watcher_.synced() && !replica_.types.empty() && !refusedAlone(now); }

bool Node::refusedAlone(Time now) const { return peers_.refusedAlone(state_.lastAnswer(), now); }

// --- leading ----------------------------------------------------------------------------------------------

void Node::won(std::uint64_t token) {
    ++leaderRound_;
    leader_ =
        std::make_unique<Leader>(settings_, policy_, replica_, token, Clock::now(), transport::timeOfDayMs());
    lead(Tick{});
}

void Node::lost() {
    spdlog::info("no longer leading");
    ++leaderRound_;
    leader_.reset();
    for (auto& [request, reply] : std::exchange(reports_, {})) reply(respond(503));
}

void Node::lead(Command command) {
    if (!leader_) return;
    for (auto& action : leader_->handle(std::move(command), Clock::now())) {
        if (!leader_) return;  // it resigned
        perform(action);
    }
}

void Node::perform(Action& action) {
    std::visit([this](auto& a) { perform(a); }, action);
}

void Node::perform(AnswerReport& action) {
    const auto found = reports_.find(action.request);
    if (found == reports_.end()) return;
    const auto reply = std::move(found->second);
    reports_.erase(found);
    if (!action.accepted || !election_.valid(Clock::now())) return reply(respond(503));
    reply(respond(200, protocol::encodeReportReply(leader_->token(), action.orders)));
}

void Node::perform(SendOrders& action) {
    if (!election_.valid(Clock::now()))
        return enqueue(Command(WorkerAnswered{action.machine, std::nullopt, action.known}));
    workers_.request(
        action.address, "POST", paths::kOrders,
        protocol::encodeDirectOrders(leader_->token(), action.session, action.orders), kOrdersTimeout,
        [this, round = leaderRound_, machine = action.machine, known = action.known](Outcome outcome) {
            if (round != leaderRound_) return;
            WorkerAnswered answered{machine, std::nullopt, known};
            try {
                if (outcome.status == 200 || outcome.status == 409)
                    answered.report = protocol::decodeReport(outcome.body);
            } catch (const Malformed& error) {
                spdlog::error("malformed answer of {}: {}", machine, error.what());
            }
            enqueue(Command(std::move(answered)));
        });
}

void Node::perform(WriteState& action) {
    state_.transact(action.conditions, action.writes, kWriteTimeout,
                    [this, round = leaderRound_](const TxnResult& result) {
                        if (round == leaderRound_) enqueue(Command(StateWritten{result}));
                    });
}

void Node::perform(RefreshReplica&) {
    watcher_.fresh([this, round = leaderRound_](bool ok) {
        if (round == leaderRound_) enqueue(Command(ReplicaRefreshed{ok}));
    });
}

void Node::perform(Rent& action) {
    // Renting and deleting are a leader's business as much as commands are.
    if (!election_.valid(Clock::now())) {
        RentalAnswered unknown;
        unknown.name = action.request.name;
        return enqueue(Command(std::move(unknown)));
    }
    http_.request(settings_.cloud, "POST", paths::kRentals, protocol::encodeRental(action.request),
                  kCloudTimeout, [this, round = leaderRound_, name = action.request.name](Outcome outcome) {
                      if (round != leaderRound_) return;
                      RentalAnswered answered;
                      answered.name = name;
                      answered.malformed = outcome.status == 400;
                      try {
                          if (outcome.ok()) {
                              answered.machines = protocol::decodeRentalReply(outcome.body);
                              answered.rented = true;
                          }
                      } catch (const Malformed& error) {
                          spdlog::error("malformed answer of the cloud: {}", error.what());
                      }
                      answered.noCapacity = outcome.status == 503 && protocol::saysNoCapacity(outcome.body);
                      enqueue(Command(std::move(answered)));
                  });
}

void Node::perform(Release& action) {
    if (!election_.valid(Clock::now())) return enqueue(Command(ReleaseAnswered{action.machines, false}));
    http_.request(settings_.cloud, "POST", paths::kRelease, protocol::encodeRelease(action.machines),
                  kCloudTimeout, [this, round = leaderRound_, machines = action.machines](Outcome outcome) {
                      if (round == leaderRound_) enqueue(Command(ReleaseAnswered{machines, outcome.ok()}));
                  });
}

void Node::perform(ListMachines&) {
    auto listed = std::make_shared<MachinesListed>();
    listed->asked = Clock::now();
    listPage("", std::move(listed));
}

void Node::listPage(const std::string& after, std::shared_ptr<MachinesListed> listed) {
    http_.request(settings_.cloud, "GET", paths::rentedPage(after, kPageMachines), "", kCloudTimeout,
                  [this, round = leaderRound_, listed](Outcome outcome) {
                      if (round != leaderRound_) return;
                      try {
                          if (outcome.ok()) {
                              auto page = protocol::decodeRentedPage(outcome.body);
                              std::move(page.machines.begin(), page.machines.end(),
                                        std::back_inserter(listed->machines));
                              if (page.more && !listed->machines.empty())
                                  return listPage(listed->machines.back().id, listed);
                              listed->ok = true;
                          }
                      } catch (const Malformed& error) {
                          spdlog::error("malformed list of machines: {}", error.what());
                      }
                      enqueue(Command(std::move(*listed)));
                  });
}

void Node::perform(ListTypes&) {
    http_.request(settings_.cloud, "GET", paths::kTypes, "", kCloudTimeout,
                  [this, round = leaderRound_](Outcome outcome) {
                      if (round != leaderRound_ || !outcome.ok()) return;
                      try {
                          const auto handle = protocol::unpackBody(outcome.body);
                          enqueue(Command(TypesListed{protocol::decodeMachineTypes(handle.get())}));
                      } catch (const Malformed& error) {
                          spdlog::error("malformed list of machine types: {}", error.what());
                      }
                  });
}

void Node::perform(Resign& action) {
    spdlog::info("resigning: {}", action.why);
    election_.resign(Clock::now(), action.deferToPeers);
}

}  // namespace burlpoint::coordination
