#pragma once

// Decides whether a submitted job is accepted: handles decoding, idempotent resubmission, validation and job
// dependencies. Owns the `SubmissionWriter` and passes valid jobs to it; a job counts as accepted once it is
// stored. Used on the controller's thread.

#include <optional>
#include <string>

#include "bookkeeping/state_replica.h"
#include "coordination/api/job_queries.h"
#include "coordination/api/submission_validation.h"
#include "coordination/api/submission_writer.h"
#include "coordination/state/state_watcher.h"
#include "protocol/job_messages.h"
#include "protocol/settings.h"
#include "storage/key_value_client.h"
#include "transport/executor.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// Handles submissions. A job that was accepted before, by any controller, is never rejected: the reply is
/// its state, so that users can safely repeat a submission.
class SubmissionHandler {
  public:
    /// All references must outlive this object.
    SubmissionHandler(asio::io_context& io, const protocol::Settings& settings,
                      storage::KeyValueClient& store, bookkeeping::StateReplica& replica,
                      StateWatcher& watcher, JobQueries& queries);

    /// Accepts or rejects the job in `body`, and replies, possibly after this call has returned.
    void submit(const std::string& body, const transport::Reply& reply);

  private:
    /// Replies with the state of a job that was accepted before.
    void replyToResubmission(const bookkeeping::Job& job, const transport::Reply& reply);
    /// Rejects the job unless it was accepted before.
    void reject(const std::string& id, RejectionReason reason, const transport::Reply& reply);
    /// Passes the job to the writer if all of its dependencies were accepted, and otherwise rejects it. If
    /// the replica lacks a dependency, decides after a linearizable read.
    void checkDependencies(protocol::JobSpec spec, const transport::Reply& reply);
    void checkDependenciesAfterRead(const protocol::JobSpec& spec, const transport::Reply& reply);
    /// The first dependency of the job that the replica does not have; empty if it has all of them.
    std::optional<std::string> missingDependency(const protocol::JobSpec& spec) const;

    const protocol::Settings& settings_;
    bookkeeping::StateReplica& replica_;
    StateWatcher& watcher_;
    JobQueries& queries_;
    SubmissionWriter writer_;
};

}  // namespace burlpoint::coordination
