#pragma once

// Stores validated submissions, paced by the write rate of the key-value store. Owns the submission queue and
// the timer that triggers its processing. Used on the controller's thread.

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
    /// All references must outlive this object. This object must outlive its pending requests to `store` and
    /// reads of `queries`.
    SubmissionWriter(asio::io_context& io, const protocol::Settings& settings, storage::KeyValueClient& store,
                     JobQueries& queries);

    /// Stores the job and replies with 201, or with its state if it was accepted before. Replies with 429 if
    /// the queue is too long to store the job in time, with 422 if the job's record exceeds the key-value
    /// store's limit on values, and with 503 if the key-value store does not store the job in time.
    void submit(protocol::JobSpec spec, const transport::Reply& reply);

  private:
    /// Replies to the submissions that have waited for too long, and writes as many of the others as the
    /// write budget and the limit on writes in flight allow.
    void serveQueue();
    /// Serves the queue after `pause`, unless the timer is running already.
    void serveQueueAfter(Duration pause);
    void write(Submission submission);
    void writeCompleted(const Submission& submission, const storage::TransactionResult& result);
    /// Handles a write that was not applied because the key-value store was unavailable or the write exceeded
    /// its rate limit: requeues the submission if it arrived less than `SubmissionQueue::kMaxWait / 2` ago,
    /// and otherwise replies with 503.
    void retryOrGiveUp(const Submission& submission);

    const protocol::Settings& settings_;
    storage::KeyValueClient& store_;
    JobQueries& queries_;
    SubmissionQueue queue_;
    transport::Timer timer_;  // expires when the queue is to be served next
    bool timerRunning_ = false;
};

}  // namespace burlpoint::coordination
