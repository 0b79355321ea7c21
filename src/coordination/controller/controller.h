#pragma once

// One controller process. Controller owns the parts that a process consists of and connects them; what each
// part decides or remembers is its own. Everything runs on one thread, that of the event loop.

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
    /// Listens and starts; everything else happens as `io` runs. `settings` and `policy` must outlive the
    /// controller. Throws if an address in the settings is malformed or in use.
    Controller(asio::io_context& io, const protocol::Settings& settings, const protocol::Policy& policy);

  private:
    void handle(ControllerEvent& event);
    void leadershipGained(std::uint64_t fencingToken);
    void leadershipLost();
    void replicaChanged(const std::vector<bookkeeping::Change>& changes);

    transport::HttpClient http_;  // to the key-value store, the cloud and peers
    storage::KeyValueClient state_;
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
