#pragma once

// Runs this controller's leader while it leads: creates and ends it with the leadership, passes events to it
// and has its actions carried out. Owns the leader. Used on the event loop's thread only.

#include <cstdint>
#include <memory>

#include "bookkeeping/state_replica.h"
#include "coordination/controller/action_executor.h"
#include "coordination/controller/leader.h"
#include "coordination/controller/leader_events.h"
#include "protocol/policy.h"
#include "protocol/settings.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

class LeaderRunner {
  public:
    /// All are kept by reference and have to outlive this.
    LeaderRunner(const protocol::Settings& settings, const protocol::Policy& policy,
                 bookkeeping::StateReplica& replica, ActionExecutor& executor);

    /// This controller has won the leadership, and the replica is fresh: begins to lead with a first tick.
    void begin(std::uint64_t fencingToken);

    /// The leadership has ended. May be called while an event is handled.
    void end();

    /// The leader; null: this controller does not lead. It may still not be entitled to act, see
    /// `Election::valid`.
    const Leader* leader() const { return leader_.get(); }

    /// The number of the present leadership, or of the time since the last one.
    std::uint64_t epoch() const { return executor_.epoch(); }

    /// Passes the event to the leader, if there is one, and carries out what it decides.
    void handle(LeaderEvent event);

    /// Passes a heartbeat to the leader, which must be there; `reply` is called once, when the leader has
    /// answered or the leadership has ended.
    void handleHeartbeat(HeartbeatReceived event, transport::Reply reply);

  private:
    const protocol::Settings& settings_;
    const protocol::Policy& policy_;
    bookkeeping::StateReplica& replica_;
    ActionExecutor& executor_;
    std::unique_ptr<Leader> leader_;
};

}  // namespace burlpoint::coordination
