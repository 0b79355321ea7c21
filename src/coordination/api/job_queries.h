#pragma once

// Answers what state a job is in. Owns the numbers of running tasks that users are shown. Used on the
// controller's thread.

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bookkeeping/job.h"
#include "bookkeeping/state_replica.h"
#include "coordination/state/state_watcher.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// Replies with the states of jobs. Only a terminal state, which never changes, may be told without a read of
/// the key-value store, as another controller may have changed any other.
class JobQueries {
  public:
    /// Both must outlive this object, which waits for reads of the watcher.
    JobQueries(bookkeeping::StateReplica& replica, StateWatcher& watcher)
        : replica_(replica), watcher_(watcher) {}

    /// Replies with the state of the job according to the replica.
    void replyWithState(const bookkeeping::Job& job, const transport::Reply& reply) const;

    /// Reads what is stored, then replies with the state of the job, or with `ifUnknown` if no such job was
    /// accepted.
    void replyAfterRead(const std::string& id, transport::Response ifUnknown, const transport::Reply& reply);

    /// Calls `next` once the replica holds all that was stored when this was called. If the key-value store
    /// does not answer, replies with 503 instead.
    void afterRead(const transport::Reply& reply, std::function<void()> next);

    /// Replaces the numbers of running tasks by those that the leader told last, by job; for display only.
    void setRunning(const std::vector<std::pair<std::string, std::uint32_t>>& running);

  private:
    std::uint32_t runningTasks(const bookkeeping::Job& job) const;

    bookkeeping::StateReplica& replica_;
    StateWatcher& watcher_;
    std::unordered_map<std::string, std::uint32_t> running_;  // tasks by job
};

}  // namespace burlpoint::coordination
