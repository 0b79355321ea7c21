#include "coordination/controller/periodic_tasks.h"

#include <spdlog/spdlog.h>

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {

constexpr auto kTickInterval = 100ms;
// A read is made if the key-value store's last response to any request is older than this.
constexpr auto kMaxReadAge = 800ms;
// A leader also reads if its last successful read is older than this, as it must know of cancellations.
constexpr auto kLeaderMaxReadAge = 400ms;
constexpr auto kMaxStoreResponseAge = 3s;  // a newer response shows that the key-value store is available
constexpr auto kCleanUpInterval = 5s;
constexpr auto kMaxConnectionIdle = 20s;

}  // namespace

PeriodicTasks::PeriodicTasks(asio::io_context& io, const PeriodicTasksContext& context)
    : context_(context), timer_(io) {}

void PeriodicTasks::tick() {
    const auto now = Clock::now();
    if (nextTick_ != Time{}) context_.overload.recordTick(nextTick_, now);
    context_.election.tick(now);
    if (context_.leader.leader() && context_.election.valid(now)) context_.leader.handle(Tick{});
    keepReplicaFresh(now);
    resignIfOnlyThisControllerRefused(now);
    resignIfOverloaded(now);
    updateReadiness(now);
    context_.peers.exchangeIfDue(now);
    cleanUp(now);
    nextTick_ = now + kTickInterval;
    timer_.expires_at(nextTick_);
    timer_.async_wait([this](auto error) {
        if (!error) tick();
    });
}

void PeriodicTasks::keepReplicaFresh(Time now) {
    if (now < nextRead_) return;
    const bool leading = context_.leader.leader() != nullptr;
    const bool tooOldToLead = leading && now - context_.watcher.currentAsOf() > kLeaderMaxReadAge;
    if (!tooOldToLead && now - context_.store.lastAnswerAt() <= kMaxReadAge) return;
    nextRead_ = now + (leading ? kLeaderMaxReadAge : kMaxReadAge);
    context_.watcher.readLatest([](auto) {});
}

// A leader that is the only controller refused by the key-value store cannot keep its lease, so it resigns at
// once in favour of a peer.
void PeriodicTasks::resignIfOnlyThisControllerRefused(Time now) {
    if (!context_.leader.leader() || !context_.peers.onlyThisControllerRefused(now)) return;
    resign(ResignationReason::onlyThisControllerRefused, now);
}

// Guards against a slow leader: in a simulation, a leader that was three times slower than its peers for 30 s
// kept the leadership for 7 s more and answered no worker in time, and the leases of a third of the workers
// expired.
void PeriodicTasks::resignIfOverloaded(Time now) {
    if (!context_.leader.leader() || !context_.overload.shouldResign(now)) return;
    // During an outage of the key-value store no peer could become leader, and a peer that cannot reach the
    // other controllers should not become leader.
    if (now - context_.store.lastAnswerAt() > kMaxStoreResponseAge) return;
    if (!context_.peers.hasRecentPeerStatus(now)) return;
    context_.overload.recordResignation(now);
    resign(ResignationReason::overloaded, now);
}

/// Resigns and informs the peers at once.
void PeriodicTasks::resign(ResignationReason reason, Time now) {
    spdlog::info("resigning leadership reason={}", nameOf(reason));
    context_.election.resign(now, resignationFor(reason));
    context_.peers.scheduleExchange(now);
}

void PeriodicTasks::updateReadiness(Time now) {
    const bool healthy = context_.watcher.synced() && !context_.replica.types.empty() &&
                         !context_.peers.onlyThisControllerRefused(now);
    context_.readiness.update(healthy, now);
}

void PeriodicTasks::cleanUp(Time now) {
    if (now < nextCleanUp_) return;
    nextCleanUp_ = now + kCleanUpInterval;
    context_.http.closeIdle(kMaxConnectionIdle);
    context_.executor.closeIdle(kMaxConnectionIdle);
    context_.forwarder.dropObsolete(now);
}

}  // namespace burlpoint::coordination
