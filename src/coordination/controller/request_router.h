#pragma once

// Routes requests by listener and path to their handlers: the load balancer's readiness check, heartbeats,
// the user API and the exchange with peers. Owns no state. Used on the event loop's thread only.

#include "coordination/api/readiness.h"
#include "coordination/api/user_api.h"
#include "coordination/controller/event_queue.h"
#include "coordination/controller/heartbeat_endpoint.h"
#include "coordination/controller/peer_messenger.h"

namespace burlpoint::coordination {

class RequestRouter {
  public:
    /// All arguments are kept by reference and must outlive this object.
    RequestRouter(const Readiness& readiness, UserApi& userApi, HeartbeatEndpoint& heartbeats,
                  PeerMessenger& peers);

    /// Answers the request, or passes its reply callback on to the handler. The request is answered exactly
    /// once, possibly after this call returns.
    void serve(IncomingRequest& incoming);

  private:
    void serveClient(IncomingRequest& incoming);
    void servePeer(IncomingRequest& incoming);
    void serveReadiness(const IncomingRequest& incoming) const;

    const Readiness& readiness_;
    UserApi& userApi_;
    HeartbeatEndpoint& heartbeats_;
    PeerMessenger& peers_;
};

}  // namespace burlpoint::coordination
