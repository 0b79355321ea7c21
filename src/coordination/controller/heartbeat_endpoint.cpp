#include "coordination/controller/heartbeat_endpoint.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "base/clock.h"
#include "protocol/errors.h"
#include "protocol/responses.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

HeartbeatEndpoint::HeartbeatEndpoint(const Election& election, LeaderRunner& leader,
                                     HeartbeatForwarder& forwarder)
    : election_(election), leader_(leader), forwarder_(forwarder) {}

void HeartbeatEndpoint::serve(transport::Request request, transport::Reply reply, HeartbeatOrigin origin) {
    if (request.method != "POST") return reply(protocol::makeMethodNotAllowedResponse("POST"));
    const auto now = Clock::now();
    if (!election_.valid(now) || !leader_.leader()) {
        const auto role = election_.isLeader() ? LocalRole::leader : LocalRole::follower;
        return forwarder_.answer({std::move(request.body), origin, std::move(reply)}, role, now);
    }
    HeartbeatReceived event;
    try {
        event.heartbeat = protocol::decodeHeartbeat(request.body);
    } catch (const protocol::MalformedMessage& error) {
        spdlog::error("malformed heartbeat error={}", error.what());
        return reply(protocol::makeResponse(400, protocol::encodeErrorReply(error.what())));
    }
    event.cancellationsCurrent = election_.cancellationsCurrent(Clock::now());
    leader_.handleHeartbeat(std::move(event), std::move(reply));
}

}  // namespace burlpoint::coordination
