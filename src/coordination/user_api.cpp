#include "coordination/user_api.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/responses.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using protocol::JobSpec;
using protocol::JobState;
using protocol::Kind;
using protocol::Seconds;
using storage::Final;
using storage::TxnResult;
using storage::TxnStatus;
using transport::Clock;
using transport::Duration;
using transport::Reply;
using transport::Request;
using transport::Time;
using namespace std::chrono_literals;

namespace keys = storage::keys;
namespace paths = protocol::paths;

namespace {

constexpr auto kStoreTimeout = 1200ms;
constexpr auto kMaxWait = 1200ms;  // in a team's queue, refusals by the state service included
constexpr std::size_t kMaxStoring = 8;
// Of the state service's changes. A leader's writes are paced by a budget of their own: were both one, its
// node would turn users away whenever it has much to store.
constexpr double kShare = 0.3;
constexpr std::size_t kMaxQueued = 400;
constexpr char kTooLarge[] = "larger than the state service takes";

/// The users' form of a 405, which says so in its body too.
transport::Response methodNotAllowed(const char* allow) {
    return wrongMethod(allow, protocol::errorReply("method not allowed"));
}

}  // namespace

std::optional<std::string> reasonItCannotRun(const JobSpec& spec, const protocol::Settings& settings,
                                             const std::vector<protocol::MachineType>& types) {
    const auto* team = settings.team(spec.team);
    if (!team) return "unknown team";
    const double tasks = spec.kind == Kind::array ? 1 : spec.tasks;
    if ((team->cpusMax > 0 && spec.cpus * tasks > team->cpusMax + 1e-9) ||
        (team->gpusMax > 0 && spec.gpus * tasks > team->gpusMax + 1e-9))
        return "more than the team's limit";
    for (const auto& type : types) {
        if (spec.types && std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end())
            continue;
        if (type.cpus + 1e-9 >= spec.cpus && type.gpus + 1e-9 >= spec.gpus &&
            type.memoryGb + 1e-9 >= spec.memoryGb)
            return std::nullopt;
    }
    return "fits no allowed machine type";
}

UserApi::UserApi(asio::io_context& io, const protocol::Settings& settings, storage::StateClient& state,
                 bookkeeping::StateReplica& replica, StateWatcher& watcher)
    : settings_(settings),
      state_(state),
      replica_(replica),
      watcher_(watcher),
      timer_(io),
      writes_(settings.stateWriteRps * kShare, Clock::now(), settings.minWriteRps() * kShare) {}

bool UserApi::handle(const Request& request, const Reply& reply) {
    const std::string& path = request.path;
    if (path == paths::kSubmissions) {
        if (request.method != "POST") return reply(methodNotAllowed("POST")), true;
        submit(request, reply);
        return true;
    }
    const std::string prefix = std::string(paths::kSubmissions) + "/";
    if (!path.starts_with(prefix)) return false;
    std::string id = path.substr(prefix.size());
    const bool cancels = id.ends_with(paths::kCancel);
    if (cancels) id.resize(id.size() - std::string_view(paths::kCancel).size());
    if (id.find('/') != std::string::npos) return false;
    if (request.method != (cancels ? "POST" : "GET"))
        return reply(methodNotAllowed(cancels ? "POST" : "GET")), true;
    // An id of another form cannot have been accepted.
    if (!protocol::isJobId(id)) return reply(respond(404, protocol::errorReply("no such job"))), true;
    if (const auto* job = replica_.find(id); job && job->final != Final::open)
        answerState(*job, reply);
    else if (cancels)
        cancel(id, reply, 3);
    else
        status(id, reply);
    return true;
}

void UserApi::setRunning(const std::vector<std::pair<std::string, std::uint32_t>>& running) {
    running_.clear();
    running_.insert(running.begin(), running.end());
}

void UserApi::answerState(const Job& job, const Reply& reply) const {
    const auto found = running_.find(job.spec.id);
    const auto running = found == running_.end() || job.final != Final::open ? 0 : found->second;
    const auto state = job.state(running);
    reply(respond(200, protocol::jobReply(job.spec.id, state, job.doneCount, running)));
}

void UserApi::status(const std::string& id, const Reply& reply) {
    watcher_.fresh([this, id, reply](bool ok) {
        if (!ok) return reply(retryLater(503, "the state service does not answer"));
        const auto* job = replica_.find(id);
        if (!job) return reply(respond(404, protocol::errorReply("no such job")));
        answerState(*job, reply);
    });
}

void UserApi::submit(const Request& request, const Reply& reply) {
    JobSpec spec;
    try {
        const auto handle = protocol::unpackBody(request.body);
        spec = protocol::decodeSpec(handle.get());
    } catch (const protocol::Malformed& error) {
        return reply(respond(400, protocol::errorReply(error.what())));
    }
    if (const auto* job = replica_.find(spec.id)) {
        if (job->final != Final::open) return answerState(*job, reply);
        return status(spec.id, reply);
    }
    if (!watcher_.synced() || replica_.types.empty()) return reply(retryLater(503, "not able to decide yet"));
    auto why = reasonItCannotRun(spec, settings_, replica_.types);
    // Nothing of it may be left out and nothing be kept elsewhere, so it can never run here: 422.
    if (!why && !storage::jobFits(spec, settings_.valueBytes())) why = kTooLarge;
    if (why) return reject(spec.id, *why, reply);
    if (!missingDependency(spec)) return enqueue(std::move(spec), reply);
    // Another node may have accepted that one a moment ago.
    watcher_.fresh([this, spec = std::move(spec), reply](bool ok) mutable {
        if (!ok) return reply(retryLater(503, "the state service does not answer"));
        if (const auto* job = replica_.find(spec.id)) return answerState(*job, reply);
        const auto missing = missingDependency(spec);
        if (!missing) return enqueue(std::move(spec), reply);
        reply(respond(422, protocol::errorReply("needs " + *missing + ", which was never accepted")));
    });
}

std::optional<std::string> UserApi::missingDependency(const JobSpec& spec) const {
    for (const auto& id : spec.dependencies)
        if (!replica_.find(id)) return id;
    return std::nullopt;
}

/// Not even a job that can't run may be turned down if another node has accepted it.
void UserApi::reject(const std::string& id, const std::string& why, const Reply& reply) {
    watcher_.fresh([this, id, why, reply](bool ok) {
        if (!ok) return reply(retryLater(503, "the state service does not answer"));
        if (const auto* job = replica_.find(id)) return answerState(*job, reply);
        reply(respond(422, protocol::errorReply(why)));
    });
}

void UserApi::enqueue(JobSpec spec, const Reply& reply) {
    // What cannot be stored soon is turned away at once, with the time to come back.
    const double rate = writes_.rate(Clock::now());
    const Seconds expected(static_cast<double>(queued_) / rate);
    if (queued_ >= kMaxQueued || expected > kMaxWait) {
        const auto after = std::chrono::ceil<std::chrono::seconds>(std::min<Seconds>(expected, 30s));
        return reply(retryLater(429, "too many submissions", std::max(after, 1s)));
    }
    const auto team = spec.team;
    queues_[team].push_back({std::move(spec), reply, Clock::now()});
    ++queued_;
    serveQueues();
}

void UserApi::serveLater(Duration pause) {
    if (timing_) return;
    timing_ = true;
    timer_.expires_after(pause);
    timer_.async_wait([this](auto error) {
        timing_ = false;
        if (!error) serveQueues();
    });
}

/// One submission of each team in turn, as the state service's rate allows.
void UserApi::serveQueues() {
    const auto now = Clock::now();
    for (auto& [team, queue] : queues_) {
        while (!queue.empty() && now - queue.front().since > kMaxWait) {
            queue.front().reply(retryLater(503, "the state service is busy"));
            queue.pop_front();
            --queued_;
        }
    }
    std::erase_if(queues_, [](const auto& entry) { return entry.second.empty(); });
    while (!queues_.empty() && storing_ < kMaxStoring) {
        if (!writes_.take(1, 0, now)) break;
        auto next = queues_.upper_bound(lastTeam_);
        if (next == queues_.end()) next = queues_.begin();
        lastTeam_ = next->first;
        auto waiting = std::move(next->second.front());
        next->second.pop_front();
        --queued_;
        if (next->second.empty()) queues_.erase(next);
        store(std::move(waiting));
    }
    if (!queues_.empty()) serveLater(50ms);
}

void UserApi::store(Waiting waiting) {
    ++storing_;
    const auto key = keys::job(waiting.spec.id);
    const storage::JobRecord record{waiting.spec, Final::open, transport::timeOfDayMs(), 0,
                                    storage::chunkTasks(settings_.minValueKb())};
    state_.transact({{key, 0}}, {{key, storage::encodeJob(record), 0}}, kStoreTimeout,
                    [this, waiting = std::move(waiting)](const TxnResult& result) {
                        --storing_;
                        const auto& id = waiting.spec.id;
                        switch (result.status) {
                            case TxnStatus::applied:
                                waiting.reply(respond(201, protocol::jobReply(id, JobState::queued)));
                                break;
                            case TxnStatus::conflict:  // accepted before, perhaps by another node
                                status(id, waiting.reply);
                                break;
                            case TxnStatus::tooLarge:  // for a limit lower than the settings say
                                reject(id, kTooLarge, waiting.reply);
                                break;
                            case TxnStatus::tooMany:
                                writes_.refused(Clock::now());
                                [[fallthrough]];
                            case TxnStatus::refused:
                                if (Clock::now() - waiting.since < kMaxWait / 2) {
                                    queues_[waiting.spec.team].push_front(waiting);
                                    ++queued_;
                                    return serveLater(120ms);
                                }
                                [[fallthrough]];
                            default:
                                waiting.reply(retryLater(503, "the state service does not answer"));
                        }
                        serveQueues();
                    });
}

void UserApi::cancel(const std::string& id, const Reply& reply, int tries) {
    watcher_.fresh([this, id, reply, tries](bool ok) {
        if (!ok) return reply(retryLater(503, "the state service does not answer"));
        writeCancelled(id, reply, tries);
    });
}

void UserApi::writeCancelled(const std::string& id, const Reply& reply, int tries) {
    const auto* job = replica_.find(id);
    if (!job) return reply(respond(404, protocol::errorReply("no such job")));
    if (job->final != Final::open) return answerState(*job, reply);
    const auto key = keys::job(id);
    const storage::JobRecord record{job->spec, Final::cancelled, job->acceptedMs, job->doneCount,
                                    job->chunkTasks};
    // The last try goes without all that can be spared, should the service take less than the settings say.
    const auto most = tries > 1 ? settings_.valueBytes() : 0;
    // Conditional on the record: a job becomes either done or cancelled, whichever is stored first.
    state_.transact({{key, job->version}}, {{key, storage::encodeFinal(record, most), 0}}, kStoreTimeout,
                    [this, id, reply, tries](const TxnResult& result) {
                        if (result.status == TxnStatus::applied) {
                            // No read may come through for a while: whoever asks this node from now on, its
                            // own leadership and a leader that wants its promise first of all, is told.
                            watcher_.noteCancelled(id, result.revision);
                            return reply(respond(200, protocol::jobReply(id, JobState::cancelled)));
                        }
                        if (result.status == TxnStatus::tooLarge && tries > 1) return cancel(id, reply, 1);
                        if (result.status == TxnStatus::conflict && tries > 1)
                            return cancel(id, reply, tries - 1);
                        reply(retryLater(503, "the state service does not answer"));
                    });
}

}  // namespace burlpoint::coordination
