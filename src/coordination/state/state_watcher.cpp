#include "coordination/state/state_watcher.h"

#include <spdlog/spdlog.h>

#include "transport/executor.h"

namespace burlpoint::coordination {

using bookkeeping::Change;
using protocol::KeyPage;
using storage::ReadStatus;
using namespace std::chrono_literals;

namespace {
constexpr auto kWatch = 5s;  // where the service is slow, a leader proves by these that it is up to date
constexpr auto kWatchTimeout = 7s;
constexpr auto kReadTimeout = 1200ms;  // users wait 2 s for an answer
constexpr auto kRetry = 400ms;         // after a read that failed
constexpr double kReserve = 10;        // requests kept for lease renewals and a leader's writes
}  // namespace

StateWatcher::StateWatcher(asio::io_context& io, storage::KeyValueClient& state,
                           bookkeeping::StateReplica& replica, Changed changed, Duration spacing)
    : spacing_(spacing),
      state_(state),
      replica_(replica),
      changed_(std::move(changed)),
      pollTimer_(io),
      readTimer_(io) {}

void StateWatcher::later(transport::Timer& timer, Duration pause, void (StateWatcher::*next)()) {
    timer.expires_after(pause);
    timer.async_wait([this, next](auto error) {
        if (!error) (this->*next)();
    });
}

void StateWatcher::load() {
    if (loading_) return;
    loading_ = true;
    read_.clear();
    loadRevision_ = 0;
    loadPage("");
}

void StateWatcher::loadPage(const std::string& after) {
    state_.page(storage::keys::kAll, after, [this](ReadStatus status, const KeyPage& page) {
        if (status != ReadStatus::ok) {
            loading_ = false;
            return later(pollTimer_, kRetry, &StateWatcher::load);
        }
        if (loadRevision_ == 0) loadRevision_ = page.revision;
        std::vector<Change> changes;
        for (const auto& entry : page.entries) {
            read_.insert(entry.key);
            if (!replica_.apply(entry, changes))
                spdlog::error("the value of {} in the state service is malformed", entry.key);
        }
        const bool more = page.more && !page.entries.empty();
        if (!more) replica_.dropUnread(read_, changes);
        if (!changes.empty()) changed_(changes);
        if (more) return loadPage(page.entries.back().key);
        loading_ = false;
        // What changed while the pages were read follows from the first page's revision on.
        replica_.revision = loadRevision_;
        replica_.updateEffectivePriorities();
        poll();
        readLatest([](bool) {});
    });
}

void StateWatcher::take(const KeyPage& page) {
    std::vector<Change> changes;
    for (const auto& entry : page.entries) {
        if (entry.version <= replica_.revision) continue;
        if (!replica_.apply(entry, changes))
            spdlog::error("the value of {} in the state service is malformed", entry.key);
    }
    replica_.revision = std::max(replica_.revision, page.revision);
    replica_.updateEffectivePriorities();
    if (!changes.empty()) changed_(changes);
}

void StateWatcher::noteCancelled(const std::string& id, std::uint64_t version) {
    std::vector<Change> changes;
    replica_.noteCancelled(id, version, changes);
    if (!changes.empty()) changed_(changes);
}

void StateWatcher::poll() {
    if (polling_ || loading_) return;
    if (!state_.requests().tryTake(0, kReserve, Clock::now()))
        return later(pollTimer_, spacing_ * 2, &StateWatcher::poll);
    polling_ = true;
    state_.watch(storage::keys::kAll, replica_.revision, kWatch, kWatchTimeout,
                 [this, sent = Clock::now()](ReadStatus status, const KeyPage& page) {
                     polling_ = false;
                     if (status == ReadStatus::tooOld) return load();
                     if (status == ReadStatus::failed) return later(pollTimer_, kRetry, &StateWatcher::poll);
                     take(page);
                     asOf_ = std::max(asOf_, sent);
                     later(pollTimer_, spacing_ * 2, &StateWatcher::poll);
                 });
}

void StateWatcher::readLatest(ReadCallback done) {
    next_.push_back(std::move(done));
    if (!asking_ && !waiting_) sendPendingRead();
}

void StateWatcher::sendPendingRead() {
    waiting_ = false;
    if (asking_ || next_.empty()) return;
    asking_ = true;
    asked_ = std::exchange(next_, {});
    const auto answer = [this](bool ok) {
        asking_ = false;
        for (auto& done : std::exchange(asked_, {})) done(ok);
        if (waiting_) return;
        waiting_ = true;
        later(readTimer_, spacing_, &StateWatcher::sendPendingRead);
    };
    state_.watch(storage::keys::kAll, replica_.revision, 0s, kReadTimeout,
                 [this, answer, sent = Clock::now()](ReadStatus status, const KeyPage& page) {
                     if (status == ReadStatus::tooOld) load();
                     // While all keys are read anew the replica is a mixture of times and proves nothing.
                     if (status == ReadStatus::ok && !loading_) {
                         take(page);
                         asOf_ = std::max(asOf_, sent);
                         synced_ = true;
                         return answer(true);
                     }
                     answer(false);
                 });
}

}  // namespace burlpoint::coordination
