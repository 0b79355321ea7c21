#include "coordination/state/state_watcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "transport/executor.h"

namespace burlpoint::coordination {

using bookkeeping::ReplicaChange;
using protocol::KeyPage;
using storage::ReadStatus;
using namespace std::chrono_literals;

namespace {
// How long the store holds a watch open. When the store answers slowly, only completed watches prove that a
// leader's replica is up to date, so they must complete often.
constexpr auto kWatchWait = 5s;
constexpr auto kWatchTimeout = 7s;
constexpr auto kReadTimeout = 1200ms;     // users wait up to 2 s for an answer
constexpr auto kRetryPause = 400ms;       // after a failed read
constexpr double kReservedRequests = 10;  // requests that watches leave for lease renewals and writes
}  // namespace

StateWatcher::StateWatcher(asio::io_context& io, storage::KeyValueClient& store,
                           bookkeeping::StateReplica& replica, ChangeCallback onChange,
                           Duration minReadInterval)
    : minReadInterval_(minReadInterval),
      store_(store),
      replica_(replica),
      onChange_(std::move(onChange)),
      watchTimer_(io),
      freshReadTimer_(io) {}

void StateWatcher::load() {
    if (load_.inProgress) return;
    load_ = Load{};
    load_.inProgress = true;
    loadPage("");
}

void StateWatcher::loadPage(const std::string& after) {
    store_.page(storage::keys::kRootPrefix, after, [this](ReadStatus status, const KeyPage& page) {
        if (status == ReadStatus::ok) return applyPage(page);
        load_.inProgress = false;
        runAfter(watchTimer_, kRetryPause, &StateWatcher::load);
    });
}

void StateWatcher::applyPage(const KeyPage& page) {
    if (load_.revision == 0) load_.revision = page.revision;
    std::vector<ReplicaChange> changes;
    for (const auto& entry : page.entries) {
        load_.keys.insert(entry.key);
        apply(entry, changes);
    }
    const bool hasMore = page.hasMore && !page.entries.empty();
    if (!hasMore) replica_.dropUnread(load_.keys, changes);
    notifyChanges(changes);
    if (hasMore) return loadPage(page.entries.back().key);
    finishLoad();
}

void StateWatcher::finishLoad() {
    load_.inProgress = false;
    // The watch starts at the revision of the first page, so it returns all changes made during the load.
    replica_.revision = load_.revision;
    replica_.updateEffectivePriorities();
    watch();
    readLatest([](FreshReadResult) {});
}

void StateWatcher::watch() {
    if (watchOpen_ || load_.inProgress) return;
    if (!store_.requestBudget().tryTake(0, kReservedRequests, Clock::now()))
        return scheduleWatch(minReadInterval_ * 2);
    watchOpen_ = true;
    store_.watch(storage::keys::kRootPrefix, replica_.revision, kWatchWait, kWatchTimeout,
                 [this, sent = Clock::now()](ReadStatus status, const KeyPage& page) {
                     watchOpen_ = false;
                     if (status == ReadStatus::tooOld) return load();
                     if (status == ReadStatus::failed) return scheduleWatch(kRetryPause);
                     applyChanges(page, sent);
                     scheduleWatch(minReadInterval_ * 2);
                 });
}

void StateWatcher::scheduleWatch(Duration pause) { runAfter(watchTimer_, pause, &StateWatcher::watch); }

void StateWatcher::readLatest(ReadCallback done) {
    nextReadCallbacks_.push_back(std::move(done));
    if (!freshReadInFlight_ && !freshReadPaused_) sendFreshRead();
}

void StateWatcher::sendFreshRead() {
    freshReadPaused_ = false;
    if (freshReadInFlight_ || nextReadCallbacks_.empty()) return;
    freshReadInFlight_ = true;
    readCallbacks_ = std::exchange(nextReadCallbacks_, {});
    store_.watch(storage::keys::kRootPrefix, replica_.revision, 0s, kReadTimeout,
                 [this, sent = Clock::now()](ReadStatus status, const KeyPage& page) {
                     if (status == ReadStatus::tooOld) load();
                     // During a load the replica mixes keys of different revisions, so it is not a snapshot.
                     if (status != ReadStatus::ok || load_.inProgress)
                         return finishFreshRead(FreshReadResult::failed);
                     applyChanges(page, sent);
                     synced_ = true;
                     finishFreshRead(FreshReadResult::upToDate);
                 });
}

void StateWatcher::finishFreshRead(FreshReadResult result) {
    freshReadInFlight_ = false;
    // A callback may request another read, which is sent immediately, before the pause.
    for (auto& done : std::exchange(readCallbacks_, {})) done(result);
    if (freshReadPaused_) return;
    freshReadPaused_ = true;
    runAfter(freshReadTimer_, minReadInterval_, &StateWatcher::sendFreshRead);
}

void StateWatcher::applyChanges(const KeyPage& page, Time sent) {
    std::vector<ReplicaChange> changes;
    for (const auto& entry : page.entries)
        if (entry.version > replica_.revision) apply(entry, changes);
    replica_.revision = std::max(replica_.revision, page.revision);
    replica_.updateEffectivePriorities();
    notifyChanges(changes);
    currentAsOf_ = std::max(currentAsOf_, sent);
}

void StateWatcher::applyCancellation(const std::string& id, std::uint64_t version) {
    std::vector<ReplicaChange> changes;
    replica_.applyCancellation(id, version, changes);
    notifyChanges(changes);
}

void StateWatcher::apply(const protocol::KeyChange& entry, std::vector<ReplicaChange>& changes) {
    if (!replica_.apply(entry, changes))
        spdlog::error("malformed value in the key-value store key={}", entry.key);
}

void StateWatcher::notifyChanges(const std::vector<ReplicaChange>& changes) const {
    if (!changes.empty()) onChange_(changes);
}

void StateWatcher::runAfter(transport::Timer& timer, Duration pause, void (StateWatcher::*next)()) {
    timer.expires_after(pause);
    timer.async_wait([this, next](auto error) {
        if (!error) (this->*next)();
    });
}

}  // namespace burlpoint::coordination
