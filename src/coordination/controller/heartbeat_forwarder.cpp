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

constexpr auto kRelayMemory = 9s;       // a worker back within this did not get through to the leader
constexpr auto kRelayFor = 30s;         // then it is sent to the leader again, to see
constexpr auto kRelayTimeout = 2500ms;  // the worker waits for 4 s

/// Sends a worker to the node of that name; to none in particular if it is empty.
Response elsewhere(const std::string& node) { return protocol::respond(421, protocol::encodeRedirect(node)); }

}  // namespace

bool ForwardDecider::over(Time now) const { return now >= until_ && now - at_ >= kRelayMemory; }

bool ForwardDecider::shouldRelay(Time now) {
    if (over(now)) *this = {};
    at_ = now;
    if (now < until_) return true;
    switch (contacts_++) {
        case 0:
            return true;
        case 1:
            return false;
        default:
            until_ = now + kRelayFor;
            contacts_ = 1;
            return true;
    }
}

HeartbeatForwarder::HeartbeatForwarder(const protocol::Settings& settings, transport::HttpClient& http,
                                       const PeerExchange& peers, std::size_t maxRelays)
    : settings_(settings), http_(http), peers_(peers), maxRelays_(maxRelays) {}

void HeartbeatForwarder::answer(PendingHeartbeat heartbeat, bool leading, Time now) {
    const auto known = peers_.knownLeader(now);
    if (leading || heartbeat.origin == HeartbeatOrigin::peer || !known) return heartbeat.reply(elsewhere(""));
    // A leader not heard of for a while may be gone; naming it would send the worker into a time-out.
    const auto& leader = known->node;
    if (!peers_.inTouch(leader, now)) return heartbeat.reply(elsewhere(peers_.peerInTouchWithLeader(now)));
    std::string machine;
    try {
        machine = protocol::decodeHeartbeat(heartbeat.body).machine;
    } catch (const protocol::MalformedMessage& error) {
        return heartbeat.reply(protocol::respond(400, protocol::errorReply(error.what())));
    }
    // Seen on a simulated day: after a take-over hundreds of workers came at once, their relays found no free
    // socket and failed, and each worker lost a second with every node, until its lease was over.
    if (relaying_ >= maxRelays_) return heartbeat.reply(elsewhere(leader));
    if (!deciders_[machine].shouldRelay(now)) return heartbeat.reply(elsewhere(leader));
    passOn(std::move(heartbeat), leader);
}

void HeartbeatForwarder::passOn(PendingHeartbeat heartbeat, const std::string& leader) {
    const auto peer = std::find_if(settings_.peers.begin(), settings_.peers.end(),
                                   [&](const auto& p) { return p.name == leader; });
    if (peer == settings_.peers.end()) return heartbeat.reply(elsewhere(""));
    ++relaying_;
    http_.request(peer->address, "POST", protocol::paths::kRelay, heartbeat.body, kRelayTimeout,
                  [this, reply = std::move(heartbeat.reply)](HttpResult outcome) {
                      --relaying_;
                      if (outcome.status == 200)
                          return reply(protocol::respond(200, std::move(outcome.body)));
                      reply(elsewhere(""));
                  });
}

void HeartbeatForwarder::forgetOld(Time now) {
    std::erase_if(deciders_, [&](const auto& entry) { return entry.second.over(now); });
}

}  // namespace burlpoint::coordination
