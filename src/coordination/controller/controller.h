#pragma once

// The controller process. Controller owns the components of the process and connects them; decisions and
// state belong to the components. All code runs on the event loop's thread.

#include <cstdint>
#include <vector>

#include "bookkeeping/state_replica.h"
#include "coordination/api/readiness.h"
#include "coordination/api/user_api.h"
#include "coordination/controller/action_executor.h"
#include "coordination/controller/event_queue.h"
#include "coordination/controller/heartbeat_endpoint.h"
#include "coordination/controller/heartbeat_forwarder.h"
#include "coordination/controller/leader_runner.h"
#include "coordination/controller/peer_messenger.h"
#include "coordination/controller/periodic_tasks.h"
#include "coordination/controller/request_router.h"
#include "coordination/leadership/election.h"
#include "coordination/leadership/overload_monitor.h"
#include "coordination/leadership/peer_exchange.h"
#include "coordination/state/state_watcher.h"
#include "protocol/policy.h"
#include "protocol/settings.h"
#include "storage/key_value_client.h"
#include "transport/executor.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace burlpoint::coordination {

class Controller {
  public:
    /// Opens the listening sockets and starts the components; all further work is done while `io` runs.
    /// `settings` and `policy` must outlive the controller. Throws if a listen address in the settings is
    /// malformed or in use.
    Controller(asio::io_context& io, const protocol::Settings& settings, const protocol::Policy& policy);

  private:
    void handle(ControllerEvent& event);
    void leadershipGained(std::uint64_t fencingToken);
    void leadershipLost();
    void replicaChanged(const std::vector<bookkeeping::ReplicaChange>& changes);

    transport::HttpClient http_;  // for requests to the key-value store, the cloud provider and peers
    storage::KeyValueClient store_;
    bookkeeping::StateReplica replica_;
    StateWatcher watcher_;
    Election election_;
    UserApi userApi_;
    PeerExchange peerExchange_;
    HeartbeatForwarder forwarder_;
    ActionExecutor executor_;
    LeaderRunner leader_;
    Readiness readiness_;
    OverloadMonitor overload_;
    EventQueue events_;
    PeerMessenger peers_;
    HeartbeatEndpoint heartbeats_;
    RequestRouter router_;
    PeriodicTasks periodicTasks_;
    transport::HttpServer clientServer_;
    transport::HttpServer peerServer_;
};

}  // namespace burlpoint::coordination
