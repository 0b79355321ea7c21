#pragma once

// The HTTP API for users. Routes requests to the handlers of submissions, job queries and cancellations,
// which it owns. Every controller runs one, whether it is the leader or not. Used on the controller's thread.

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

/// Serves the paths of the user API. Submissions and cancellations are acknowledged only after they are
/// stored, and only terminal states are reported without a read of the key-value store. While the store does
/// not answer, users get 503 with `Retry-After`.
class UserApi {
  public:
    /// All references must outlive this object. This object must outlive its pending requests to `store` and
    /// `watcher`.
    UserApi(asio::io_context& io, const protocol::Settings& settings, storage::KeyValueClient& store,
            bookkeeping::StateReplica& replica, StateWatcher& watcher);

    /// Serves the request by calling `reply` exactly once, possibly after this call has returned. Returns
    /// false, without calling `reply`, if the path is not part of the user API.
    bool handle(const transport::Request& request, const transport::Reply& reply);

    /// Replaces the numbers of running tasks per job with those last reported by the leader. They are for
    /// display only.
    void setRunning(const std::vector<std::pair<std::string, std::uint32_t>>& running) {
        queries_.setRunning(running);
    }

  private:
    enum class JobOperation { query, cancel };
    /// A request path that names a job.
    struct JobPath {
        std::string id;
        JobOperation operation = JobOperation::query;
    };

    /// Parses a request path; empty if it names no job.
    static std::optional<JobPath> parseJobPath(const std::string& path);
    void handleSubmissions(const transport::Request& request, const transport::Reply& reply);
    void handleJob(const JobPath& path, const transport::Request& request, const transport::Reply& reply);

    bookkeeping::StateReplica& replica_;
    JobQueries queries_;
    JobCancellation cancellation_;
    SubmissionHandler submissions_;
};

}  // namespace burlpoint::coordination
