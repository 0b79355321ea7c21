#include "coordination/state/state_watcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "transport/executor.h"

namespace burlpoint::coordination {

using bookkeeping::Change;
using protocol::KeyPage;
using storage::ReadStatus;
using namespace std::chrono_literals;

namespace {
// How long the store holds a watch open. Where its answers are slow, the watches are what proves a leader's
// replica up to date, so they must end often enough.
constexpr auto kWatchWait = 5s;
constexpr auto kWatchTimeout = 7s;
constexpr auto kReadTimeout = 1200ms;     // users wait 2 s for an answer
constexpr auto kRetryPause = 400ms;       // after a read that failed
constexpr double kReservedRequests = 10;  // kept for lease renewals and a leader's writes
}  // namespace

StateWatcher::StateWatcher(asio::io_context& io, storage::KeyValueClient& state,
                           bookkeeping::StateReplica& replica, Changed changed, Duration spacing)
    : spacing_(spacing),
      state_(state),
      replica_(replica),
      changed_(std::move(changed)),
      watchTimer_(io),
      freshReadTimer_(io) {}

// --- the load of all keys ---------------------------------------------------------------------------------

void StateWatcher::load() {
    if (load_.underWay) return;
    load_ = Load{};
    load_.underWay = true;
    loadPage("");
}

void StateWatcher::loadPage(const std::string& after) {
    state_.page(storage::keys::kAll, after, [this](ReadStatus status, const KeyPage& page) {
        if (status == ReadStatus::ok) return takePage(page);
        load_.underWay = false;
        runAfter(watchTimer_, kRetryPause, &StateWatcher::load);
    });
}

void StateWatcher::takePage(const KeyPage& page) {
    if (load_.revision == 0) load_.revision = page.revision;
    std::vector<Change> changes;
    for (const auto& entry : page.entries) {
        load_.keys.insert(entry.key);
        apply(entry, changes);
    }
    const bool more = page.more && !page.entries.empty();
    if (!more) replica_.dropUnread(load_.keys, changes);
    tell(changes);
    if (more) return loadPage(page.entries.back().key);
    finishLoad();
}

void StateWatcher::finishLoad() {
    load_.underWay = false;
    // The watch starts at the first page's revision, so it shows what changed while the pages were read.
    replica_.revision = load_.revision;
    replica_.updateEffectivePriorities();
    watch();
    readLatest([](FreshRead) {});
}

// --- the long watch ---------------------------------------------------------------------------------------

void StateWatcher::watch() {
    if (watchOpen_ || load_.underWay) return;
    if (!state_.requests().tryTake(0, kReservedRequests, Clock::now())) return watchAgainAfter(spacing_ * 2);
    watchOpen_ = true;
    state_.watch(storage::keys::kAll, replica_.revision, kWatchWait, kWatchTimeout,
                 [this, sent = Clock::now()](ReadStatus status, const KeyPage& page) {
                     watchOpen_ = false;
                     if (status == ReadStatus::tooOld) return load();
                     if (status == ReadStatus::failed) return watchAgainAfter(kRetryPause);
                     takeChanges(page, sent);
                     watchAgainAfter(spacing_ * 2);
                 });
}

void StateWatcher::watchAgainAfter(Duration pause) { runAfter(watchTimer_, pause, &StateWatcher::watch); }

// --- fresh reads ------------------------------------------------------------------------------------------

void StateWatcher::readLatest(ReadCallback done) {
    nextCallers_.push_back(std::move(done));
    if (!freshReadUnderWay_ && !freshReadPause_) sendFreshRead();
}

void StateWatcher::sendFreshRead() {
    freshReadPause_ = false;
    if (freshReadUnderWay_ || nextCallers_.empty()) return;
    freshReadUnderWay_ = true;
    callers_ = std::exchange(nextCallers_, {});
    state_.watch(storage::keys::kAll, replica_.revision, 0s, kReadTimeout,
                 [this, sent = Clock::now()](ReadStatus status, const KeyPage& page) {
                     if (status == ReadStatus::tooOld) load();
                     // During a load the replica holds keys of different revisions and proves nothing.
                     if (status != ReadStatus::ok || load_.underWay)
                         return finishFreshRead(FreshRead::failed);
                     takeChanges(page, sent);
                     synced_ = true;
                     finishFreshRead(FreshRead::upToDate);
                 });
}

void StateWatcher::finishFreshRead(FreshRead result) {
    freshReadUnderWay_ = false;
    // A callback may ask for another read, which is then sent at once, before the pause.
    for (auto& done : std::exchange(callers_, {})) done(result);
    if (freshReadPause_) return;
    freshReadPause_ = true;
    runAfter(freshReadTimer_, spacing_, &StateWatcher::sendFreshRead);
}

// --- the replica ------------------------------------------------------------------------------------------

void StateWatcher::takeChanges(const KeyPage& page, Time sent) {
    std::vector<Change> changes;
    for (const auto& entry : page.entries)
        if (entry.version > replica_.revision) apply(entry, changes);
    replica_.revision = std::max(replica_.revision, page.revision);
    replica_.updateEffectivePriorities();
    tell(changes);
    asOf_ = std::max(asOf_, sent);
}

void StateWatcher::noteCancelled(const std::string& id, std::uint64_t version) {
    std::vector<Change> changes;
    replica_.noteCancelled(id, version, changes);
    tell(changes);
}

void StateWatcher::apply(const protocol::KeyChange& entry, std::vector<Change>& changes) {
    if (!replica_.apply(entry, changes))
        spdlog::error("malformed value in the key-value store key={}", entry.key);
}

void StateWatcher::tell(const std::vector<Change>& changes) const {
    if (!changes.empty()) changed_(changes);
}

void StateWatcher::runAfter(transport::Timer& timer, Duration pause, void (StateWatcher::*next)()) {
    timer.expires_after(pause);
    timer.async_wait([this, next](auto error) {
        if (!error) (this->*next)();
    });
}

}  // namespace burlpoint::coordination
