#include "coordination/api/job_cancellation.h"

#include "coordination/api/api_responses.h"
#include "protocol/job_messages.h"
#include "protocol/responses.h"
#include "storage/records.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using protocol::JobState;
using storage::TerminalState;
using storage::TransactionResult;
using storage::TransactionStatus;
using transport::Reply;
using namespace std::chrono_literals;

namespace keys = storage::keys;

namespace {

constexpr auto kWriteTimeout = 1200ms;  // users wait for 2 s
constexpr int kMaxAttempts = 3;         // writes per cancellation

}  // namespace

void JobCancellation::cancel(const std::string& id, const Reply& reply) {
    attempt({id, reply, kMaxAttempts});
}

void JobCancellation::attempt(const Request& request) {
    queries_.afterRead(request.reply, [this, request] { write(request); });
}

void JobCancellation::write(const Request& request) {
    const auto* job = replica_.find(request.id);
    if (!job) return request.reply(noSuchJob());
    if (job->terminalState != TerminalState::none) return queries_.replyWithState(*job, request.reply);
    const auto key = keys::job(request.id);
    const auto record = cancelledRecord(*job, request.attemptsLeft == 1);
    // The write is conditional on the record's version, so a job becomes either done or cancelled, whichever
    // is stored first.
    store_.transact({{key, job->version}}, {{key, record, 0}}, kWriteTimeout,
                    [this, request](const TransactionResult& result) { writeCompleted(request, result); });
}

std::string JobCancellation::cancelledRecord(const Job& job, bool lastAttempt) const {
    const storage::JobRecord record{job.spec, TerminalState::cancelled, job.acceptedMs, job.doneCount,
                                    job.chunkTasks};
    // The last attempt omits all optional parts of the record, in case the key-value store's limit on the
    // size of values is lower than configured.
    const auto maxBytes = lastAttempt ? 0 : settings_.maxValueBytes();
    return storage::encodeTerminatedJob(record, maxBytes);
}

void JobCancellation::writeCompleted(const Request& request, const TransactionResult& result) {
    const auto& [id, reply, attemptsLeft] = request;
    const bool mayRetry = attemptsLeft > 1;
    if (result.status == TransactionStatus::applied) {
        // Reads of the store may fail from now on. Recording the cancellation at once makes it known to this
        // controller's users, to its own leader, and to a leader that asks this controller for a lease vote.
        watcher_.applyCancellation(id, result.revision);
        return reply(protocol::makeResponse(200, protocol::encodeJobReply(id, JobState::cancelled)));
    }
    if (result.status == TransactionStatus::tooLarge && mayRetry) return attempt({id, reply, 1});
    if (result.status == TransactionStatus::conflict && mayRetry)
        return attempt({id, reply, attemptsLeft - 1});
    reply(storeUnavailable());
}

}  // namespace burlpoint::coordination
