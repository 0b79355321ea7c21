#include "upgrade/machines.h"

#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"
#include "transport/endpoint.h"
#include "transport/executor.h"
#include "transport/http_client.h"
#include "transport/http_message.h"

namespace burlpoint::tests {

using namespace std::chrono_literals;
using protocol::Attempt;
using protocol::CommandKind;
using protocol::ExitReason;
using protocol::JobKind;
using protocol::MapReader;
using protocol::TaskState;
using protocol::WorkerCommand;
using transport::HttpResult;

namespace {

constexpr auto kAnswerTimeout = 4s;
constexpr auto kNextController = 1s;  // after a failure
constexpr auto kBetweenHeartbeats = 500ms;
constexpr auto kFetch = 200ms;
constexpr auto kShortestRun = 100ms;
constexpr std::size_t kConnections = 500;

Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

std::string nameOf(const Attempt& attempt) {
    return attempt.job + "/" + std::to_string(attempt.task) + " attempt " + std::to_string(attempt.number);
}

}  // namespace

// --- one worker -------------------------------------------------------------------------------------------

Worker::Worker(asio::io_context& io, Machines& machines, std::string id, protocol::MachineType type,
               std::string zone)
    : machines_(machines),
      id_(std::move(id)),
      type_(std::move(type)),
      zone_(std::move(zone)),
      lastRenewal_(Clock::now()),
      server_(
          io, transport::parseEndpoint("127.0.0.1:0"), {},
          [this](transport::Request&& request, const transport::Reply& reply) { serve(request, reply); }) {}

std::string Worker::address() const { return "127.0.0.1:" + std::to_string(server_.localEndpoint().port()); }

void Worker::changed(Time now) {
    nextHeartbeat_ = std::min(nextHeartbeat_, std::max(now, earliestHeartbeat_));
}

void Worker::expire(Time now) {
    const auto lease = ticks(machines_.settings_.workerLease);
    if (now - lastRenewal_ <= lease) return;
    tasks_.clear();
    ++incarnation_;
    renewals_ = 0;
    lastRenewal_ = now;
    changed(now);
}

void Worker::enter(const Attempt& attempt, TaskState state, Time now) {
    auto& task = tasks_.at(attempt);
    task.state = state;
    task.since = now;
    changed(now);
}

void Worker::exit(const Attempt& attempt, ExitReason why, Time now) {
    tasks_.at(attempt).why = why;
    enter(attempt, TaskState::exited, now);
}

const Attempt* Worker::holds(const std::string& job, std::uint32_t number) const {
    for (auto at = tasks_.lower_bound({job, number, 0}); at != tasks_.end(); ++at) {
        if (at->first.job != job || at->first.task != number) break;
        if (at->second.state != TaskState::exited) return &at->first;
    }
    return nullptr;
}

void Worker::step(Time now) {
    std::vector<Attempt> attempts;
    for (const auto& [attempt, task] : tasks_) attempts.push_back(attempt);
    for (const auto& attempt : attempts) {
        const auto& task = tasks_.at(attempt);
        auto& job = machines_.rules_.job(attempt.job);
        if (task.state == TaskState::fetching) {
            if (!fetchedImages_.contains(job.spec.image) && now - task.since < kFetch) continue;
            fetchedImages_.insert(job.spec.image);
            if (job.completed.contains(attempt.task))
                exit(attempt, ExitReason::done, now);
            else
                enter(attempt, job.spec.kind == JobKind::gang ? TaskState::waiting : TaskState::running, now);
        } else if (task.state == TaskState::running && job.spec.kind == JobKind::array) {
            if (job.completed.size() >= job.completionLimit || now - task.since < kShortestRun) continue;
            job.completed.insert(attempt.task);
            exit(attempt, ExitReason::done, now);
        }
    }
    if (!heartbeatUnderWay_ && now >= nextHeartbeat_) heartbeat(now);
}

std::string Worker::nextHeartbeat() {
    std::vector<protocol::TaskStatus> statuses;
    for (const auto& [attempt, task] : tasks_) statuses.push_back({attempt, task.state, task.why, false});
    return protocol::encodeHeartbeat({id_,
                                      address(),
                                      type_.name,
                                      zone_,
                                      false,
                                      incarnation_,
                                      ++sequence_,
                                      fencingToken_,
                                      {},
                                      std::move(statuses)});
}

void Worker::heartbeat(Time now) {
    heartbeatUnderWay_ = true;
    earliestHeartbeat_ = now + kBetweenHeartbeats;
    nextHeartbeat_ = now + ticks(machines_.settings_.heartbeatInterval);
    const auto& controller = machines_.controllers_[target_];
    machines_.http_.request(
        controller.address, "POST", protocol::paths::kHeartbeat, nextHeartbeat(), kAnswerTimeout,
        [weak = weak_from_this(), sent = now, incarnation = incarnation_](const HttpResult& outcome) {
            if (const auto worker = weak.lock()) worker->answered(outcome, sent, incarnation);
        });
}

void Worker::tryNextController(Time now) {
    target_ = (target_ + 1) % machines_.controllers_.size();
    nextHeartbeat_ = earliestHeartbeat_ = now + kNextController;
}

void Worker::answered(const HttpResult& outcome, Time sent, std::uint64_t incarnation) {
    const auto now = Clock::now();
    heartbeatUnderWay_ = false;
    expire(now);
    try {
        if (now - sent > kAnswerTimeout) return tryNextController(now);
        if (outcome.status == 200) {
            if (incarnation == incarnation_) accept(outcome.body, sent, now);
            return;
        }
        if (outcome.status != 421) return tryNextController(now);
        const auto handle = protocol::unpackBody(outcome.body);
        const auto name = MapReader(handle.get()).maybeText("harbormaster").value_or("");
        const auto& all = machines_.controllers_;
        const auto named = std::find_if(all.begin(), all.end(),
                                        [&](const auto& controller) { return controller.name == name; });
        const auto index = static_cast<std::size_t>(named - all.begin());
        if (named == all.end() || index == target_) return tryNextController(now);
        target_ = index;
        nextHeartbeat_ = now;
    } catch (const protocol::MalformedMessage& error) {
        machines_.rules_.require(false, std::string("malformed answer to a heartbeat: ") + error.what());
    }
}

/// An answer to a heartbeat of this incarnation that came in time.
void Worker::accept(const std::string& body, Time sent, Time now) {
    const auto handle = protocol::unpackBody(body);
    const auto fencingToken = MapReader(handle.get()).integer("helm");
    if (fencingToken < fencingToken_) return;
    if (fencingToken > fencingToken_) changed(now);
    fencingToken_ = fencingToken;
    machines_.noteToken(fencingToken);
    lastRenewal_ = std::max(lastRenewal_, sent);
    ++renewals_;
    execute(protocol::decodeCommands(body), now);
}

void Worker::execute(const std::vector<WorkerCommand>& commands, Time now) {
    for (const auto& command : commands) {
        const auto known = tasks_.find(command.attempt);
        const bool exited = known != tasks_.end() && known->second.state == TaskState::exited;
        if (command.kind == CommandKind::start) {
            if (known == tasks_.end()) start(command.attempt, now);
        } else if (command.kind == CommandKind::stop) {
            // No job of these tests saves checkpoints, so every task exits at once.
            if (known != tasks_.end() && !exited) exit(command.attempt, ExitReason::stopped, now);
        } else if (exited) {
            tasks_.erase(known);
            changed(now);
        }
    }
}

ExitReason Worker::refusalOf(const Attempt& attempt) const {
    const auto& jobs = machines_.rules_.jobs;
    const auto job = jobs.find(attempt.job);
    if (job == jobs.end() || attempt.task >= job->second.spec.tasks) return ExitReason::unknown;
    if (holds(attempt.job, attempt.task)) return ExitReason::busy;
    double cpus = job->second.spec.cpus, memory = job->second.spec.memoryGb;
    for (const auto& [other, task] : tasks_) {
        if (task.state == TaskState::exited) continue;
        cpus += jobs.at(other.job).spec.cpus;
        memory += jobs.at(other.job).spec.memoryGb;
    }
    constexpr double kRounding = 1e-6;
    const bool fits = cpus <= type_.cpus + kRounding && memory <= type_.memoryGb + kRounding;
    return fits ? ExitReason::none : ExitReason::noRoom;
}

void Worker::start(const Attempt& attempt, Time now) {
    const auto refused = refusalOf(attempt);
    machines_.rules_.require(refused != ExitReason::unknown,
                             "a start of an unknown task: " + nameOf(attempt));
    if (refused == ExitReason::unknown) return;
    if (refused == ExitReason::none) machines_.checkStart(*this, attempt, now);
    tasks_[attempt] = {TaskState::fetching, ExitReason::none, now};
    changed(now);
    if (refused != ExitReason::none) exit(attempt, refused, now);
}

void Worker::serve(const transport::Request& request, const transport::Reply& reply) {
    const auto now = Clock::now();
    expire(now);
    transport::Response response;
    if (request.path == protocol::paths::kCommands) {
        try {
            const auto handle = protocol::unpackBody(request.body);
            const MapReader fields(handle.get());
            const auto fencingToken = fields.integer("helm");
            if (fencingToken < fencingToken_ || fields.integer("watch") != incarnation_) {
                response.status = 409;
            } else {
                fencingToken_ = fencingToken;
                machines_.noteToken(fencingToken);
                execute(protocol::decodeCommands(request.body), now);
            }
        } catch (const protocol::MalformedMessage& error) {
            machines_.rules_.require(false, std::string("malformed commands: ") + error.what());
            response.status = 400;
        }
    } else if (request.path != protocol::paths::kStatus) {
        response.status = 404;
    }
    if (response.status == 200 || response.status == 409) response.body = nextHeartbeat();
    reply(response);
}

// --- all of them ------------------------------------------------------------------------------------------

struct Machines::Gang {
    std::vector<std::pair<Worker*, Attempt>> members;  // that have not exited
    std::uint32_t waiting = 0;
};

Machines::Machines(asio::io_context& io, Rules& rules, const protocol::Settings& settings,
                   std::vector<Controller> controllers, StoredAsDone storedAsDone)
    : io_(io),
      rules_(rules),
      settings_(settings),
      controllers_(std::move(controllers)),
      storedAsDone_(std::move(storedAsDone)),
      http_(io, kConnections) {}

std::string Machines::create(const protocol::MachineType& type, const std::string& zone) {
    constexpr std::size_t kDigits = 6;
    const auto number = std::to_string(++created_);
    auto id = "m-" + std::string(kDigits - number.size(), '0') + number;
    workers_[id] = std::make_shared<Worker>(io_, *this, id, type, zone);
    return id;
}

void Machines::step(Time now) {
    for (const auto& [id, worker] : workers_) worker->expire(now);
    checkCancelled(now);
    for (const auto& [id, worker] : workers_) worker->step(now);
    stepGangs(now);
}

void Machines::checkStart(const Worker& worker, const Attempt& attempt, Time now) {
    for (const auto& [id, other] : workers_) other->expire(now);
    const auto& job = rules_.job(attempt.job);
    const auto name = nameOf(attempt) + " on " + worker.id();
    for (const auto& [id, other] : workers_)
        rules_.require(!other->holds(attempt.job, attempt.task), "ran_twice: " + name + " while on " + id);
    for (const auto& needed : job.spec.dependencies)
        rules_.require(storedAsDone_(needed), "too_early: " + name + " before " + needed);
    const bool late = job.cancelConfirmed && now - *job.cancelConfirmed > ticks(settings_.cancelTimeout);
    rules_.require(!late, "ran_cancelled: a start of " + name);
    const bool zoneAllowed = !job.spec.zone || *job.spec.zone == worker.zone();
    rules_.require(zoneAllowed, "wrong_place: " + name + " in zone " + worker.zone());
    ++starts_[attempt.job];
}

void Machines::checkCancelled(Time now) {
    for (const auto& [id, job] : rules_.jobs) {
        const bool late = job.cancelConfirmed && now - *job.cancelConfirmed > ticks(settings_.cancelTimeout);
        if (late) rules_.require(isGone(id), "ran_cancelled: a task of " + id + " is still on a machine");
    }
}

void Machines::stepGangs(Time now) {
    std::map<Attempt, Gang> gangs;
    for (const auto& [id, worker] : workers_) {
        for (const auto& [attempt, task] : worker->tasks()) {
            if (task.state == TaskState::exited || rules_.job(attempt.job).spec.kind != JobKind::gang)
                continue;
            auto& gang = gangs[{attempt.job, 0, attempt.number}];
            gang.members.emplace_back(worker.get(), attempt);
            gang.waiting += task.state == TaskState::waiting;
        }
    }
    for (auto& [attempt, gang] : gangs) stepGang(attempt, gang, now);
}

void Machines::stepGang(const Attempt& attempt, Gang& gang, Time now) {
    auto& job = rules_.job(attempt.job);
    const auto exitAll = [&](ExitReason why) {
        for (const auto& [worker, member] : gang.members) worker->exit(member, why, now);
    };
    if (begunGangs_.contains(attempt)) {
        if (gang.members.size() < job.spec.tasks) return exitAll(ExitReason::peers);
        if (job.completionLimit < job.spec.tasks) return;
        for (std::uint32_t task = 0; task < job.spec.tasks; ++task) job.completed.insert(task);
        return exitAll(ExitReason::done);
    }
    if (gang.waiting == job.spec.tasks) {
        begunGangs_.insert(attempt);
        for (const auto& [worker, member] : gang.members) worker->enter(member, TaskState::running, now);
        return;
    }
    for (const auto& [worker, member] : gang.members) {
        const auto& task = worker->tasks().at(member);
        const bool tooLong =
            task.state == TaskState::waiting && now - task.since > ticks(settings_.gangWaitTimeout);
        if (tooLong) worker->exit(member, ExitReason::alone, now);
    }
}

std::uint32_t Machines::count(const std::string& job, TaskState state) const {
    std::uint32_t found = 0;
    for (const auto& [id, worker] : workers_)
        for (const auto& [attempt, task] : worker->tasks())
            found += attempt.job == job && task.state == state;
    return found;
}

bool Machines::isGone(const std::string& job) const {
    for (const auto& [id, worker] : workers_)
        for (const auto& [attempt, task] : worker->tasks())
            if (attempt.job == job && task.state != TaskState::exited) return false;
    return true;
}

std::map<std::string, std::uint64_t> Machines::renewals(const std::string& job) const {
    std::map<std::string, std::uint64_t> found;
    for (const auto& [id, worker] : workers_)
        for (const auto& [attempt, task] : worker->tasks())
            if (attempt.job == job && task.state == TaskState::running)
                found[id + " incarnation " + std::to_string(worker->incarnation())] = worker->renewals();
    return found;
}

std::uint64_t Machines::starts(const std::string& job) const {
    const auto found = starts_.find(job);
    return found == starts_.end() ? 0 : found->second;
}

}  // namespace burlpoint::tests
