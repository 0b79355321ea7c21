#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "coordination/controller/leader.h"
#include "coordination/leadership/election.h"
#include "coordination/state/state_watcher.h"
#include "protocol/settings.h"
#include "storage/key_value_client.h"
#include "transport/executor.h"
#include "transport/http_client.h"
#include "transport/http_message.h"

/// Carries out what a leader decides: answers to heartbeats, orders to workers, writes to the state
/// service and calls of the cloud. `ActionExecutor` owns the reports that wait for their answers, the
/// connections to workers, and the count of leaderships by which answers to an earlier one are told.
namespace burlpoint::coordination {

/// Carries out a leader's actions and brings what comes of them back as commands for that same leader. What
/// comes back after that leadership has ended is dropped.
class ActionExecutor {
  public:
    /// Takes a command for the leader. Never called from inside `begin` or `end`.
    using Deliver = std::function<void(LeaderEvent)>;

    /// The services that actions go to, shared with the rest of the node; all must outlive the executor.
    struct Services {
        transport::HttpClient& http;  // to the cloud
        storage::KeyValueClient& state;
        StateWatcher& watcher;
        Election& election;
    };

    /// `workerSockets`: the most connections open to workers at a time. They are apart from those to the
    /// services, so that silent machines do not take these.
    ActionExecutor(asio::io_context& io, const protocol::Settings& settings, std::size_t workerSockets,
                   Services services, Deliver deliver);

    /// A leadership of this node begins; its orders and answers carry `fencingToken`.
    void begin(std::uint64_t fencingToken);

    /// The leadership has ended: reports that wait for an answer get 503.
    void end();

    /// The number of the present leadership, or of the time since the last one: it changes whenever one
    /// begins or ends, so that what was asked under an earlier one can be told.
    std::uint64_t round() const { return round_; }

    /// Keeps the reply to a heartbeat until the leader answers it by `AnswerHeartbeat`, or ends. Returns the
    /// report's number, which is never used twice.
    std::uint64_t awaitAnswer(transport::Reply reply);

    /// Carries out an action of the present leader; only between `begin` and `end`. What belongs to a leader
    /// alone (answers, orders, instance requests and releases) is done only if this node is entitled at this
    /// moment; else the leader is told at once that the outcome is not known. Resigning calls `end` by the
    /// election.
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
    void listPage(const std::string& after, const std::shared_ptr<MachinesListed>& listed);
    bool entitled() const;

    const protocol::Settings& settings_;
    transport::HttpClient workers_;
    const Services services_;
    const Deliver deliver_;
    std::uint64_t round_ = 0;         // answers meant for an earlier leadership are dropped
    std::uint64_t fencingToken_ = 0;  // of the present leadership; 0 while there is none
    std::uint64_t lastRequest_ = 0;
    std::unordered_map<std::uint64_t, transport::Reply> heartbeats_;  // being answered
};

}  // namespace burlpoint::coordination
