#include "coordination/controller/peer_messenger.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "protocol/errors.h"
#include "protocol/job_messages.h"
#include "protocol/responses.h"

namespace burlpoint::coordination {

using protocol::MalformedMessage;
using protocol::PeerStatus;
using transport::HttpResult;
using namespace std::chrono_literals;

namespace {

constexpr auto kExchangeInterval = 1s;
constexpr auto kResponseTimeout = 900ms;      // below the interval, so that exchanges do not overlap
constexpr std::uint64_t kMaxVoteMs = 60'000;  // limits the received value, so that sums cannot overflow

}  // namespace

PeerMessenger::PeerMessenger(const PeerMessengerContext& context) : context_(context) {}

bool PeerMessenger::onlyThisControllerRefused(Time now) const {
    return context_.peers.isolatedFromStore(context_.store.lastAnswerAt(), now);
}

bool PeerMessenger::hasRecentPeerStatus(Time now) const {
    const auto& peers = context_.settings.peers;
    return std::any_of(peers.begin(), peers.end(),
                       [&](const auto& peer) { return context_.peers.hasRecentStatus(peer.name, now); });
}

PeerStatus PeerMessenger::ownStatus(Time now) const {
    PeerStatus status;
    status.node = context_.settings.name;
    status.resignedToken = context_.election.resignedToken();
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - context_.store.lastAnswerAt());
    status.stateAgeMs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count()));
    const auto known = context_.peers.knownLeader(now);
    if (known && context_.peers.hasRecentStatus(known->node, now)) status.leaderToken = known->fencingToken;
    if (const auto* leader = context_.leader.leader(); leader && context_.election.valid(now)) {
        status.fencingToken = status.leaderToken = leader->fencingToken();
        status.running = leader->runningCounts();
    }
    return status;
}

void PeerMessenger::exchangeIfDue(Time now) {
    if (now < nextExchange_) return;
    nextExchange_ = now + kExchangeInterval;
    auto status = ownStatus(now);
    const auto* leader = context_.leader.leader();
    if (leader) context_.userApi.setRunning(leader->runningCounts());
    for (const auto& peer : context_.settings.peers) {
        if (leader) context_.peers.describeKnownState(peer.name, status);
        const SentStatus sent{peer.name, now, context_.leader.epoch()};
        context_.http.request(peer.address, "POST", protocol::paths::kPeer,
                              protocol::encodePeerStatus(status), kResponseTimeout,
                              [this, sent](const HttpResult& result) {
                                  if (result.ok()) handleAnswer(sent, result.body);
                              });
    }
}

void PeerMessenger::handleAnswer(const SentStatus& sent, const std::string& body) {
    try {
        const auto answer = protocol::decodePeerStatus(body);
        if (answer.node != sent.peer) return;
        recordStatus(answer, Clock::now());
        if (context_.peers.applyCancellations(answer)) scheduleExchange(Clock::now());
        // A vote in an incomplete response is ignored: it would extend this leadership while tasks keep
        // running whose cancellation the peer has confirmed to users and not yet reported here.
        if (!context_.leader.leader() || sent.epoch != context_.leader.epoch() || !answer.complete) return;
        const Duration voteDuration(std::min(answer.voteMs, kMaxVoteMs));
        context_.election.recordVote(sent.peer, voteDuration, sent.sentAt);
    } catch (const MalformedMessage& error) {
        spdlog::error("malformed peer response peer={} error={}", sent.peer, error.what());
    }
}

void PeerMessenger::serve(const transport::Request& request, const transport::Reply& reply) {
    if (request.method != "POST") return reply(protocol::makeResponse(405));
    try {
        const auto query = protocol::decodePeerStatus(request.body);
        const auto answer = answerTo(query, Clock::now());
        reply(protocol::makeResponse(200, protocol::encodePeerStatus(answer)));
    } catch (const MalformedMessage& error) {
        reply(protocol::makeResponse(400, protocol::encodeErrorReply(error.what())));
    }
}

PeerStatus PeerMessenger::answerTo(const PeerStatus& query, Time now) {
    recordStatus(query, now);
    auto answer = ownStatus(now);
    answer.running.clear();  // only the messages that a leader sends itself carry these counts
    if (query.fencingToken == 0) return answer;
    context_.peers.appendCancellations(query, answer);
    if (answer.complete) answer.voteMs = voteFor(query, now);
    return answer;
}

std::uint64_t PeerMessenger::voteFor(const PeerStatus& query, Time now) {
    const auto voteDuration = context_.election.voteForExtension(query.node, query.fencingToken, now);
    return static_cast<std::uint64_t>(voteDuration.count());
}

void PeerMessenger::recordStatus(const PeerStatus& status, Time now) {
    if (!context_.peers.recordStatus(status, now)) return;
    context_.election.recordResignation(status.resignedToken);
    if (!status.running.empty() && status.fencingToken >= context_.replica.fencingToken)
        context_.userApi.setRunning(status.running);
}

}  // namespace burlpoint::coordination
