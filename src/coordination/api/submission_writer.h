#pragma once

// Stores accepted submissions, paced by the key-value store's rate of writes. Owns the queue of submissions
// and the timer by which it is served. Used on the controller's thread.

#include "base/clock.h"
#include "coordination/api/job_queries.h"
#include "coordination/api/submission_queue.h"
#include "protocol/job_messages.h"
#include "protocol/settings.h"
#include "storage/key_value_client.h"
#include "transport/executor.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// Queues submissions and stores them. A submission is acknowledged only once it is stored.
class SubmissionWriter {
  public:
    /// All references must outlive this object, which waits for answers of `store` and reads of `queries`.
    SubmissionWriter(asio::io_context& io, const protocol::Settings& settings, storage::KeyValueClient& store,
                     JobQueries& queries);

    /// Stores the job and replies with 201, or with its state if it was accepted before. Replies with 429 if
    /// it could not be stored soon, with 422 if the key-value store takes no value of that size, and with 503
    /// if the key-value store does not answer in time.
    void submit(protocol::JobSpec spec, const transport::Reply& reply);

  private:
    /// Replies to the submissions that have waited for too long, and writes as many others as may be written.
    void serveQueue();
    /// Serves the queue after a pause, unless that is going to happen already.
    void serveQueueAfter(Duration pause);
    void write(Submission submission);
    void writeCompleted(const Submission& submission, const storage::TransactionResult& result);
    /// The key-value store refused the write for now.
    void retryOrGiveUp(const Submission& submission);

    const protocol::Settings& settings_;
    storage::KeyValueClient& store_;
    JobQueries& queries_;
    SubmissionQueue queue_;
    transport::Timer timer_;  // until the queue is served next
    bool timerRunning_ = false;
};

}  // namespace burlpoint::coordination
