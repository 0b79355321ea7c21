#pragma once

// Answers queries for the state of a job. Owns the numbers of running tasks that are reported to users. Used
// on the controller's thread.

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

/// Replies with the states of jobs. Only a terminal state, which never changes, may be reported without a
/// read of the key-value store. Any other state could be stale, since another controller may have changed it.
class JobQueries {
  public:
    /// Both references must outlive this object, and this object must outlive its pending reads of `watcher`.
    JobQueries(bookkeeping::StateReplica& replica, StateWatcher& watcher)
        : replica_(replica), watcher_(watcher) {}

    /// Replies with the state of the job according to the replica, without a read.
    void replyWithState(const bookkeeping::Job& job, const transport::Reply& reply) const;

    /// Replies with the state of the job after a linearizable read, or with `ifUnknown` if no such job was
    /// accepted.
    void replyAfterRead(const std::string& id, transport::Response ifUnknown, const transport::Reply& reply);

    /// Calls `next` once the replica holds everything that was stored at the time of this call (a
    /// linearizable read). If the key-value store does not answer, replies with 503 instead.
    void afterRead(const transport::Reply& reply, std::function<void()> next);

    /// Replaces the numbers of running tasks per job with those last reported by the leader. They are for
    /// display only.
    void setRunning(const std::vector<std::pair<std::string, std::uint32_t>>& running);

  private:
    std::uint32_t runningTasks(const bookkeeping::Job& job) const;

    bookkeeping::StateReplica& replica_;
    StateWatcher& watcher_;
    std::unordered_map<std::string, std::uint32_t> running_;  // number of running tasks by job id
};

}  // namespace burlpoint::coordination
