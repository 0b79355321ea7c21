#include "coordination/controller/heartbeat_forwarder.h"

#include <algorithm>

#include "protocol/errors.h"
#include "protocol/job_messages.h"
#include "protocol/peer_messages.h"
#include "protocol/responses.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

using transport::HttpResult;
using transport::Response;
using namespace std::chrono_literals;

namespace {

constexpr auto kReturnWindow = 9s;        // a worker that returns sooner could not reach the leader
constexpr auto kForwardPeriod = 30s;      // afterwards the worker is redirected to the leader again
constexpr auto kForwardTimeout = 2500ms;  // less than the worker's own timeout of 4 s

/// A redirect to the controller of that name. An empty name means any other controller.
Response redirectTo(const std::string& controller) {
    return protocol::makeResponse(421, protocol::encodeRedirect(controller));
}

}  // namespace

bool ForwardDecider::isObsolete(Time now) const {
    return now >= forwardUntil_ && now - lastHeartbeat_ >= kReturnWindow;
}

ForwardDecider::Decision ForwardDecider::decide(Time now) {
    if (isObsolete(now)) *this = {};
    lastHeartbeat_ = now;
    if (now < forwardUntil_) return Decision::forward;
    switch (heartbeatCount_++) {
        case 0:
            return Decision::forward;
        case 1:
            return Decision::redirect;
        default:
            forwardUntil_ = now + kForwardPeriod;
            heartbeatCount_ = 1;
            return Decision::forward;
    }
}

HeartbeatForwarder::HeartbeatForwarder(const protocol::Settings& settings, transport::HttpClient& http,
                                       const PeerExchange& peers, std::size_t maxForwards)
    : settings_(settings), http_(http), peers_(peers), maxForwards_(maxForwards) {}

void HeartbeatForwarder::answer(PendingHeartbeat heartbeat, LocalRole role, Time now) {
    const auto known = peers_.knownLeader(now);
    if (role == LocalRole::leader || heartbeat.origin == HeartbeatOrigin::peer || !known)
        return heartbeat.reply(redirectTo(""));
    // A leader that has sent no status message recently may be down; a worker redirected to it would run into
    // a timeout.
    const auto& leader = known->node;
    if (!peers_.hasRecentStatus(leader, now))
        return heartbeat.reply(redirectTo(peers_.peerWithRecentLeaderStatus(now)));
    std::string machine;
    try {
        machine = protocol::decodeHeartbeat(heartbeat.body).machine;
    } catch (const protocol::MalformedMessage& error) {
        return heartbeat.reply(protocol::makeResponse(400, protocol::encodeErrorReply(error.what())));
    }
    // Without this limit, the heartbeats of hundreds of workers after a failover used up the free sockets.
    // Forwarding then failed, and each worker lost a second with every controller until its lease expired.
    if (forwarding_ >= maxForwards_) return heartbeat.reply(redirectTo(leader));
    if (deciders_[machine].decide(now) == ForwardDecider::Decision::redirect)
        return heartbeat.reply(redirectTo(leader));
    forward(std::move(heartbeat), leader);
}

void HeartbeatForwarder::forward(PendingHeartbeat heartbeat, const std::string& leader) {
    const auto peer = std::find_if(settings_.peers.begin(), settings_.peers.end(),
                                   [&](const auto& p) { return p.name == leader; });
    if (peer == settings_.peers.end()) return heartbeat.reply(redirectTo(""));
    ++forwarding_;
    http_.request(peer->address, "POST", protocol::paths::kRelay, heartbeat.body, kForwardTimeout,
                  [this, reply = std::move(heartbeat.reply)](HttpResult result) {
                      --forwarding_;
                      if (result.status == 200)
                          return reply(protocol::makeResponse(200, std::move(result.body)));
                      reply(redirectTo(""));
                  });
}

void HeartbeatForwarder::dropObsolete(Time now) {
    std::erase_if(deciders_, [&](const auto& entry) { return entry.second.isObsolete(now); });
}

}  // namespace burlpoint::coordination
