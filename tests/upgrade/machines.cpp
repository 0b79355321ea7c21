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

constexpr auto kResponseTimeout = 4s;
constexpr auto kFailoverDelay = 1s;  // before the next controller is tried
constexpr auto kMinHeartbeatInterval = 500ms;
constexpr auto kImageFetchTime = 200ms;
constexpr auto kMinRunTime = 100ms;
constexpr std::size_t kMaxConnections = 500;

Clock::duration ticks(Seconds s) { return std::chrono::duration_cast<Clock::duration>(s); }

std::string nameOf(const Attempt& attempt) {
    return attempt.job + "/" + std::to_string(attempt.task) + " attempt " + std::to_string(attempt.number);
}

}  // namespace

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

void Worker::expediteHeartbeat(Time now) {
    nextHeartbeatAt_ = std::min(nextHeartbeatAt_, std::max(now, earliestHeartbeatAt_));
}

void Worker::expireLease(Time now) {
    const auto lease = ticks(machines_.settings_.workerLease);
    if (now - lastRenewal_ <= lease) return;
    tasks_.clear();
    ++incarnation_;
    leaseRenewals_ = 0;
    lastRenewal_ = now;
    expediteHeartbeat(now);
}

void Worker::setTaskState(const Attempt& attempt, TaskState state, Time now) {
    auto& task = tasks_.at(attempt);
    task.state = state;
    task.enteredAt = now;
    expediteHeartbeat(now);
}

void Worker::exitTask(const Attempt& attempt, ExitReason exitReason, Time now) {
    tasks_.at(attempt).exitReason = exitReason;
    setTaskState(attempt, TaskState::exited, now);
}

const Attempt* Worker::findActiveAttempt(const std::string& job, std::uint32_t task) const {
    for (auto at = tasks_.lower_bound({job, task, 0}); at != tasks_.end(); ++at) {
        if (at->first.job != job || at->first.task != task) break;
        if (at->second.state != TaskState::exited) return &at->first;
    }
    return nullptr;
}

void Worker::step(Time now) {
    std::vector<Attempt> attempts;
    for (const auto& [attempt, task] : tasks_) attempts.push_back(attempt);
    for (const auto& attempt : attempts) {
        const auto& task = tasks_.at(attempt);
        auto& job = machines_.oracle_.job(attempt.job);
        if (task.state == TaskState::fetching) {
            if (!fetchedImages_.contains(job.spec.image) && now - task.enteredAt < kImageFetchTime) continue;
            fetchedImages_.insert(job.spec.image);
            if (job.completed.contains(attempt.task))
                exitTask(attempt, ExitReason::done, now);
            else
                setTaskState(attempt,
                             job.spec.kind == JobKind::gang ? TaskState::waiting : TaskState::running, now);
        } else if (task.state == TaskState::running && job.spec.kind == JobKind::array) {
            if (job.completed.size() >= job.completionLimit || now - task.enteredAt < kMinRunTime) continue;
            job.completed.insert(attempt.task);
            exitTask(attempt, ExitReason::done, now);
        }
    }
    if (!heartbeatInFlight_ && now >= nextHeartbeatAt_) sendHeartbeat(now);
}

std::string Worker::encodeNextHeartbeat() {
    std::vector<protocol::TaskStatus> statuses;
    for (const auto& [attempt, task] : tasks_)
        statuses.push_back({attempt, task.state, task.exitReason, false});
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

void Worker::sendHeartbeat(Time now) {
    heartbeatInFlight_ = true;
    earliestHeartbeatAt_ = now + kMinHeartbeatInterval;
    nextHeartbeatAt_ = now + ticks(machines_.settings_.heartbeatInterval);
    const auto& controller = machines_.controllers_[targetController_];
    machines_.http_.request(
        controller.address, "POST", protocol::paths::kHeartbeat, encodeNextHeartbeat(), kResponseTimeout,
        [weak = weak_from_this(), sent = now, incarnation = incarnation_](const HttpResult& outcome) {
            if (const auto worker = weak.lock()) worker->handleHeartbeatResponse(outcome, sent, incarnation);
        });
}

void Worker::tryNextController(Time now) {
    targetController_ = (targetController_ + 1) % machines_.controllers_.size();
    nextHeartbeatAt_ = earliestHeartbeatAt_ = now + kFailoverDelay;
}

void Worker::handleHeartbeatResponse(const HttpResult& outcome, Time sent, std::uint64_t incarnation) {
    const auto now = Clock::now();
    heartbeatInFlight_ = false;
    expireLease(now);
    try {
        if (now - sent > kResponseTimeout) return tryNextController(now);
        if (outcome.status == 200) {
            if (incarnation == incarnation_) applyHeartbeatResponse(outcome.body, sent, now);
            return;
        }
        if (outcome.status != 421) return tryNextController(now);
        const auto handle = protocol::unpackBody(outcome.body);
        const auto name = MapReader(handle.get()).maybeText("harbormaster").value_or("");
        const auto& all = machines_.controllers_;
        const auto named = std::find_if(all.begin(), all.end(),
                                        [&](const auto& controller) { return controller.name == name; });
        const auto index = static_cast<std::size_t>(named - all.begin());
        if (named == all.end() || index == targetController_) return tryNextController(now);
        targetController_ = index;
        nextHeartbeatAt_ = now;
    } catch (const protocol::MalformedMessage& error) {
        machines_.oracle_.require(false, std::string("malformed heartbeat response: ") + error.what());
    }
}

/// Applies a response to a heartbeat of this incarnation that arrived before the timeout.
void Worker::applyHeartbeatResponse(const std::string& body, Time sent, Time now) {
    const auto handle = protocol::unpackBody(body);
    const auto fencingToken = MapReader(handle.get()).integer("helm");
    if (fencingToken < fencingToken_) return;
    if (fencingToken > fencingToken_) expediteHeartbeat(now);
    fencingToken_ = fencingToken;
    machines_.recordFencingToken(fencingToken);
    lastRenewal_ = std::max(lastRenewal_, sent);
    ++leaseRenewals_;
    execute(protocol::decodeCommands(body), now);
}

void Worker::execute(const std::vector<WorkerCommand>& commands, Time now) {
    for (const auto& command : commands) {
        const auto known = tasks_.find(command.attempt);
        const bool exited = known != tasks_.end() && known->second.state == TaskState::exited;
        if (command.kind == CommandKind::start) {
            if (known == tasks_.end()) start(command.attempt, now);
        } else if (command.kind == CommandKind::stop) {
            // No job in these tests saves checkpoints, so a stopped task exits immediately.
            if (known != tasks_.end() && !exited) exitTask(command.attempt, ExitReason::stopped, now);
        } else if (exited) {
            tasks_.erase(known);
            expediteHeartbeat(now);
        }
    }
}

ExitReason Worker::rejectionReason(const Attempt& attempt) const {
    const auto& jobs = machines_.oracle_.jobs;
    const auto job = jobs.find(attempt.job);
    if (job == jobs.end() || attempt.task >= job->second.spec.tasks) return ExitReason::unknownAttempt;
    if (findActiveAttempt(attempt.job, attempt.task)) return ExitReason::busy;
    double cpus = job->second.spec.cpus, memory = job->second.spec.memoryGb;
    for (const auto& [other, task] : tasks_) {
        if (task.state == TaskState::exited) continue;
        cpus += jobs.at(other.job).spec.cpus;
        memory += jobs.at(other.job).spec.memoryGb;
    }
    constexpr double kRounding = 1e-6;
    const bool fits = cpus <= type_.cpus + kRounding && memory <= type_.memoryGb + kRounding;
    return fits ? ExitReason::none : ExitReason::machineFull;
}

void Worker::start(const Attempt& attempt, Time now) {
    const auto rejection = rejectionReason(attempt);
    machines_.oracle_.require(rejection != ExitReason::unknownAttempt,
                              "start command for an unknown task: " + nameOf(attempt));
    if (rejection == ExitReason::unknownAttempt) return;
    if (rejection == ExitReason::none) machines_.checkStart(*this, attempt, now);
    tasks_[attempt] = {TaskState::fetching, ExitReason::none, now};
    expediteHeartbeat(now);
    if (rejection != ExitReason::none) exitTask(attempt, rejection, now);
}

/// Direct commands may arrive minutes late and more than once, so they must neither start a task nor let this
/// worker forget one.
void Worker::checkDirectCommands(const std::vector<WorkerCommand>& commands) {
    for (const auto& command : commands)
        machines_.oracle_.require(command.kind == CommandKind::stop,
                                  "direct command that is no stop: " + nameOf(command.attempt));
}

void Worker::serve(const transport::Request& request, const transport::Reply& reply) {
    const auto now = Clock::now();
    expireLease(now);
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
                machines_.recordFencingToken(fencingToken);
                const auto commands = protocol::decodeCommands(request.body);
                checkDirectCommands(commands);
                execute(commands, now);
            }
        } catch (const protocol::MalformedMessage& error) {
            machines_.oracle_.require(false, std::string("malformed commands: ") + error.what());
            response.status = 400;
        }
    } else if (request.path != protocol::paths::kStatus) {
        response.status = 404;
    }
    if (response.status == 200 || response.status == 409) response.body = encodeNextHeartbeat();
    reply(response);
}

struct Machines::Gang {
    std::vector<std::pair<Worker*, Attempt>> members;  // tasks that have not exited
    std::uint32_t waiting = 0;                         // members in state `waiting`
};

Machines::Machines(asio::io_context& io, TestOracle& oracle, const protocol::Settings& settings,
                   std::vector<ControllerEndpoint> controllers, StoredAsDone storedAsDone)
    : io_(io),
      oracle_(oracle),
      settings_(settings),
      controllers_(std::move(controllers)),
      storedAsDone_(std::move(storedAsDone)),
      http_(io, kMaxConnections) {}

std::string Machines::create(const protocol::MachineType& type, const std::string& zone) {
    constexpr std::size_t kDigits = 6;
    const auto number = std::to_string(++createdCount_);
    auto id = "m-" + std::string(kDigits - number.size(), '0') + number;
    workers_[id] = std::make_shared<Worker>(io_, *this, id, type, zone);
    return id;
}

void Machines::step(Time now) {
    for (const auto& [id, worker] : workers_) worker->expireLease(now);
    checkCancelled(now);
    for (const auto& [id, worker] : workers_) worker->step(now);
    stepGangs(now);
}

void Machines::checkStart(const Worker& worker, const Attempt& attempt, Time now) {
    for (const auto& [id, other] : workers_) other->expireLease(now);
    const auto& job = oracle_.job(attempt.job);
    const auto name = nameOf(attempt) + " on " + worker.id();
    for (const auto& [id, other] : workers_)
        oracle_.require(!other->findActiveAttempt(attempt.job, attempt.task),
                        "ran_twice: " + name + " started while active on " + id);
    for (const auto& dependency : job.spec.dependencies)
        oracle_.require(storedAsDone_(dependency),
                        "too_early: " + name + " started before the end of " + dependency);
    const bool cancelTimeoutElapsed =
        job.cancelConfirmed && now - *job.cancelConfirmed > ticks(settings_.cancelTimeout);
    oracle_.require(!cancelTimeoutElapsed, "ran_cancelled: a start of " + name);
    const bool zoneAllowed = !job.spec.zone || *job.spec.zone == worker.zone();
    oracle_.require(zoneAllowed, "wrong_place: " + name + " in zone " + worker.zone());
    ++startCounts_[attempt.job];
}

void Machines::checkCancelled(Time now) {
    for (const auto& [id, job] : oracle_.jobs) {
        const bool cancelTimeoutElapsed =
            job.cancelConfirmed && now - *job.cancelConfirmed > ticks(settings_.cancelTimeout);
        if (cancelTimeoutElapsed)
            oracle_.require(hasNoActiveTasks(id),
                            "ran_cancelled: a task of " + id + " is active after the cancellation timeout");
    }
}

void Machines::stepGangs(Time now) {
    std::map<Attempt, Gang> gangs;
    for (const auto& [id, worker] : workers_) {
        for (const auto& [attempt, task] : worker->tasks()) {
            if (task.state == TaskState::exited || oracle_.job(attempt.job).spec.kind != JobKind::gang)
                continue;
            auto& gang = gangs[{attempt.job, 0, attempt.number}];
            gang.members.emplace_back(worker.get(), attempt);
            gang.waiting += task.state == TaskState::waiting;
        }
    }
    for (auto& [attempt, gang] : gangs) stepGang(attempt, gang, now);
}

void Machines::stepGang(const Attempt& attempt, Gang& gang, Time now) {
    auto& job = oracle_.job(attempt.job);
    const auto exitAll = [&](ExitReason exitReason) {
        for (const auto& [worker, member] : gang.members) worker->exitTask(member, exitReason, now);
    };
    if (startedGangs_.contains(attempt)) {
        if (gang.members.size() < job.spec.tasks) return exitAll(ExitReason::gangMemberExited);
        if (job.completionLimit < job.spec.tasks) return;
        for (std::uint32_t task = 0; task < job.spec.tasks; ++task) job.completed.insert(task);
        return exitAll(ExitReason::done);
    }
    if (gang.waiting == job.spec.tasks) {
        startedGangs_.insert(attempt);
        for (const auto& [worker, member] : gang.members)
            worker->setTaskState(member, TaskState::running, now);
        return;
    }
    for (const auto& [worker, member] : gang.members) {
        const auto& task = worker->tasks().at(member);
        const bool waitTimedOut =
            task.state == TaskState::waiting && now - task.enteredAt > ticks(settings_.gangWaitTimeout);
        if (waitTimedOut) worker->exitTask(member, ExitReason::gangTimedOut, now);
    }
}

std::uint32_t Machines::countTasks(const std::string& job, TaskState state) const {
    std::uint32_t found = 0;
    for (const auto& [id, worker] : workers_)
        for (const auto& [attempt, task] : worker->tasks())
            found += attempt.job == job && task.state == state;
    return found;
}

bool Machines::hasNoActiveTasks(const std::string& job) const {
    for (const auto& [id, worker] : workers_)
        for (const auto& [attempt, task] : worker->tasks())
            if (attempt.job == job && task.state != TaskState::exited) return false;
    return true;
}

std::map<std::string, std::uint64_t> Machines::leaseRenewals(const std::string& job) const {
    std::map<std::string, std::uint64_t> found;
    for (const auto& [id, worker] : workers_)
        for (const auto& [attempt, task] : worker->tasks())
            if (attempt.job == job && task.state == TaskState::running)
                found[id + " incarnation " + std::to_string(worker->incarnation())] = worker->leaseRenewals();
    return found;
}

std::uint64_t Machines::startCount(const std::string& job) const {
    const auto found = startCounts_.find(job);
    return found == startCounts_.end() ? 0 : found->second;
}

}  // namespace burlpoint::tests
