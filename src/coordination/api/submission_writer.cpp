#include "coordination/api/submission_writer.h"

#include "base/wall_clock.h"
#include "coordination/api/api_responses.h"
#include "protocol/responses.h"
#include "storage/records.h"

namespace burlpoint::coordination {

using protocol::JobSpec;
using protocol::JobState;
using storage::TerminalState;
using storage::TransactionResult;
using storage::TransactionStatus;
using transport::Reply;
using namespace std::chrono_literals;

namespace keys = storage::keys;

namespace {

constexpr auto kWriteTimeout = 1200ms;     // users wait for 2 s
constexpr auto kRetryPause = 120ms;        // before a requeued submission is written again
constexpr auto kQueuePollInterval = 50ms;  // before a queue that waits for the write budget is served again

}  // namespace

SubmissionWriter::SubmissionWriter(asio::io_context& io, const protocol::Settings& settings,
                                   storage::KeyValueClient& store, JobQueries& queries)
    : settings_(settings), store_(store), queries_(queries), queue_(settings, Clock::now()), timer_(io) {}

void SubmissionWriter::submit(JobSpec spec, const Reply& reply) {
    const auto now = Clock::now();
    if (const auto retryAfter = queue_.retryAfterIfFull(now))
        return reply(protocol::makeRetryLaterResponse(429, "too many submissions", *retryAfter));
    queue_.add({std::move(spec), reply, now});
    serveQueue();
}

void SubmissionWriter::serveQueue() {
    const auto now = Clock::now();
    for (const auto& expired : queue_.takeExpired(now))
        expired.reply(protocol::makeRetryLaterResponse(503, "the state service is busy"));
    while (auto submission = queue_.takeNext(now)) write(std::move(*submission));
    if (!queue_.empty()) serveQueueAfter(kQueuePollInterval);
}

void SubmissionWriter::serveQueueAfter(Duration pause) {
    if (timerRunning_) return;
    timerRunning_ = true;
    timer_.expires_after(pause);
    timer_.async_wait([this](auto error) {
        timerRunning_ = false;
        if (!error) serveQueue();
    });
}

void SubmissionWriter::write(Submission submission) {
    const auto key = keys::job(submission.spec.id);
    const storage::JobRecord record{submission.spec, TerminalState::none, wallClockMs(), 0,
                                    storage::chunkTasks(settings_.minValueKb())};
    store_.transact({{key, 0}}, {{key, storage::encodeJob(record), 0}}, kWriteTimeout,
                    [this, submission = std::move(submission)](const TransactionResult& result) {
                        writeCompleted(submission, result);
                    });
}

void SubmissionWriter::writeCompleted(const Submission& submission, const TransactionResult& result) {
    queue_.writeCompleted();
    const auto& id = submission.spec.id;
    switch (result.status) {
        case TransactionStatus::applied:
            submission.reply(protocol::makeResponse(201, protocol::encodeJobReply(id, JobState::queued)));
            break;
        case TransactionStatus::conflict:  // accepted before, perhaps by another controller
            queries_.replyAfterRead(id, noSuchJob(), submission.reply);
            break;
        case TransactionStatus::tooLarge:  // the store's limit is lower than configured
            queries_.replyAfterRead(id, rejected(RejectionReason::recordTooLarge), submission.reply);
            break;
        case TransactionStatus::rateLimited:
            queue_.recordRateLimit(Clock::now());
            return retryOrGiveUp(submission);
        case TransactionStatus::unavailable:
            return retryOrGiveUp(submission);
        default:
            submission.reply(storeUnavailable());
    }
    serveQueue();
}

void SubmissionWriter::retryOrGiveUp(const Submission& submission) {
    const bool mayRetry = Clock::now() - submission.queuedAt < SubmissionQueue::kMaxWait / 2;
    if (mayRetry) {
        queue_.requeue(submission);
        return serveQueueAfter(kRetryPause);
    }
    submission.reply(storeUnavailable());
    serveQueue();
}

}  // namespace burlpoint::coordination
