#include "coordination/api/user_api.h"

#include <string_view>

#include "coordination/api/api_responses.h"
#include "protocol/job_messages.h"

namespace burlpoint::coordination {

using storage::TerminalState;
using transport::Reply;
using transport::Request;

namespace paths = protocol::paths;

UserApi::UserApi(asio::io_context& io, const protocol::Settings& settings, storage::KeyValueClient& store,
                 bookkeeping::StateReplica& replica, StateWatcher& watcher)
    : replica_(replica),
      queries_(replica, watcher),
      cancellation_(settings, store, replica, watcher, queries_),
      submissions_(io, settings, store, replica, watcher, queries_) {}

bool UserApi::handle(const Request& request, const Reply& reply) {
    if (request.path == paths::kSubmissions) {
        handleSubmissions(request, reply);
        return true;
    }
    const auto path = parseJobPath(request.path);
    if (!path) return false;
    handleJob(*path, request, reply);
    return true;
}

std::optional<UserApi::JobPath> UserApi::parseJobPath(const std::string& path) {
    const std::string prefix = std::string(paths::kSubmissions) + "/";
    if (!path.starts_with(prefix)) return std::nullopt;
    JobPath parsed{path.substr(prefix.size())};
    auto& id = parsed.id;
    if (id.ends_with(paths::kCancel)) {
        parsed.operation = JobOperation::cancel;
        id.resize(id.size() - std::string_view(paths::kCancel).size());
    }
    if (id.find('/') != std::string::npos) return std::nullopt;
    return parsed;
}

void UserApi::handleSubmissions(const Request& request, const Reply& reply) {
    if (request.method != "POST") return reply(methodNotAllowed("POST"));
    submissions_.submit(request.body, reply);
}

void UserApi::handleJob(const JobPath& path, const Request& request, const Reply& reply) {
    const bool isCancellation = path.operation == JobOperation::cancel;
    const auto* method = isCancellation ? "POST" : "GET";
    if (request.method != method) return reply(methodNotAllowed(method));
    // No job with a malformed id can have been accepted.
    if (!protocol::isJobId(path.id)) return reply(noSuchJob());
    const auto* job = replica_.find(path.id);
    if (job && job->terminalState != TerminalState::none) return queries_.replyWithState(*job, reply);
    if (isCancellation) return cancellation_.cancel(path.id, reply);
    queries_.replyAfterRead(path.id, noSuchJob(), reply);
}

}  // namespace burlpoint::coordination
