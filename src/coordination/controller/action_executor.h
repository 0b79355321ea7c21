#pragma once

// Executes the leader's actions: responses to heartbeats, direct commands to workers, reads and writes of the
// key-value store, and requests to the cloud provider. Owns the heartbeat requests that await a response, the
// connections to workers, and the leadership epoch, by which outcomes of actions of an earlier leadership are
// recognized. Used on the event loop's thread only.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "coordination/controller/leader_actions.h"
#include "coordination/controller/leader_events.h"
#include "coordination/leadership/election.h"
#include "coordination/state/state_watcher.h"
#include "protocol/settings.h"
#include "storage/key_value_client.h"
#include "transport/executor.h"
#include "transport/http_client.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// Executes a leader's actions and delivers their outcomes as events to the same leader. Outcomes that arrive
/// after that leadership has ended are dropped.
class ActionExecutor {
  public:
    /// Receives an event for the leader. Never called from within `begin` or `end`.
    using Deliver = std::function<void(LeaderEvent)>;

    /// The services that actions use. They are shared with the rest of the controller and must outlive the
    /// executor.
    struct Services {
        transport::HttpClient& http;  // for requests to the cloud provider
        storage::KeyValueClient& store;
        StateWatcher& watcher;
        Election& election;
    };

    /// `workerSockets` is the maximum number of concurrent connections to workers. These connections have a
    /// pool of their own, so that unreachable machines cannot exhaust the connections to the services.
    ActionExecutor(asio::io_context& io, const protocol::Settings& settings, std::size_t workerSockets,
                   Services services, Deliver deliver);

    /// Starts a leadership of this controller. Its commands and heartbeat responses carry `fencingToken`.
    void begin(std::uint64_t fencingToken);

    /// Ends the leadership. Heartbeats that await a response are answered with 503.
    void end();

    /// A number that increases whenever a leadership begins or ends. An outcome that belongs to an earlier
    /// leadership is recognized by its different epoch.
    std::uint64_t epoch() const { return epoch_; }

    /// Stores the reply callback of a heartbeat until the leader's `AnswerHeartbeat`, or until the leadership
    /// ends. Returns the request number of the heartbeat, which is unique within this process.
    std::uint64_t addPendingHeartbeat(transport::Reply reply);

    /// Executes an action of the current leader. May be called only between `begin` and `end`. Heartbeat
    /// responses, commands, scale-out and scale-in need a leader lease that is valid at this moment. Without
    /// one, a heartbeat is answered with 503, and for the other three an event with an unknown outcome is
    /// delivered before the call returns. A resignation calls `end` through the election.
    void perform(Action& action);

    /// Closes connections to workers that have been idle for `age`.
    void closeIdle(Duration age) { workers_.closeIdle(age); }

  private:
    void execute(AnswerHeartbeat& action);
    void execute(SendCommands& action);
    void execute(WriteState& action);
    void execute(RefreshReplica& action);
    void execute(ScaleOut& action);
    void execute(ScaleIn& action);
    void execute(ListMachines& action);
    void execute(ListTypes& action);
    void execute(Resign& action);

    /// Requests the page of the cloud's machine list that follows the machine `after`, then all later pages.
    void requestPage(const std::string& after, const std::shared_ptr<MachinesListed>& listed);
    /// Appends a page to `listed`. If the page could not be read, `listed` is delivered as incomplete.
    void handlePage(const transport::HttpResult& result, const std::shared_ptr<MachinesListed>& listed);

    /// True if this controller may act as the leader at this moment.
    bool mayActAsLeader() const;
    /// Wraps `handle` in a callback that does nothing once the current leadership has ended.
    template <typename Handle>
    auto whileLeading(Handle handle) const;

    const protocol::Settings& settings_;
    transport::HttpClient workers_;
    const Services services_;
    const Deliver deliver_;
    std::uint64_t epoch_ = 0;
    std::uint64_t fencingToken_ = 0;  // of the current leadership; 0 if this controller does not lead
    std::uint64_t lastRequest_ = 0;
    std::unordered_map<std::uint64_t, transport::Reply> pendingHeartbeats_;  // by request number
};

}  // namespace burlpoint::coordination
