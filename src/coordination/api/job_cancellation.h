#pragma once

// Cancels jobs on behalf of users. Owns no state except the cancellations in flight. Used on the controller's
// thread.

#include <string>

#include "bookkeeping/job.h"
#include "bookkeeping/state_replica.h"
#include "coordination/api/job_queries.h"
#include "coordination/state/state_watcher.h"
#include "protocol/settings.h"
#include "storage/key_value_client.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// Stores cancellations. A cancellation is acknowledged only once it is stored.
class JobCancellation {
  public:
    /// All references must outlive this object. This object must outlive its pending requests to `store` and
    /// reads of `queries`.
    JobCancellation(const protocol::Settings& settings, storage::KeyValueClient& store,
                    bookkeeping::StateReplica& replica, StateWatcher& watcher, JobQueries& queries)
        : settings_(settings), store_(store), replica_(replica), watcher_(watcher), queries_(queries) {}

    /// Cancels the job unless it is in a terminal state, and replies with its state. Replies with 404 if no
    /// such job was accepted, and with 503 if the key-value store does not answer or does not apply the
    /// write, or if another writer keeps changing the job's record.
    void cancel(const std::string& id, const transport::Reply& reply);

  private:
    /// A cancellation in flight.
    struct Request {
        std::string id;
        transport::Reply reply;
        int attemptsLeft = 0;  // remaining writes, including the one in flight
    };

    void attempt(const Request& request);
    void write(const Request& request);
    void writeCompleted(const Request& request, const storage::TransactionResult& result);
    std::string cancelledRecord(const bookkeeping::Job& job, bool lastAttempt) const;

    const protocol::Settings& settings_;
    storage::KeyValueClient& store_;
    bookkeeping::StateReplica& replica_;
    StateWatcher& watcher_;
    JobQueries& queries_;
};

}  // namespace burlpoint::coordination
