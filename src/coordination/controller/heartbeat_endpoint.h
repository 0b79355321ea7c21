#pragma once

// Serves heartbeat requests, sent by workers or forwarded by a peer. The leader answers them if this
// controller leads under a valid leader lease; otherwise they go to the forwarder. Owns no state. Used on the
// event loop's thread only.

#include "coordination/controller/heartbeat_forwarder.h"
#include "coordination/controller/leader_runner.h"
#include "coordination/leadership/election.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

class HeartbeatEndpoint {
  public:
    /// All arguments are kept by reference and must outlive this object.
    HeartbeatEndpoint(const Election& election, LeaderRunner& leader, HeartbeatForwarder& forwarder);

    /// Answers the request through `reply`, which is called exactly once, possibly after this call returns.
    void serve(transport::Request request, transport::Reply reply, HeartbeatOrigin origin);

  private:
    const Election& election_;
    LeaderRunner& leader_;
    HeartbeatForwarder& forwarder_;
};

}  // namespace burlpoint::coordination
