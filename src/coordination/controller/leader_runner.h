#pragma once

// Manages the `Leader` of this controller: creates it when a leadership begins, destroys it when the
// leadership ends, passes events to it and has its actions executed. Owns the leader. Used on the event
// loop's thread only.

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
    /// All arguments are kept by reference and must outlive this object.
    LeaderRunner(const protocol::Settings& settings, const protocol::Policy& policy,
                 bookkeeping::StateReplica& replica, ActionExecutor& executor);

    /// Creates the leader after this controller has won the election, and runs a first tick. The replica must
    /// be up to date.
    void begin(std::uint64_t fencingToken);

    /// Destroys the leader after the leadership has ended. May be called while an event is handled.
    void end();

    /// The leader, or null if this controller does not lead. Only `Election::valid` tells whether the leader
    /// may act at this moment.
    const Leader* leader() const { return leader_.get(); }

    /// A number that increases whenever a leadership begins or ends.
    std::uint64_t epoch() const { return executor_.epoch(); }

    /// Passes the event to the leader, if there is one, and executes the resulting actions.
    void handle(LeaderEvent event);

    /// Passes a heartbeat to the leader, which must exist. `reply` is called exactly once, when the leader
    /// has answered or the leadership has ended.
    void handleHeartbeat(HeartbeatReceived event, transport::Reply reply);

  private:
    const protocol::Settings& settings_;
    const protocol::Policy& policy_;
    bookkeeping::StateReplica& replica_;
    ActionExecutor& executor_;
    std::unique_ptr<Leader> leader_;
};

}  // namespace burlpoint::coordination
