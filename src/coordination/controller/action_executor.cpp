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
constexpr unsigned kMachinesPerPage = 500;  // in a request for the cloud's machine list

/// Reads the response to direct commands. A worker that rejects them with 409 returns a heartbeat, too.
CommandsAnswered readCommandResponse(const HttpResult& result, const std::string& machine,
                                     const bookkeeping::HeartbeatVersion& latestVersionAtSend) {
    CommandsAnswered event{machine, std::nullopt, latestVersionAtSend};
    try {
        if (result.status == 200 || result.status == 409)
            event.heartbeat = protocol::decodeHeartbeat(result.body);
    } catch (const MalformedMessage& error) {
        spdlog::error("malformed worker response machine={} error={}", machine, error.what());
    }
    return event;
}

/// Reads the cloud's response to the instance request `name`.
ScaleOutCompleted readInstanceResponse(const HttpResult& result, const std::string& name) {
    ScaleOutCompleted event;
    event.name = name;
    const bool noCapacity = result.status == 503 && protocol::isCapacityError(result.body);
    if (result.status == 400 || noCapacity) event.outcome = InstanceRequestOutcome::rejected;
    if (!result.ok()) return event;
    try {
        event.machines = protocol::decodeInstanceIds(result.body);
        event.outcome = InstanceRequestOutcome::fulfilled;
    } catch (const MalformedMessage& error) {
        spdlog::error("malformed cloud response request={} error={}", name, error.what());
    }
    return event;
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
    for (auto& [request, reply] : std::exchange(pendingHeartbeats_, {})) reply(protocol::makeResponse(503));
}

std::uint64_t ActionExecutor::addPendingHeartbeat(Reply reply) {
    const auto request = ++lastRequest_;
    pendingHeartbeats_[request] = std::move(reply);
    return request;
}

bool ActionExecutor::mayActAsLeader() const { return services_.election.valid(Clock::now()); }

template <typename Handle>
auto ActionExecutor::whileLeading(Handle handle) const {
    return [this, epoch = epoch_, handle = std::move(handle)](const auto& result) {
        if (epoch == epoch_) handle(result);
    };
}

void ActionExecutor::perform(Action& action) {
    std::visit([this](auto& a) { execute(a); }, action);
}

void ActionExecutor::execute(AnswerHeartbeat& action) {
    const auto found = pendingHeartbeats_.find(action.request);
    if (found == pendingHeartbeats_.end()) return;
    const auto reply = std::move(found->second);
    pendingHeartbeats_.erase(found);
    if (action.verdict == HeartbeatVerdict::refused || !mayActAsLeader())
        return reply(protocol::makeResponse(503));
    reply(protocol::makeResponse(200, protocol::encodeHeartbeatResponse(fencingToken_, action.commands)));
}

void ActionExecutor::execute(SendCommands& action) {
    if (!mayActAsLeader())
        return deliver_(CommandsAnswered{action.machine, std::nullopt, action.latestVersionAtSend});
    workers_.request(
        action.address, "POST", paths::kCommands,
        protocol::encodeDirectCommands(fencingToken_, action.incarnation, action.commands), kCommandTimeout,
        whileLeading([this, machine = action.machine,
                      latestVersionAtSend = action.latestVersionAtSend](const HttpResult& result) {
            deliver_(readCommandResponse(result, machine, latestVersionAtSend));
        }));
}

void ActionExecutor::execute(WriteState& action) {
    services_.store.transact(
        action.conditions, action.writes, kWriteTimeout,
        whileLeading([this](const TransactionResult& result) { deliver_(StateWritten{result}); }));
}

void ActionExecutor::execute(RefreshReplica&) {
    services_.watcher.readLatest(whileLeading([this](FreshReadResult read) {
        deliver_(ReplicaRefreshed{read == FreshReadResult::upToDate ? RefreshOutcome::refreshed
                                                                    : RefreshOutcome::failed});
    }));
}

void ActionExecutor::execute(ScaleOut& action) {
    const auto& name = action.request.name;
    // Like commands to workers, requests to create or delete machines may be sent only under a valid leader
    // lease.
    if (!mayActAsLeader()) return deliver_(ScaleOutCompleted{name, InstanceRequestOutcome::unknown, {}});
    services_.http.request(settings_.cloudAddress, "POST", paths::kInstanceRequest,
                           protocol::encodeInstanceRequest(action.request), kCloudTimeout,
                           whileLeading([this, name](const HttpResult& result) {
                               deliver_(readInstanceResponse(result, name));
                           }));
}

void ActionExecutor::execute(ScaleIn& action) {
    if (!mayActAsLeader()) return deliver_(ScaleInCompleted{action.machines, ScaleInOutcome::unknown});
    services_.http.request(settings_.cloudAddress, "POST", paths::kInstanceDeletion,
                           protocol::encodeInstanceDeletion(action.machines), kCloudTimeout,
                           whileLeading([this, machines = action.machines](const HttpResult& result) {
                               const auto outcome =
                                   result.ok() ? ScaleInOutcome::deleted : ScaleInOutcome::unknown;
                               deliver_(ScaleInCompleted{machines, outcome});
                           }));
}

void ActionExecutor::execute(ListMachines&) {
    const auto listed = std::make_shared<MachinesListed>();
    listed->requestedAt = Clock::now();
    requestPage("", listed);
}

void ActionExecutor::requestPage(const std::string& after, const std::shared_ptr<MachinesListed>& listed) {
    services_.http.request(
        settings_.cloudAddress, "GET", paths::instancePage(after, kMachinesPerPage), "", kCloudTimeout,
        whileLeading([this, listed](const HttpResult& result) { handlePage(result, listed); }));
}

void ActionExecutor::handlePage(const HttpResult& result, const std::shared_ptr<MachinesListed>& listed) {
    try {
        if (result.ok()) {
            auto page = protocol::decodeInstancePage(result.body);
            std::move(page.machines.begin(), page.machines.end(), std::back_inserter(listed->machines));
            if (page.hasMore && !listed->machines.empty())
                return requestPage(listed->machines.back().id, listed);
            listed->complete = true;
        }
    } catch (const MalformedMessage& error) {
        spdlog::error("malformed machine list from cloud error={}", error.what());
    }
    deliver_(std::move(*listed));
}

void ActionExecutor::execute(ListTypes&) {
    services_.http.request(settings_.cloudAddress, "GET", paths::kTypes, "", kCloudTimeout,
                           whileLeading([this](const HttpResult& result) {
                               if (!result.ok()) return;
                               try {
                                   const auto handle = protocol::unpackBody(result.body);
                                   deliver_(TypesListed{protocol::decodeMachineTypes(handle.get())});
                               } catch (const MalformedMessage& error) {
                                   spdlog::error("malformed machine type list from cloud error={}",
                                                 error.what());
                               }
                           }));
}

void ActionExecutor::execute(Resign& action) {
    spdlog::info("resigning leadership reason={}", nameOf(action.reason));
    services_.election.resign(Clock::now(), resignationFor(action.reason));
}

}  // namespace burlpoint::coordination
