#pragma once

// Serves heartbeats, both those that workers send to this controller and those that a peer forwards: the
// leader answers them while it is entitled to act, and otherwise the forwarder does. Owns nothing. Used on
// the event loop's thread only.

#include "coordination/controller/heartbeat_forwarder.h"
#include "coordination/controller/leader_runner.h"
#include "coordination/leadership/election.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

class HeartbeatEndpoint {
  public:
    /// All are kept by reference and have to outlive this.
    HeartbeatEndpoint(const Election& election, LeaderRunner& leader, HeartbeatForwarder& forwarder);

    /// Answers the request by `reply`, called exactly once, perhaps later.
    void serve(transport::Request request, transport::Reply reply, HeartbeatOrigin origin);

  private:
    const Election& election_;
    LeaderRunner& leader_;
    HeartbeatForwarder& forwarder_;
};

}  // namespace burlpoint::coordination
