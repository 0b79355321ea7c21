#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "coordination/leadership/peer_exchange.h"
#include "protocol/settings.h"
#include "transport/http_client.h"
#include "transport/http_message.h"

/// What a node that may not answer a heartbeat does with it: it sends the worker to the leader, or gets
/// the leader's answer for it. `HeartbeatForwarder` owns what it remembers of each worker for that choice.
namespace burlpoint::coordination {

/// Whether a follower passes a heartbeat on to the leader or sends the worker there. The first heartbeat
/// is passed on, as the worker's lease may be short by now; with the second the worker is sent to the leader.
/// If it is back soon, a cut lies between the two and not between them and this node, which then stands in
/// for a while.
class ForwardDecider {
  public:
    /// Counts one more report of the worker, at `now`. True: pass it on; false: send the worker to the
    /// leader.
    bool shouldRelay(Time now);
    /// Nothing of it matters any more: a new one would decide the same.
    bool over(Time now) const;

  private:
    Time at_{};         // of the last heartbeat
    Time until_{};      // this node stands in
    int contacts_ = 0;  // reports since the worker was last known to get through to the leader
};

/// Who sent a heartbeat to this node.
enum class HeartbeatOrigin { worker, peer };

/// A heartbeat that this node may not answer itself.
struct PendingHeartbeat {
    std::string body;  // as received
    HeartbeatOrigin origin = HeartbeatOrigin::worker;
    transport::Reply reply;  // called exactly once, perhaps after the call that took this in
};

/// A node's answers to reports while it is not entitled to answer as the leader.
class HeartbeatForwarder {
  public:
    /// All of these must outlive this. `http` carries relayed reports to the leader, `maxRelays` of them at a
    /// time; beyond that workers are sent to the leader at once.
    HeartbeatForwarder(const protocol::Settings& settings, transport::HttpClient& http,
                       const PeerExchange& peers, std::size_t maxRelays);

    /// Answers with what the leader says (200), with the name of the node to turn to, empty if none is known
    /// (421), or that the heartbeat is malformed (400). `leading`: this node is the leader, though not
    /// entitled at present, so it names nobody. A peer's heartbeat is never passed on again.
    void answer(PendingHeartbeat heartbeat, bool leading, Time now);

    /// Drops what is remembered of workers that have not reported here for a while.
    void forgetOld(Time now);

  private:
    void passOn(PendingHeartbeat heartbeat, const std::string& leader);

    const protocol::Settings& settings_;
    transport::HttpClient& http_;
    const PeerExchange& peers_;
    const std::size_t maxRelays_;
    std::size_t relaying_ = 0;  // reports that the leader has not answered yet
    std::unordered_map<std::string, ForwardDecider> deciders_;  // per machine that reported to this follower
};

}  // namespace burlpoint::coordination
