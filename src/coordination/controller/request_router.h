#pragma once

// Routes requests by listener and path to what serves them: the load balancer's readiness check, heartbeats,
// the users' interface and the exchange with peers. Owns nothing. Used on the event loop's thread only.

#include "coordination/api/readiness.h"
#include "coordination/api/user_api.h"
#include "coordination/controller/event_queue.h"
#include "coordination/controller/heartbeat_endpoint.h"
#include "coordination/controller/peer_messenger.h"

namespace burlpoint::coordination {

class RequestRouter {
  public:
    /// All are kept by reference and have to outlive this.
    RequestRouter(const Readiness& readiness, UserApi& userApi, HeartbeatEndpoint& heartbeats,
                  PeerMessenger& peers);

    /// Answers the request or hands its reply on, by which it is answered exactly once.
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
