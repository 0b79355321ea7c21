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
constexpr unsigned kPageMachines = 500;  // in one page of the cloud's list

/// What a worker's answer to orders tells. 409 carries a heartbeat, too.
CommandsAnswered readCommandResponse(const HttpResult& outcome, const std::string& machine,
                                     const bookkeeping::HeartbeatVersion& known) {
    CommandsAnswered answered{machine, std::nullopt, known};
    try {
        if (outcome.status == 200 || outcome.status == 409)
            answered.heartbeat = protocol::decodeHeartbeat(outcome.body);
    } catch (const MalformedMessage& error) {
        spdlog::error("malformed answer of {}: {}", machine, error.what());
    }
    return answered;
}

/// What the cloud's answer to the instance request called `name` tells.
ScaleOutCompleted readInstanceRequestAnswer(const HttpResult& outcome, const std::string& name) {
    ScaleOutCompleted answered;
    answered.name = name;
    const bool noCapacity = outcome.status == 503 && protocol::saysNoCapacity(outcome.body);
    if (outcome.status == 400 || noCapacity) answered.outcome = InstanceRequestOutcome::rejected;
    if (!outcome.ok()) return answered;
    try {
        answered.machines = protocol::decodeInstanceIds(outcome.body);
        answered.outcome = InstanceRequestOutcome::fulfilled;
    } catch (const MalformedMessage& error) {
        spdlog::error("malformed answer of the cloud: {}", error.what());
    }
    return answered;
}

}  // namespace

ActionExecutor::ActionExecutor(asio::io_context& io, const protocol::Settings& settings,
                               std::size_t workerSockets, Services services, Deliver deliver)
    : settings_(settings), workers_(io, workerSockets), services_(services), deliver_(std::move(deliver)) {}

void ActionExecutor::begin(std::uint64_t fencingToken) {
    ++round_;
    fencingToken_ = fencingToken;
}

void ActionExecutor::end() {
    ++round_;
    fencingToken_ = 0;
    for (auto& [request, reply] : std::exchange(heartbeats_, {})) reply(protocol::respond(503));
}

std::uint64_t ActionExecutor::awaitAnswer(Reply reply) {
    const auto request = ++lastRequest_;
    heartbeats_[request] = std::move(reply);
    return request;
}

bool ActionExecutor::entitled() const { return services_.election.valid(Clock::now()); }

void ActionExecutor::perform(Action& action) {
    std::visit([this](auto& a) { carryOut(a); }, action);
}

void ActionExecutor::carryOut(AnswerHeartbeat& action) {
    const auto found = heartbeats_.find(action.request);
    if (found == heartbeats_.end()) return;
    const auto reply = std::move(found->second);
    heartbeats_.erase(found);
    if (!action.accepted || !entitled()) return reply(protocol::respond(503));
    reply(protocol::respond(200, protocol::encodeHeartbeatResponse(fencingToken_, action.commands)));
}

void ActionExecutor::carryOut(SendCommands& action) {
    if (!entitled()) return deliver_(CommandsAnswered{action.machine, std::nullopt, action.known});
    workers_.request(
        action.address, "POST", paths::kCommands,
        protocol::encodeDirectCommands(fencingToken_, action.incarnation, action.commands), kCommandTimeout,
        [this, round = round_, machine = action.machine, known = action.known](const HttpResult& outcome) {
            if (round == round_) deliver_(readCommandResponse(outcome, machine, known));
        });
}

void ActionExecutor::carryOut(WriteState& action) {
    services_.state.transact(action.conditions, action.writes, kWriteTimeout,
                             [this, round = round_](const TransactionResult& result) {
                                 if (round == round_) deliver_(StateWritten{result});
                             });
}

void ActionExecutor::carryOut(RefreshReplica&) {
    services_.watcher.readLatest([this, round = round_](FreshRead read) {
        if (round == round_) deliver_(ReplicaRefreshed{read == FreshRead::upToDate});
    });
}

void ActionExecutor::carryOut(ScaleOut& action) {
    // Renting and deleting are a leader's business as much as commands are.
    if (!entitled()) {
        ScaleOutCompleted unknown;
        unknown.name = action.request.name;
        return deliver_(std::move(unknown));
    }
    services_.http.request(settings_.cloudAddress, "POST", paths::kInstanceRequest,
                           protocol::encodeInstanceRequest(action.request), kCloudTimeout,
                           [this, round = round_, name = action.request.name](const HttpResult& outcome) {
                               if (round == round_) deliver_(readInstanceRequestAnswer(outcome, name));
                           });
}

void ActionExecutor::carryOut(ScaleIn& action) {
    if (!entitled()) return deliver_(ScaleInCompleted{action.machines, false});
    services_.http.request(settings_.cloudAddress, "POST", paths::kInstanceDeletion,
                           protocol::encodeInstanceDeletion(action.machines), kCloudTimeout,
                           [this, round = round_, machines = action.machines](const HttpResult& outcome) {
                               if (round == round_) deliver_(ScaleInCompleted{machines, outcome.ok()});
                           });
}

void ActionExecutor::carryOut(ListMachines&) {
    const auto listed = std::make_shared<MachinesListed>();
    listed->asked = Clock::now();
    listPage("", listed);
}

/// Adds the page after that machine to the list, and the pages after it. A page that fails ends the list,
/// which is told as incomplete.
void ActionExecutor::listPage(const std::string& after, const std::shared_ptr<MachinesListed>& listed) {
    services_.http.request(settings_.cloudAddress, "GET", paths::instancePage(after, kPageMachines), "",
                           kCloudTimeout, [this, round = round_, listed](const HttpResult& outcome) {
                               if (round != round_) return;
                               try {
                                   if (outcome.ok()) {
                                       auto page = protocol::decodeInstancePage(outcome.body);
                                       std::move(page.machines.begin(), page.machines.end(),
                                                 std::back_inserter(listed->machines));
                                       if (page.more && !listed->machines.empty())
                                           return listPage(listed->machines.back().id, listed);
                                       listed->ok = true;
                                   }
                               } catch (const MalformedMessage& error) {
                                   spdlog::error("malformed list of machines: {}", error.what());
                               }
                               deliver_(std::move(*listed));
                           });
}

void ActionExecutor::carryOut(ListTypes&) {
    services_.http.request(settings_.cloudAddress, "GET", paths::kTypes, "", kCloudTimeout,
                           [this, round = round_](const HttpResult& outcome) {
                               if (round != round_ || !outcome.ok()) return;
                               try {
                                   const auto handle = protocol::unpackBody(outcome.body);
                                   deliver_(TypesListed{protocol::decodeMachineTypes(handle.get())});
                               } catch (const MalformedMessage& error) {
                                   spdlog::error("malformed list of machine types: {}", error.what());
                               }
                           });
}

void ActionExecutor::carryOut(Resign& action) {
    spdlog::info("resigning: {}", action.why);
    using Resignation = Election::Resignation;
    services_.election.resign(Clock::now(),
                              action.deferToPeers ? Resignation::deferToPeers : Resignation::mayTryAgain);
}

}  // namespace burlpoint::coordination
