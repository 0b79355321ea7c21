#pragma once

// The periodic work of a controller, run ten times a second: election steps, ticks of the leader, reads that
// keep the replica up to date, the exchange with peers, and the checks for reasons to resign. Owns the timer
// and the due times of the tasks. Used on the event loop's thread only.

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

/// The state that the periodic tasks read and change.
struct PeriodicTasksContext {
    const storage::KeyValueClient& store;
    const bookkeeping::StateReplica& replica;
    StateWatcher& watcher;
    Election& election;
    LeaderRunner& leader;
    PeerMessenger& peers;
    Readiness& readiness;
    OverloadMonitor& overload;
    // Components whose idle connections or obsolete entries are dropped periodically.
    transport::HttpClient& http;
    ActionExecutor& executor;
    HeartbeatForwarder& forwarder;
};

class PeriodicTasks {
  public:
    /// All objects that the context refers to must outlive this object.
    PeriodicTasks(asio::io_context& io, const PeriodicTasksContext& context);

    /// Runs the tasks immediately, and then on every expiry of the timer for the lifetime of this object.
    void start() { tick(); }

  private:
    void tick();
    /// Reads from the key-value store if its last response, or the replica of a leader, is too old.
    void keepReplicaFresh(Time now);
    void resignIfOnlyThisControllerRefused(Time now);
    void resignIfOverloaded(Time now);
    void resign(ResignationReason reason, Time now);
    void updateReadiness(Time now);
    void cleanUp(Time now);

    const PeriodicTasksContext context_;
    transport::Timer timer_;
    Time nextTick_{};
    Time nextRead_{};  // earliest time of the next read by `keepReplicaFresh`
    Time nextCleanUp_{};
};

}  // namespace burlpoint::coordination
