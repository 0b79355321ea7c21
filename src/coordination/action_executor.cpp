#include "coordination/action_executor.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "coordination/responses.h"
#include "protocol/cloud_messages.h"
#include "protocol/worker_messages.h"

namespace burlpoint::coordination {

using protocol::Malformed;
using storage::TxnResult;
using transport::Outcome;
using transport::Reply;
using namespace std::chrono_literals;

namespace paths = protocol::paths;

namespace {

constexpr auto kOrdersTimeout = 2500ms;
constexpr auto kCloudTimeout = 6000ms;
constexpr auto kWriteTimeout = 1500ms;
constexpr unsigned kPageMachines = 500;  // in one page of the cloud's list

/// What a worker's answer to orders tells. 409 carries a report, too.
WorkerAnswered readWorkerAnswer(const Outcome& outcome, const std::string& machine,
                                const bookkeeping::MessageOrder& known) {
    WorkerAnswered answered{machine, std::nullopt, known};
    try {
        if (outcome.status == 200 || outcome.status == 409)
            answered.report = protocol::decodeReport(outcome.body);
    } catch (const Malformed& error) {
        spdlog::error("malformed answer of {}: {}", machine, error.what());
    }
    return answered;
}

/// What the cloud's answer to the rental called `name` tells.
RentalAnswered readRentalAnswer(const Outcome& outcome, const std::string& name) {
    RentalAnswered answered;
    answered.name = name;
    const bool noCapacity = outcome.status == 503 && protocol::saysNoCapacity(outcome.body);
    if (outcome.status == 400 || noCapacity) answered.outcome = RentalOutcome::turnedDown;
    if (!outcome.ok()) return answered;
    try {
        answered.machines = protocol::decodeRentalReply(outcome.body);
        answered.outcome = RentalOutcome::carriedOut;
    } catch (const Malformed& error) {
        spdlog::error("malformed answer of the cloud: {}", error.what());
    }
    return answered;
}

}  // namespace

ActionExecutor::ActionExecutor(asio::io_context& io, const protocol::Settings& settings,
                               std::size_t workerSockets, Services services, Deliver deliver)
    : settings_(settings), workers_(io, workerSockets), services_(services), deliver_(std::move(deliver)) {}

void ActionExecutor::begin(std::uint64_t token) {
    ++round_;
    token_ = token;
}

void ActionExecutor::end() {
    ++round_;
    token_ = 0;
    for (auto& [request, reply] : std::exchange(reports_, {})) reply(respond(503));
}

std::uint64_t ActionExecutor::awaitAnswer(Reply reply) {
    const auto request = ++lastRequest_;
    reports_[request] = std::move(reply);
    return request;
}

bool ActionExecutor::entitled() const { return services_.election.valid(transport::Clock::now()); }

void ActionExecutor::perform(Action& action) {
    std::visit([this](auto& a) { carryOut(a); }, action);
}

void ActionExecutor::carryOut(AnswerReport& action) {
    const auto found = reports_.find(action.request);
    if (found == reports_.end()) return;
    const auto reply = std::move(found->second);
    reports_.erase(found);
    if (!action.accepted || !entitled()) return reply(respond(503));
    reply(respond(200, protocol::encodeReportReply(token_, action.orders)));
}

void ActionExecutor::carryOut(SendOrders& action) {
    if (!entitled()) return deliver_(WorkerAnswered{action.machine, std::nullopt, action.known});
    workers_.request(
        action.address, "POST", paths::kOrders,
        protocol::encodeDirectOrders(token_, action.session, action.orders), kOrdersTimeout,
        [this, round = round_, machine = action.machine, known = action.known](const Outcome& outcome) {
            if (round == round_) deliver_(readWorkerAnswer(outcome, machine, known));
        });
}

void ActionExecutor::carryOut(WriteState& action) {
    services_.state.transact(action.conditions, action.writes, kWriteTimeout,
                             [this, round = round_](const TxnResult& result) {
                                 if (round == round_) deliver_(StateWritten{result});
                             });
}

void ActionExecutor::carryOut(RefreshReplica&) {
    services_.watcher.fresh([this, round = round_](bool ok) {
        if (round == round_) deliver_(ReplicaRefreshed{ok});
    });
}

void ActionExecutor::carryOut(Rent& action) {
    // Renting and deleting are a leader's business as much as commands are.
    if (!entitled()) {
        RentalAnswered unknown;
        unknown.name = action.request.name;
        return deliver_(std::move(unknown));
    }
    services_.http.request(settings_.cloud, "POST", paths::kRentals, protocol::encodeRental(action.request),
                           kCloudTimeout,
                           [this, round = round_, name = action.request.name](const Outcome& outcome) {
                               if (round == round_) deliver_(readRentalAnswer(outcome, name));
                           });
}

void ActionExecutor::carryOut(Release& action) {
    if (!entitled()) return deliver_(ReleaseAnswered{action.machines, false});
    services_.http.request(settings_.cloud, "POST", paths::kRelease, protocol::encodeRelease(action.machines),
                           kCloudTimeout,
                           [this, round = round_, machines = action.machines](const Outcome& outcome) {
                               if (round == round_) deliver_(ReleaseAnswered{machines, outcome.ok()});
                           });
}

void ActionExecutor::carryOut(ListMachines&) {
    const auto listed = std::make_shared<MachinesListed>();
    listed->asked = transport::Clock::now();
    listPage("", listed);
}

/// Adds the page after that machine to the list, and the pages after it. A page that fails ends the list,
/// which is told as incomplete.
void ActionExecutor::listPage(const std::string& after, const std::shared_ptr<MachinesListed>& listed) {
    services_.http.request(settings_.cloud, "GET", paths::rentedPage(after, kPageMachines), "", kCloudTimeout,
                           [this, round = round_, listed](const Outcome& outcome) {
                               if (round != round_) return;
                               try {
                                   if (outcome.ok()) {
                                       auto page = protocol::decodeRentedPage(outcome.body);
                                       std::move(page.machines.begin(), page.machines.end(),
                                                 std::back_inserter(listed->machines));
                                       if (page.more && !listed->machines.empty())
                                           return listPage(listed->machines.back().id, listed);
                                       listed->ok = true;
                                   }
                               } catch (const Malformed& error) {
                                   spdlog::error("malformed list of machines: {}", error.what());
                               }
                               deliver_(std::move(*listed));
                           });
}

void ActionExecutor::carryOut(ListTypes&) {
    services_.http.request(settings_.cloud, "GET", paths::kTypes, "", kCloudTimeout,
                           [this, round = round_](const Outcome& outcome) {
                               if (round != round_ || !outcome.ok()) return;
                               try {
                                   const auto handle = protocol::unpackBody(outcome.body);
                                   deliver_(TypesListed{protocol::decodeMachineTypes(handle.get())});
                               } catch (const Malformed& error) {
                                   spdlog::error("malformed list of machine types: {}", error.what());
                               }
                           });
}

void ActionExecutor::carryOut(Resign& action) {
    spdlog::info("resigning: {}", action.why);
    services_.election.resign(transport::Clock::now(), action.deferToPeers);
}

}  // namespace burlpoint::coordination
