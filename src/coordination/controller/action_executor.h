#pragma once

// Carries out what a leader decides: responses to heartbeats, direct commands to workers, reads and writes of
// the key-value store, and requests to the cloud. Owns the heartbeats that wait for their responses, the
// connections to workers, and the count of leaderships by which outcomes that an earlier one asked for are
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

/// Carries out a leader's actions and delivers their outcomes as events for that same leader. Outcomes that
/// arrive after that leadership has ended are dropped.
class ActionExecutor {
  public:
    /// Takes an event for the leader. Never called from inside `begin` or `end`.
    using Deliver = std::function<void(LeaderEvent)>;

    /// The services that actions go to, shared with the rest of the controller; all must outlive the
    /// executor.
    struct Services {
        transport::HttpClient& http;  // to the cloud
        storage::KeyValueClient& state;
        StateWatcher& watcher;
        Election& election;
    };

    /// `workerSockets`: the most connections open to workers at a time. They are apart from those to the
    /// services, so that unreachable machines do not use these up.
    ActionExecutor(asio::io_context& io, const protocol::Settings& settings, std::size_t workerSockets,
                   Services services, Deliver deliver);

    /// A leadership of this controller begins; its commands and responses carry `fencingToken`.
    void begin(std::uint64_t fencingToken);

    /// The leadership has ended: heartbeats that wait for a response get 503.
    void end();

    /// The number of the present leadership, or of the time since the last one. It changes whenever one
    /// begins or ends, so that outcomes of an earlier one can be recognized.
    std::uint64_t epoch() const { return epoch_; }

    /// Keeps the reply to a heartbeat until the leader's `AnswerHeartbeat`, or until the leadership ends.
    /// Returns the heartbeat's request number, which is never used twice.
    std::uint64_t awaitAnswer(transport::Reply reply);

    /// Carries out an action of the present leader; only between `begin` and `end`. What only an entitled
    /// leader may do (responses, commands, scaling out and in) is done only if this controller is entitled at
    /// this moment; otherwise the leader is told at once that the outcome is not known. Resigning calls `end`
    /// by way of the election.
    void perform(Action& action);

    /// Closes connections to workers unused for `age`.
    void closeIdle(Duration age) { workers_.closeIdle(age); }

  private:
    void carryOut(AnswerHeartbeat& action);
    void carryOut(SendCommands& action);
    void carryOut(WriteState& action);
    void carryOut(RefreshReplica& action);
    void carryOut(ScaleOut& action);
    void carryOut(ScaleIn& action);
    void carryOut(ListMachines& action);
    void carryOut(ListTypes& action);
    void carryOut(Resign& action);

    /// Requests the page of the cloud's list after that machine, then the pages after it.
    void listPage(const std::string& after, const std::shared_ptr<MachinesListed>& listed);
    /// Takes in a page; a page that fails ends the list, which is delivered as incomplete.
    void pageListed(const transport::HttpResult& result, const std::shared_ptr<MachinesListed>& listed);

    /// May this controller act as the leader at this moment?
    bool entitled() const;
    /// Makes `handle` a callback that does nothing once the present leadership has ended.
    template <typename Handle>
    auto whileLeading(Handle handle) const;

    const protocol::Settings& settings_;
    transport::HttpClient workers_;
    const Services services_;
    const Deliver deliver_;
    std::uint64_t epoch_ = 0;
    std::uint64_t fencingToken_ = 0;  // of the present leadership; 0 while there is none
    std::uint64_t lastRequest_ = 0;
    std::unordered_map<std::uint64_t, transport::Reply> pendingHeartbeats_;  // by request number
};

}  // namespace burlpoint::coordination
