#include "simulation/simulated_store.h"

#include <algorithm>

#include "protocol/msgpack_codec.h"

namespace burlpoint::simulation {

using namespace std::chrono_literals;
using coordination::StateWritten;
using storage::TerminalState;
using storage::TransactionStatus;

namespace {

constexpr auto kWriteTimeout = 1500ms;  // the leader's timeout for a transaction

StateWritten unavailable() {
    StateWritten written;
    written.result.status = TransactionStatus::unavailable;
    return written;
}

}  // namespace

SimulatedStore::SimulatedStore(Environment& environment) : environment_(environment) {
    commitImmediately({},
                      {{storage::keys::kToken, storage::encodeToken(1), 0},
                       {storage::keys::kTypes, protocol::encodeMachineTypes(environment.machineTypes), 0}});
}

void SimulatedStore::lowerLimits(Seconds after, tests::StubLimits limits) {
    loweredLimits_ = limits;
    nextRefill_ = environment_.now() + toClockDuration(after);
}

void SimulatedStore::step() {
    if (!loweredLimits_ || environment_.now() < nextRefill_) return;
    store_.limits = *loweredLimits_;
    nextRefill_ = environment_.now() + 1s;
}

void SimulatedStore::commitImmediately(const std::vector<protocol::KeyCondition>& conditions,
                                       const std::vector<protocol::KeyWrite>& writes) {
    std::vector<std::string> failedKeys;
    store_.transact(conditions, writes, failedKeys);
}

storage::TransactionResult SimulatedStore::apply(const coordination::WriteState& action) {
    storage::TransactionResult result;
    if (const auto refusal = store_.refusal(action.conditions, action.writes)) {
        result.status = *refusal;
        return result;
    }
    result.revision = store_.transact(action.conditions, action.writes, result.failed);
    lastFailedKey_ = result.failed.empty() ? "" : result.failed.front();
    result.status = result.revision ? TransactionStatus::applied : TransactionStatus::conflict;
    return result;
}

void SimulatedStore::commit(const coordination::WriteState& action, const Requester& requester) {
    auto& random = environment_.random;
    const auto& faults = environment_.faults;
    auto& occurrences = environment_.occurrences;
    if (action.writes.size() > environment_.settings.maxTransactionWrites)
        environment_.violations.push_back("a transaction has more writes than its limit");
    if (!requester.reachesStore || random.chance(faults.lateExecutionProbability)) {
        if (random.chance(0.7))
            environment_.events.schedule(random.delay(0, 25), [this, action] { apply(action); });
        return requester.respond(kWriteTimeout, StateWritten{});
    }
    if (random.chanceUnlessZero(faults.unansweredWriteProbability)) {
        environment_.events.schedule(random.delay(2, 12), [this, action, &occurrences] {
            occurrences.lateWritesRejected += apply(action).revision == 0;
        });
        return requester.respond(kWriteTimeout, StateWritten{});
    }
    if (latency_ > Seconds(0)) return commitSlowly(action, requester);
    if (isUnavailable() || random.chance(faults.messageLossProbability))
        return requester.respond(10ms, unavailable());
    environment_.events.schedule(random.delay(0, 0.1), [this, action, requester] {
        requester.respond(5ms, StateWritten{apply(action)});
    });
}

/// Delays the request and the response by random times up to the latency. The transaction is applied even if
/// the leader has timed out.
void SimulatedStore::commitSlowly(const coordination::WriteState& action, const Requester& requester) {
    const auto requestDelay = environment_.random.delay(0, latency_.count());
    const auto responseDelay = environment_.random.delay(0, latency_.count());
    const bool answeredInTime = requestDelay + responseDelay <= kWriteTimeout;
    environment_.events.schedule(requestDelay, [this, action, requester, responseDelay, answeredInTime] {
        const auto written = isUnavailable() ? unavailable() : StateWritten{apply(action)};
        if (answeredInTime) requester.respond(responseDelay, written);
    });
    if (!answeredInTime) requester.respond(kWriteTimeout, StateWritten{});
}

std::vector<bookkeeping::ReplicaChange> SimulatedStore::readChanges(bookkeeping::StateReplica& replica,
                                                                    std::size_t& position) const {
    std::vector<bookkeeping::ReplicaChange> changes;
    for (; position < store_.log.size(); ++position) {
        const auto& event = store_.log[position];
        msgpack::object_handle handle;
        if (event.data) handle = protocol::unpackBody(*event.data);
        replica.apply({event.key, event.data ? &handle.get() : nullptr, event.version}, changes);
    }
    return changes;
}

std::uint64_t SimulatedStore::fencingToken() const {
    return storage::decodeToken(protocol::unpackBody(store_.values.at(storage::keys::kToken).data).get());
}

storage::JobRecord SimulatedStore::recordOf(const std::string& job) const {
    return storage::decodeJob(protocol::unpackBody(store_.values.at(storage::keys::job(job)).data).get());
}

TerminalState SimulatedStore::terminalStateOf(const std::string& job) const {
    const auto stored = recordOf(job).terminalState;
    if (stored != TerminalState::none) return stored;
    const auto& dependencies = environment_.jobs.specs.at(job).dependencies;
    const bool cancelled = std::any_of(dependencies.begin(), dependencies.end(), [&](const auto& dependency) {
        return terminalStateOf(dependency) == TerminalState::cancelled;
    });
    return cancelled ? TerminalState::cancelled : stored;
}

bool SimulatedStore::dependenciesDone(const std::string& job) const {
    const auto& dependencies = environment_.jobs.specs.at(job).dependencies;
    return std::all_of(dependencies.begin(), dependencies.end(), [&](const auto& dependency) {
        return recordOf(dependency).terminalState == TerminalState::done;
    });
}

}  // namespace burlpoint::simulation
