#include "coordination/controller/action_executor.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "protocol/cloud_messages.h"
#include "protocol/errors.h"
#include "protocol/msgpack_codec.h"
#include "protocol/responses.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

using protocol::MalformedMessage;
using storage::TransactionResult;
using transport::HttpResult;
using transport::Reply;
using namespace std::chrono_literals;

namespace paths = protocol::paths;

namespace {

constexpr auto kCommandTimeout = 2500ms;
constexpr auto kCloudTimeout = 6000ms;
constexpr auto kWriteTimeout = 1500ms;
constexpr unsigned kMachinesPerPage = 500;  // of the cloud's list

/// The outcome of direct commands. A worker that turns them down with 409 sends a heartbeat, too.
CommandsAnswered readCommandResponse(const HttpResult& result, const std::string& machine,
                                     const bookkeeping::HeartbeatVersion& known) {
    CommandsAnswered answered{machine, std::nullopt, known};
    try {
        if (result.status == 200 || result.status == 409)
            answered.heartbeat = protocol::decodeHeartbeat(result.body);
    } catch (const MalformedMessage& error) {
        spdlog::error("malformed answer of a worker machine={} error={}", machine, error.what());
    }
    return answered;
}

/// The outcome of the instance request of that name.
ScaleOutCompleted readInstanceRequestAnswer(const HttpResult& result, const std::string& name) {
    ScaleOutCompleted answered;
    answered.name = name;
    const bool noCapacity = result.status == 503 && protocol::saysNoCapacity(result.body);
    if (result.status == 400 || noCapacity) answered.outcome = InstanceRequestOutcome::rejected;
    if (!result.ok()) return answered;
    try {
        answered.machines = protocol::decodeInstanceIds(result.body);
        answered.outcome = InstanceRequestOutcome::fulfilled;
    } catch (const MalformedMessage& error) {
        spdlog::error("malformed answer of the cloud request={} error={}", name, error.what());
    }
    return answered;
}

}  // namespace

ActionExecutor::ActionExecutor(asio::io_context& io, const protocol::Settings& settings,
                               std::size_t workerSockets, Services services, Deliver deliver)
    : settings_(settings), workers_(io, workerSockets), services_(services), deliver_(std::move(deliver)) {}

void ActionExecutor::begin(std::uint64_t fencingToken) {
    ++epoch_;
    fencingToken_ = fencingToken;
}

void ActionExecutor::end() {
    ++epoch_;
    fencingToken_ = 0;
    for (auto& [request, reply] : std::exchange(pendingHeartbeats_, {})) reply(protocol::respond(503));
}

std::uint64_t ActionExecutor::awaitAnswer(Reply reply) {
    const auto request = ++lastRequest_;
    pendingHeartbeats_[request] = std::move(reply);
    return request;
}

bool ActionExecutor::entitled() const { return services_.election.valid(Clock::now()); }

template <typename Handle>
auto ActionExecutor::whileLeading(Handle handle) const {
    return [this, epoch = epoch_, handle = std::move(handle)](const auto& result) {
        if (epoch == epoch_) handle(result);
    };
}

void ActionExecutor::perform(Action& action) {
    std::visit([this](auto& a) { carryOut(a); }, action);
}

void ActionExecutor::carryOut(AnswerHeartbeat& action) {
    const auto found = pendingHeartbeats_.find(action.request);
    if (found == pendingHeartbeats_.end()) return;
    const auto reply = std::move(found->second);
    pendingHeartbeats_.erase(found);
    if (action.verdict == HeartbeatVerdict::refused || !entitled()) return reply(protocol::respond(503));
    reply(protocol::respond(200, protocol::encodeHeartbeatResponse(fencingToken_, action.commands)));
}

void ActionExecutor::carryOut(SendCommands& action) {
    if (!entitled()) return deliver_(CommandsAnswered{action.machine, std::nullopt, action.known});
    workers_.request(
        action.address, "POST", paths::kCommands,
        protocol::encodeDirectCommands(fencingToken_, action.incarnation, action.commands), kCommandTimeout,
        whileLeading([this, machine = action.machine, known = action.known](const HttpResult& result) {
            deliver_(readCommandResponse(result, machine, known));
        }));
}

void ActionExecutor::carryOut(WriteState& action) {
    services_.state.transact(
        action.conditions, action.writes, kWriteTimeout,
        whileLeading([this](const TransactionResult& result) { deliver_(StateWritten{result}); }));
}

void ActionExecutor::carryOut(RefreshReplica&) {
    services_.watcher.readLatest(whileLeading([this](FreshRead read) {
        deliver_(ReplicaRefreshed{read == FreshRead::upToDate ? RefreshOutcome::refreshed
                                                              : RefreshOutcome::failed});
    }));
}

void ActionExecutor::carryOut(ScaleOut& action) {
    const auto& name = action.request.name;
    // Only an entitled leader may create and delete machines, as with commands to workers.
    if (!entitled()) return deliver_(ScaleOutCompleted{name, InstanceRequestOutcome::unknown, {}});
    services_.http.request(settings_.cloudAddress, "POST", paths::kInstanceRequest,
                           protocol::encodeInstanceRequest(action.request), kCloudTimeout,
                           whileLeading([this, name](const HttpResult& result) {
                               deliver_(readInstanceRequestAnswer(result, name));
                           }));
}

void ActionExecutor::carryOut(ScaleIn& action) {
    if (!entitled()) return deliver_(ScaleInCompleted{action.machines, ScaleInOutcome::unknown});
    services_.http.request(settings_.cloudAddress, "POST", paths::kInstanceDeletion,
                           protocol::encodeInstanceDeletion(action.machines), kCloudTimeout,
                           whileLeading([this, machines = action.machines](const HttpResult& result) {
                               const auto outcome =
                                   result.ok() ? ScaleInOutcome::deleted : ScaleInOutcome::unknown;
                               deliver_(ScaleInCompleted{machines, outcome});
                           }));
}

void ActionExecutor::carryOut(ListMachines&) {
    const auto listed = std::make_shared<MachinesListed>();
    listed->requestedAt = Clock::now();
    listPage("", listed);
}

void ActionExecutor::listPage(const std::string& after, const std::shared_ptr<MachinesListed>& listed) {
    services_.http.request(
        settings_.cloudAddress, "GET", paths::instancePage(after, kMachinesPerPage), "", kCloudTimeout,
        whileLeading([this, listed](const HttpResult& result) { pageListed(result, listed); }));
}

void ActionExecutor::pageListed(const HttpResult& result, const std::shared_ptr<MachinesListed>& listed) {
    try {
        if (result.ok()) {
            auto page = protocol::decodeInstancePage(result.body);
            std::move(page.machines.begin(), page.machines.end(), std::back_inserter(listed->machines));
            if (page.more && !listed->machines.empty()) return listPage(listed->machines.back().id, listed);
            listed->complete = true;
        }
    } catch (const MalformedMessage& error) {
        spdlog::error("malformed list of machines error={}", error.what());
    }
    deliver_(std::move(*listed));
}

void ActionExecutor::carryOut(ListTypes&) {
    services_.http.request(settings_.cloudAddress, "GET", paths::kTypes, "", kCloudTimeout,
                           whileLeading([this](const HttpResult& result) {
                               if (!result.ok()) return;
                               try {
                                   const auto handle = protocol::unpackBody(result.body);
                                   deliver_(TypesListed{protocol::decodeMachineTypes(handle.get())});
                               } catch (const MalformedMessage& error) {
                                   spdlog::error("malformed list of machine types error={}", error.what());
                               }
                           }));
}

void ActionExecutor::carryOut(Resign& action) {
    spdlog::info("resigning reason={}", nameOf(action.reason));
    services_.election.resign(Clock::now(), resignationFor(action.reason));
}

}  // namespace burlpoint::coordination
