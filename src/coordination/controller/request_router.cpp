#include "coordination/controller/request_router.h"

#include <utility>

#include "protocol/responses.h"

namespace burlpoint::coordination {

namespace paths = protocol::paths;

RequestRouter::RequestRouter(const Readiness& readiness, UserApi& userApi, HeartbeatEndpoint& heartbeats,
                             PeerMessenger& peers)
    : readiness_(readiness), userApi_(userApi), heartbeats_(heartbeats), peers_(peers) {}

void RequestRouter::serve(IncomingRequest& incoming) {
    switch (incoming.listener) {
        case Listener::clients:
            return serveClient(incoming);
        case Listener::peers:
            return servePeer(incoming);
    }
}

void RequestRouter::serveClient(IncomingRequest& incoming) {
    auto& [request, reply, listener] = incoming;
    if (request.tooLarge)
        return reply(protocol::makeResponse(413, protocol::encodeErrorReply("more than 64 KiB")));
    if (request.path == paths::kReady) return serveReadiness(incoming);
    if (request.path == paths::kHeartbeat)
        return heartbeats_.serve(std::move(request), std::move(reply), HeartbeatOrigin::worker);
    if (!userApi_.handle(request, reply))
        reply(protocol::makeResponse(404, protocol::encodeErrorReply("no such path")));
}

void RequestRouter::serveReadiness(const IncomingRequest& incoming) const {
    if (incoming.request.method != "GET")
        return incoming.reply(protocol::makeMethodNotAllowedResponse("GET"));
    incoming.reply(protocol::makeResponse(readiness_.ready() ? 200 : 503));
}

void RequestRouter::servePeer(IncomingRequest& incoming) {
    auto& [request, reply, listener] = incoming;
    if (request.tooLarge) return reply(protocol::makeResponse(413));
    if (request.path == paths::kRelay)
        return heartbeats_.serve(std::move(request), std::move(reply), HeartbeatOrigin::peer);
    if (request.path != paths::kPeer) return reply(protocol::makeResponse(404));
    peers_.serve(request, reply);
}

}  // namespace burlpoint::coordination
