#include "coordination/api/user_api.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "base/wall_clock.h"
#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"
#include "protocol/responses.h"
#include "transport/executor.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using protocol::JobKind;
using protocol::JobSpec;
using protocol::JobState;
using storage::TerminalState;
using storage::TransactionResult;
using storage::TransactionStatus;
using transport::Reply;
using transport::Request;
using namespace std::chrono_literals;

namespace keys = storage::keys;
namespace paths = protocol::paths;

namespace {

constexpr auto kStoreTimeout = 1200ms;   // users wait 2 s for an answer
constexpr auto kRetryPause = 120ms;      // before a submission that was refused is tried again
constexpr auto kTurnPause = 50ms;        // between looks at a queue that waits for the key-value store's rate
constexpr int kCancelTries = 3;          // writes of one cancellation
constexpr double kRoundingError = 1e-9;  // of sums of processors and memory
constexpr char kTooLarge[] = "larger than the state service takes";
constexpr char kUnanswered[] = "the state service does not answer";
constexpr char kNoSuchJob[] = "no such job";

/// The users' form of a 405, which says so in its body too.
transport::Response methodNotAllowed(const char* allow) {
    return protocol::wrongMethod(allow, protocol::errorReply("method not allowed"));
}

}  // namespace

std::optional<std::string> reasonItCannotRun(const JobSpec& spec, const protocol::Settings& settings,
                                             const std::vector<protocol::MachineType>& types) {
    const auto* team = settings.team(spec.team);
    if (!team) return "unknown team";
    const double tasks = spec.kind == JobKind::array ? 1 : spec.tasks;
    if ((team->maxCpus > 0 && spec.cpus * tasks > team->maxCpus + kRoundingError) ||
        (team->maxGpus > 0 && spec.gpus * tasks > team->maxGpus + kRoundingError))
        return "more than the team's limit";
    for (const auto& type : types) {
        if (spec.types && std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end())
            continue;
        if (type.cpus + kRoundingError >= spec.cpus && type.gpus + kRoundingError >= spec.gpus &&
            type.memoryGb + kRoundingError >= spec.memoryGb)
            return std::nullopt;
    }
    return "fits no allowed machine type";
}

UserApi::UserApi(asio::io_context& io, const protocol::Settings& settings, storage::KeyValueClient& state,
                 bookkeeping::StateReplica& replica, StateWatcher& watcher)
    : settings_(settings),
      state_(state),
      replica_(replica),
      watcher_(watcher),
      queue_(settings, Clock::now()),
      timer_(io) {}

bool UserApi::handle(const Request& request, const Reply& reply) {
    if (request.path == paths::kSubmissions) {
        if (request.method == "POST")
            submit(request, reply);
        else
            reply(methodNotAllowed("POST"));
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
    parsed.cancels = id.ends_with(paths::kCancel);
    if (parsed.cancels) id.resize(id.size() - std::string_view(paths::kCancel).size());
    if (id.find('/') != std::string::npos) return std::nullopt;
    return parsed;
}

void UserApi::handleJob(const JobPath& path, const Request& request, const Reply& reply) {
    const auto* method = path.cancels ? "POST" : "GET";
    if (request.method != method) return reply(methodNotAllowed(method));
    // An id of another form cannot have been accepted.
    if (!protocol::isJobId(path.id)) return reply(protocol::respond(404, protocol::errorReply(kNoSuchJob)));
    if (const auto* job = replica_.find(path.id); job && job->terminalState != TerminalState::none)
        answerState(*job, reply);
    else if (path.cancels)
        cancel(path.id, reply, kCancelTries);
    else
        status(path.id, reply);
}

void UserApi::setRunning(const std::vector<std::pair<std::string, std::uint32_t>>& running) {
    running_.clear();
    running_.insert(running.begin(), running.end());
}

void UserApi::answerState(const Job& job, const Reply& reply) const {
    const auto found = running_.find(job.spec.id);
    const auto running =
        found == running_.end() || job.terminalState != TerminalState::none ? 0 : found->second;
    const auto state = job.state(running);
    reply(protocol::respond(200, protocol::jobReply(job.spec.id, state, job.doneCount, running)));
}

void UserApi::status(const std::string& id, const Reply& reply) {
    watcher_.readLatest([this, id, reply](FreshRead read) {
        if (read == FreshRead::failed) return reply(protocol::retryLater(503, kUnanswered));
        const auto* job = replica_.find(id);
        if (!job) return reply(protocol::respond(404, protocol::errorReply(kNoSuchJob)));
        answerState(*job, reply);
    });
}

void UserApi::submit(const Request& request, const Reply& reply) {
    JobSpec spec;
    try {
        const auto handle = protocol::unpackBody(request.body);
        spec = protocol::decodeSpec(handle.get());
    } catch (const protocol::MalformedMessage& error) {
        return reply(protocol::respond(400, protocol::errorReply(error.what())));
    }
    if (const auto* job = replica_.find(spec.id)) {
        if (job->terminalState != TerminalState::none) return answerState(*job, reply);
        return status(spec.id, reply);
    }
    if (!watcher_.synced() || replica_.types.empty())
        return reply(protocol::retryLater(503, "not able to decide yet"));
    auto why = reasonItCannotRun(spec, settings_, replica_.types);
    // Nothing of it may be left out and nothing be kept elsewhere, so it can never run here: 422.
    if (!why && !storage::jobFits(spec, settings_.maxValueBytes())) why = kTooLarge;
    if (why) return reject(spec.id, *why, reply);
    admit(std::move(spec), reply);
}

void UserApi::admit(JobSpec spec, const Reply& reply) {
    if (missingDependency(spec)) return admitAfterRead(std::move(spec), reply);
    enqueue(std::move(spec), reply);
}

// Another node may have accepted what it needs a moment ago.
void UserApi::admitAfterRead(JobSpec spec, const Reply& reply) {
    watcher_.readLatest([this, spec = std::move(spec), reply](FreshRead read) mutable {
        if (read == FreshRead::failed) return reply(protocol::retryLater(503, kUnanswered));
        if (const auto* job = replica_.find(spec.id)) return answerState(*job, reply);
        const auto missing = missingDependency(spec);
        if (!missing) return enqueue(std::move(spec), reply);
        reply(
            protocol::respond(422, protocol::errorReply("needs " + *missing + ", which was never accepted")));
    });
}

std::optional<std::string> UserApi::missingDependency(const JobSpec& spec) const {
    for (const auto& id : spec.dependencies)
        if (!replica_.find(id)) return id;
    return std::nullopt;
}

// Not even a job that can't run may be turned down if another node has accepted it.
void UserApi::reject(const std::string& id, const std::string& why, const Reply& reply) {
    watcher_.readLatest([this, id, why, reply](FreshRead read) {
        if (read == FreshRead::failed) return reply(protocol::retryLater(503, kUnanswered));
        if (const auto* job = replica_.find(id)) return answerState(*job, reply);
        reply(protocol::respond(422, protocol::errorReply(why)));
    });
}

void UserApi::enqueue(JobSpec spec, const Reply& reply) {
    const auto now = Clock::now();
    // What cannot be stored soon is turned away at once, with the time to come back.
    if (const auto after = queue_.retryAfter(now))
        return reply(protocol::retryLater(429, "too many submissions", *after));
    queue_.add({std::move(spec), reply, now});
    serveQueue();
}

void UserApi::serveLater(Duration pause) {
    if (timing_) return;
    timing_ = true;
    timer_.expires_after(pause);
    timer_.async_wait([this](auto error) {
        timing_ = false;
        if (!error) serveQueue();
    });
}

void UserApi::serveQueue() {
    const auto now = Clock::now();
    for (const auto& expired : queue_.takeExpired(now))
        expired.reply(protocol::retryLater(503, "the state service is busy"));
    while (auto submission = queue_.takeNext(now)) store(std::move(*submission));
    if (!queue_.empty()) serveLater(kTurnPause);
}

void UserApi::store(Submission submission) {
    const auto key = keys::job(submission.spec.id);
    const storage::JobRecord record{submission.spec, TerminalState::none, wallClockMs(), 0,
                                    storage::chunkTasks(settings_.minValueKb())};
    state_.transact({{key, 0}}, {{key, storage::encodeJob(record), 0}}, kStoreTimeout,
                    [this, submission = std::move(submission)](const TransactionResult& result) {
                        stored(submission, result);
                    });
}

void UserApi::stored(const Submission& submission, const TransactionResult& result) {
    queue_.stored();
    const auto& id = submission.spec.id;
    switch (result.status) {
        case TransactionStatus::applied:
            submission.reply(protocol::respond(201, protocol::jobReply(id, JobState::queued)));
            break;
        case TransactionStatus::conflict:  // accepted before, perhaps by another node
            status(id, submission.reply);
            break;
        case TransactionStatus::tooLarge:  // for a limit lower than the settings say
            reject(id, kTooLarge, submission.reply);
            break;
        case TransactionStatus::tooMany:
            queue_.noteRefused(Clock::now());
            return retryOrGiveUp(submission);
        case TransactionStatus::refused:
            return retryOrGiveUp(submission);
        default:
            submission.reply(protocol::retryLater(503, kUnanswered));
    }
    serveQueue();
}

void UserApi::retryOrGiveUp(const Submission& submission) {
    if (Clock::now() - submission.since < SubmissionQueue::kMaxWait / 2) {
        queue_.putBack(submission);
        return serveLater(kRetryPause);
    }
    submission.reply(protocol::retryLater(503, kUnanswered));
    serveQueue();
}

void UserApi::cancel(const std::string& id, const Reply& reply, int tries) {
    watcher_.readLatest([this, id, reply, tries](FreshRead read) {
        if (read == FreshRead::failed) return reply(protocol::retryLater(503, kUnanswered));
        writeCancelled(id, reply, tries);
    });
}

void UserApi::writeCancelled(const std::string& id, const Reply& reply, int tries) {
    const auto* job = replica_.find(id);
    if (!job) return reply(protocol::respond(404, protocol::errorReply(kNoSuchJob)));
    if (job->terminalState != TerminalState::none) return answerState(*job, reply);
    const auto key = keys::job(id);
    const storage::JobRecord record{job->spec, TerminalState::cancelled, job->acceptedMs, job->doneCount,
                                    job->chunkTasks};
    // The last try goes without all that can be spared, should the service take less than the settings say.
    const auto most = tries > 1 ? settings_.maxValueBytes() : 0;
    // Conditional on the record: a job becomes either done or cancelled, whichever is stored first.
    state_.transact({{key, job->version}}, {{key, storage::encodeTerminatedJob(record, most), 0}},
                    kStoreTimeout, [this, id, reply, tries](const TransactionResult& result) {
                        if (result.status == TransactionStatus::applied) {
                            // No read may come through for a while: whoever asks this node from now on, its
                            // own leadership and a leader that wants its grant first of all, is told.
                            watcher_.noteCancelled(id, result.revision);
                            return reply(protocol::respond(200, protocol::jobReply(id, JobState::cancelled)));
                        }
                        if (result.status == TransactionStatus::tooLarge && tries > 1)
                            return cancel(id, reply, 1);
                        if (result.status == TransactionStatus::conflict && tries > 1)
                            return cancel(id, reply, tries - 1);
                        reply(protocol::retryLater(503, kUnanswered));
                    });
}

}  // namespace burlpoint::coordination
