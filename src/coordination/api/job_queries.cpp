#include "coordination/api/job_queries.h"

#include "coordination/api/api_responses.h"
#include "protocol/job_messages.h"
#include "protocol/responses.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using storage::TerminalState;
using transport::Reply;
using transport::Response;

void JobQueries::replyWithState(const Job& job, const Reply& reply) const {
    const auto running = runningTasks(job);
    const auto state = job.state(running);
    reply(protocol::makeResponse(200, protocol::encodeJobReply(job.spec.id, state, job.doneCount, running)));
}

std::uint32_t JobQueries::runningTasks(const Job& job) const {
    if (job.terminalState != TerminalState::none) return 0;
    const auto found = running_.find(job.spec.id);
    return found == running_.end() ? 0 : found->second;
}

void JobQueries::replyAfterRead(const std::string& id, Response ifUnknown, const Reply& reply) {
    afterRead(reply, [this, id, ifUnknown = std::move(ifUnknown), reply] {
        const auto* job = replica_.find(id);
        if (!job) return reply(ifUnknown);
        replyWithState(*job, reply);
    });
}

void JobQueries::afterRead(const Reply& reply, std::function<void()> next) {
    watcher_.readLatest([reply, next = std::move(next)](FreshReadResult read) {
        if (read == FreshReadResult::failed) return reply(storeUnavailable());
        next();
    });
}

void JobQueries::setRunning(const std::vector<std::pair<std::string, std::uint32_t>>& running) {
    running_.clear();
    running_.insert(running.begin(), running.end());
}

}  // namespace burlpoint::coordination
