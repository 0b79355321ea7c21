#pragma once

// What a controller does by the clock, ten times a second: the steps of the election, ticks of the leader,
// reads that keep the replica fresh, the exchange with peers, and resigning when this controller is badly
// placed to lead. Owns the timer and when each task is next due. Used on the event loop's thread only.

#include "base/clock.h"
#include "bookkeeping/state_replica.h"
#include "coordination/api/readiness.h"
#include "coordination/controller/action_executor.h"
#include "coordination/controller/heartbeat_forwarder.h"
#include "coordination/controller/leader_runner.h"
#include "coordination/controller/peer_messenger.h"
#include "coordination/controller/resignation_reason.h"
#include "coordination/leadership/election.h"
#include "coordination/leadership/overload_monitor.h"
#include "coordination/state/state_watcher.h"
#include "storage/key_value_client.h"
#include "transport/executor.h"
#include "transport/http_client.h"

namespace burlpoint::coordination {

/// What the periodic tasks read and change.
struct PeriodicTasksContext {
    const storage::KeyValueClient& state;
    const bookkeeping::StateReplica& replica;
    StateWatcher& watcher;
    Election& election;
    LeaderRunner& leader;
    PeerMessenger& peers;
    Readiness& readiness;
    OverloadMonitor& overload;
    // What has idle connections or obsolete entries to drop.
    transport::HttpClient& http;
    ActionExecutor& executor;
    HeartbeatForwarder& forwarder;
};

class PeriodicTasks {
  public:
    /// All that the context refers to has to outlive this.
    PeriodicTasks(asio::io_context& io, const PeriodicTasksContext& context);

    /// Runs the tasks once, and then by the timer for as long as this exists.
    void start() { tick(); }

  private:
    void tick();
    /// Reads the key-value store if its last answer is too old.
    void keepReplicaFresh(Time now);
    void resignIfOnlyThisControllerRefused(Time now);
    void resignIfOverloaded(Time now);
    void resign(ResignationReason reason, Time now);
    void updateReadiness(Time now);
    void cleanUp(Time now);

    const PeriodicTasksContext context_;
    transport::Timer timer_;
    Time nextTick_{};
    Time nextRead_{};  // no read to keep the replica fresh before
    Time nextCleanUp_{};
};

}  // namespace burlpoint::coordination
