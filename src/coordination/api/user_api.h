#pragma once

// The HTTP interface for users: routes requests to the parts that handle submissions, job queries and
// cancellations, which it owns. Every controller runs one, whether it leads or not. Used on the controller's
// thread.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bookkeeping/state_replica.h"
#include "coordination/api/job_cancellation.h"
#include "coordination/api/job_queries.h"
#include "coordination/api/submission_handler.h"
#include "coordination/state/state_watcher.h"
#include "protocol/settings.h"
#include "storage/key_value_client.h"
#include "transport/executor.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// Serves the paths of the users' interface. Nothing is acknowledged before it is stored, and only terminal
/// states are told without a read of the key-value store. While the store does not answer, users get 503 with
/// `Retry-After`.
class UserApi {
  public:
    /// All references must outlive this object, which waits for answers of `store` and `watcher`.
    UserApi(asio::io_context& io, const protocol::Settings& settings, storage::KeyValueClient& store,
            bookkeeping::StateReplica& replica, StateWatcher& watcher);

    /// Serves the request by calling `reply` exactly once, perhaps later. Returns false, without calling
    /// `reply`, if the path is not one of the users' interface.
    bool handle(const transport::Request& request, const transport::Reply& reply);

    /// Replaces the numbers of running tasks by those that the leader told last, by job; for display only.
    void setRunning(const std::vector<std::pair<std::string, std::uint32_t>>& running) {
        queries_.setRunning(running);
    }

  private:
    enum class JobOperation { query, cancel };
    /// A path that names a job.
    struct JobPath {
        std::string id;
        JobOperation operation = JobOperation::query;
    };

    /// Empty if the path names no job.
    static std::optional<JobPath> parseJobPath(const std::string& path);
    void handleSubmissions(const transport::Request& request, const transport::Reply& reply);
    void handleJob(const JobPath& path, const transport::Request& request, const transport::Reply& reply);

    bookkeeping::StateReplica& replica_;
    JobQueries queries_;
    JobCancellation cancellation_;
    SubmissionHandler submissions_;
};

}  // namespace burlpoint::coordination
