#include "coordination/controller/periodic_tasks.h"

#include <spdlog/spdlog.h>

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {

constexpr auto kTickInterval = 100ms;
// The greatest age of the newest read before one is made to keep the replica fresh. A leader must know what
// is cancelled.
constexpr auto kMaxReadAge = 800ms;
constexpr auto kLeaderMaxReadAge = 400ms;
constexpr auto kServedWithin = 3s;  // an answer of the key-value store no older shows that it serves
constexpr auto kCleanUpInterval = 5s;
constexpr auto kMaxConnectionIdle = 20s;

}  // namespace

PeriodicTasks::PeriodicTasks(asio::io_context& io, const PeriodicTasksContext& context)
    : context_(context), timer_(io) {}

void PeriodicTasks::tick() {
    const auto now = Clock::now();
    if (nextTick_ != Time{}) context_.overload.noteTick(nextTick_, now);
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
    const bool tooOldToLead = leading && now - context_.watcher.asOf() > kLeaderMaxReadAge;
    if (!tooOldToLead && now - context_.state.lastAnswer() <= kMaxReadAge) return;
    nextRead_ = now + (leading ? kLeaderMaxReadAge : kMaxReadAge);
    context_.watcher.readLatest([](auto) {});
}

// A controller that alone is refused by the key-value store cannot lead for long: better that a peer does it
// at once.
void PeriodicTasks::resignIfOnlyThisControllerRefused(Time now) {
    if (!context_.leader.leader() || !context_.peers.onlyThisControllerRefused(now)) return;
    resign(ResignationReason::onlyThisControllerRefused, now);
}

// Seen on a simulated day: a leader three times slower than its peers for 30 s kept the leadership for 7 s
// more, answered no worker in time, and the leases of a third of them expired.
void PeriodicTasks::resignIfOverloaded(Time now) {
    if (!context_.leader.leader() || !context_.overload.shouldResign(now)) return;
    // In an outage no peer could win the leadership, and none should that cannot reach the others.
    if (now - context_.state.lastAnswer() > kServedWithin) return;
    if (!context_.peers.anyPeerInTouch(now)) return;
    context_.overload.noteResigned(now);
    resign(ResignationReason::overloaded, now);
}

/// Resigns, and tells the peers at once.
void PeriodicTasks::resign(ResignationReason reason, Time now) {
    spdlog::info("resigning reason={}", nameOf(reason));
    context_.election.resign(now, resignationFor(reason));
    context_.peers.exchangeFrom(now);
}

void PeriodicTasks::updateReadiness(Time now) {
    const bool able = context_.watcher.synced() && !context_.replica.types.empty() &&
                      !context_.peers.onlyThisControllerRefused(now);
    context_.readiness.update(able, now);
}

void PeriodicTasks::cleanUp(Time now) {
    if (now < nextCleanUp_) return;
    nextCleanUp_ = now + kCleanUpInterval;
    context_.http.closeIdle(kMaxConnectionIdle);
    context_.executor.closeIdle(kMaxConnectionIdle);
    context_.forwarder.dropObsolete(now);
}

}  // namespace burlpoint::coordination
