#pragma once

// Handles heartbeats that this controller may not answer as the leader: redirects the worker to the leader,
// or forwards the heartbeat to the leader and returns the leader's response. Owns the per-worker history on
// which that choice is based, and the number of heartbeats being forwarded. Used on the event loop's thread
// only.

#include <cstddef>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "coordination/leadership/peer_exchange.h"
#include "protocol/settings.h"
#include "transport/http_client.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// Decides whether a follower forwards a worker's heartbeat or redirects the worker to the leader. The first
/// heartbeat is forwarded, as the worker's lease may expire soon; on the second the worker is redirected. A
/// worker that returns within 9 s of a redirect cannot reach the leader, whereas this controller can, so its
/// heartbeats are forwarded for 30 s before it is redirected again.
class ForwardDecider {
  public:
    enum class Decision { forward, redirect };

    /// Decides about the worker's next heartbeat, which was received at `now`.
    Decision decide(Time now);

    /// True if the last heartbeat is at least 9 s old and no forwarding period is in progress. The worker's
    /// history then no longer affects a decision.
    bool isObsolete(Time now) const;

  private:
    Time lastHeartbeat_{};
    Time forwardUntil_{};     // until then, heartbeats are forwarded and the worker is not redirected
    int heartbeatCount_ = 0;  // heartbeats since the start of the history; reset to 1 by a forwarding period
};

/// The sender of a heartbeat request: the worker itself, or a peer that forwards it.
enum class HeartbeatOrigin { worker, peer };

/// A heartbeat request that this controller may not answer as the leader.
struct PendingHeartbeat {
    std::string body;  // the request body as received
    HeartbeatOrigin origin = HeartbeatOrigin::worker;
    transport::Reply reply;  // called exactly once, possibly after `HeartbeatForwarder::answer` returns
};

/// The role of this controller. A controller with the role `leader` passes heartbeats to the forwarder only
/// while its leader lease is not valid.
enum class LocalRole { follower, leader };

/// Answers heartbeats while this controller may not act as the leader.
class HeartbeatForwarder {
  public:
    /// The references must outlive this object. `http` carries forwarded heartbeats to the leader, at most
    /// `maxForwards` at a time; beyond that limit, workers are redirected to the leader at once.
    HeartbeatForwarder(const protocol::Settings& settings, transport::HttpClient& http,
                       const PeerExchange& peers, std::size_t maxForwards);

    /// Answers with the leader's response (200), with a redirect to the named controller (421), or with an
    /// error if the heartbeat is malformed (400). The name in a redirect is empty if no suitable controller
    /// is known, and always for the role `LocalRole::leader` and for heartbeats forwarded by a peer. A
    /// heartbeat is forwarded at most once.
    void answer(PendingHeartbeat heartbeat, LocalRole role, Time now);

    /// Drops the history of the workers for which `ForwardDecider::isObsolete` is true.
    void dropObsolete(Time now);

  private:
    void forward(PendingHeartbeat heartbeat, const std::string& leader);

    const protocol::Settings& settings_;
    transport::HttpClient& http_;
    const PeerExchange& peers_;
    const std::size_t maxForwards_;
    std::size_t forwarding_ = 0;  // forwarded heartbeats that the leader has not answered yet
    std::unordered_map<std::string, ForwardDecider> deciders_;  // by machine id
};

}  // namespace burlpoint::coordination
