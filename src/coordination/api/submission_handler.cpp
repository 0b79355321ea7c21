#include "coordination/api/submission_handler.h"

#include "coordination/api/api_responses.h"
#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"
#include "protocol/responses.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using protocol::JobSpec;
using storage::TerminalState;
using transport::Reply;

SubmissionHandler::SubmissionHandler(asio::io_context& io, const protocol::Settings& settings,
                                     storage::KeyValueClient& store, bookkeeping::StateReplica& replica,
                                     StateWatcher& watcher, JobQueries& queries)
    : settings_(settings),
      replica_(replica),
      watcher_(watcher),
      queries_(queries),
      writer_(io, settings, store, queries) {}

void SubmissionHandler::submit(const std::string& body, const Reply& reply) {
    JobSpec spec;
    try {
        const auto handle = protocol::unpackBody(body);
        spec = protocol::decodeSpec(handle.get());
    } catch (const protocol::MalformedMessage& error) {
        return reply(protocol::makeResponse(400, protocol::encodeErrorReply(error.what())));
    }
    if (const auto* job = replica_.find(spec.id)) return replyToResubmission(*job, reply);
    if (!watcher_.synced() || replica_.types.empty())
        return reply(protocol::makeRetryLaterResponse(503, "not able to decide yet"));
    if (const auto reason = findRejectionReason(spec, settings_, replica_.types))
        return reject(spec.id, *reason, reply);
    checkDependencies(std::move(spec), reply);
}

void SubmissionHandler::replyToResubmission(const Job& job, const Reply& reply) {
    if (job.terminalState != TerminalState::none) return queries_.replyWithState(job, reply);
    queries_.replyAfterRead(job.spec.id, noSuchJob(), reply);
}

// Replies after a read, since another controller may have accepted the job under different settings.
void SubmissionHandler::reject(const std::string& id, RejectionReason reason, const Reply& reply) {
    queries_.replyAfterRead(id, rejected(reason), reply);
}

void SubmissionHandler::checkDependencies(JobSpec spec, const Reply& reply) {
    if (missingDependency(spec)) return checkDependenciesAfterRead(spec, reply);
    writer_.submit(std::move(spec), reply);
}

// The read is necessary, since another controller may have accepted the dependency a moment ago.
void SubmissionHandler::checkDependenciesAfterRead(const JobSpec& spec, const Reply& reply) {
    queries_.afterRead(reply, [this, spec, reply] {
        if (const auto* job = replica_.find(spec.id)) return queries_.replyWithState(*job, reply);
        const auto missing = missingDependency(spec);
        if (!missing) return writer_.submit(spec, reply);
        const auto message = "needs " + *missing + ", which was never accepted";
        reply(protocol::makeResponse(422, protocol::encodeErrorReply(message)));
    });
}

std::optional<std::string> SubmissionHandler::missingDependency(const JobSpec& spec) const {
    for (const auto& id : spec.dependencies)
        if (!replica_.find(id)) return id;
    return std::nullopt;
}

}  // namespace burlpoint::coordination
