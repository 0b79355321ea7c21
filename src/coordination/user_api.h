#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "bookkeeping/jobs.h"
#include "coordination/state_watcher.h"
#include "protocol/settings.h"
#include "storage/store.h"
#include "transport/http.h"

namespace burlpoint::coordination {

/// Why a job can never run, or nothing.
std::optional<std::string> reasonItCannotRun(const protocol::JobSpec& spec,
                                             const protocol::Settings& settings,
                                             const std::vector<protocol::MachineType>& types);

/// Answers users, on every node. Nothing is acknowledged before it is stored, and only a final state is told
/// without asking the state service first.
class UserApi {
  public:
    UserApi(asio::io_context& io, const protocol::Settings& settings, storage::StateClient& state,
            bookkeeping::StateReplica& replica, StateWatcher& watcher);

    /// False: the path is none of the users'.
    bool handle(const transport::Request& request, const transport::Reply& reply);
    /// Running tasks per job as the leader told them last; for display only.
    void setRunning(const std::vector<std::pair<std::string, std::uint32_t>>& running);

  private:
    struct Waiting {  // a submission that waits for its turn to be stored
        protocol::JobSpec spec;
        transport::Reply reply;
        transport::Time since;
    };

    void submit(const transport::Request& request, const transport::Reply& reply);
    /// A job that it needs and that was never accepted, as far as is known here.
    std::optional<std::string> missingDependency(const protocol::JobSpec& spec) const;
    void reject(const std::string& id, const std::string& why, const transport::Reply& reply);
    void enqueue(protocol::JobSpec spec, const transport::Reply& reply);
    void serveQueues();
    void store(Waiting waiting);
    void status(const std::string& id, const transport::Reply& reply);
    void cancel(const std::string& id, const transport::Reply& reply, int tries);
    void writeCancelled(const std::string& id, const transport::Reply& reply, int tries);
    void answerState(const bookkeeping::Job& job, const transport::Reply& reply) const;
    void serveLater(transport::Duration pause);

    const protocol::Settings& settings_;
    storage::StateClient& state_;
    bookkeeping::StateReplica& replica_;
    StateWatcher& watcher_;
    asio::steady_timer timer_;
    storage::RateBudget writes_;
    bool timing_ = false;
    std::map<std::string, std::deque<Waiting>> queues_;  // per team, served in turn
    std::size_t queued_ = 0, storing_ = 0;
    std::string lastTeam_;
    std::unordered_map<std::string, std::uint32_t> running_;
};

}  // namespace burlpoint::coordination
