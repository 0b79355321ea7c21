#pragma once

// What a controller that may not answer a heartbeat does with it: it redirects the worker to the leader, or
// forwards the heartbeat to the leader and returns the leader's response. Owns what is remembered of each
// worker for that choice, and the count of heartbeats being forwarded. Used on the event loop's thread only.

#include <cstddef>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "coordination/leadership/peer_exchange.h"
#include "protocol/settings.h"
#include "transport/http_client.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// Whether a follower forwards a worker's heartbeats or redirects the worker to the leader. The first
/// heartbeat is forwarded, as the worker's lease may soon expire; at the second the worker is redirected. If
/// it is back soon, it cannot reach the leader although this controller can, which then forwards its
/// heartbeats for a while.
class ForwardDecider {
  public:
    enum class Decision { forward, redirect };

    /// Decides on the worker's next heartbeat, received at `now`.
    Decision decide(Time now);

    /// Has the worker stayed away for so long that its history no longer affects a decision?
    bool isObsolete(Time now) const;

  private:
    Time lastHeartbeat_{};
    Time forwardUntil_{};  // heartbeats are forwarded without asking the worker to try the leader
    int contacts_ = 0;     // heartbeats since the worker was last known to reach the leader
};

/// Who sent a heartbeat to this controller.
enum class HeartbeatOrigin { worker, peer };

/// A heartbeat that this controller may not answer itself.
struct PendingHeartbeat {
    std::string body;  // as received
    HeartbeatOrigin origin = HeartbeatOrigin::worker;
    transport::Reply reply;  // called exactly once, perhaps after the call that took this in
};

/// Whether this controller holds the leadership while it is not entitled to act on it.
enum class LocalRole { follower, leader };

/// Answers heartbeats while this controller is not entitled to answer as the leader.
class HeartbeatForwarder {
  public:
    /// All of these must outlive this. `http` carries forwarded heartbeats to the leader, at most
    /// `maxForwards` at a time; beyond that workers are redirected to the leader at once.
    HeartbeatForwarder(const protocol::Settings& settings, transport::HttpClient& http,
                       const PeerExchange& peers, std::size_t maxForwards);

    /// Answers with the leader's response (200), with the name of the controller to turn to, empty if none is
    /// known (421), or that the heartbeat is malformed (400). A leader that is not entitled names nobody. A
    /// peer's heartbeat is never forwarded again.
    void answer(PendingHeartbeat heartbeat, LocalRole role, Time now);

    /// Drops what is remembered of workers that have stayed away for a while.
    void dropObsolete(Time now);

  private:
    void forward(PendingHeartbeat heartbeat, const std::string& leader);

    const protocol::Settings& settings_;
    transport::HttpClient& http_;
    const PeerExchange& peers_;
    const std::size_t maxForwards_;
    std::size_t forwarding_ = 0;  // heartbeats that the leader has not answered yet
    std::unordered_map<std::string, ForwardDecider> deciders_;  // by machine
};

}  // namespace burlpoint::coordination
