#pragma once

// Keeps the replica, this controller's copy of the stored state, up to date. Owns three kinds of reads: the
// full load of all keys at the start and after a gap in the watch, the long-polling watch for changes, and
// fresh reads on demand with their callbacks. The controller owns the replica. Used on the event loop's
// thread.

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/state_replica.h"
#include "storage/key_value_client.h"
#include "transport/executor.h"

namespace burlpoint::coordination {

/// The result of a fresh read.
enum class FreshReadResult {
    upToDate,  // the replica holds everything that was stored when the read was requested
    failed     // the read failed, so the replica may be stale
};

/// Keeps the replica up to date by a long-polling watch, and verifies by fresh reads on demand that it is.
class StateWatcher {
  public:
    /// Called with the changes that were just made to the replica; never with an empty list.
    using ChangeCallback = std::function<void(const std::vector<bookkeeping::ReplicaChange>&)>;
    using ReadCallback = std::function<void(FreshReadResult)>;

    /// `minReadInterval`: minimum pause between two reads, so that the reads of all controllers stay within
    /// the request rate of the key-value store. All references must outlive this object.
    StateWatcher(asio::io_context& io, storage::KeyValueClient& store, bookkeeping::StateReplica& replica,
                 ChangeCallback onChange, Duration minReadInterval = Duration(25));

    /// Starts the initial load. To be called once.
    void start() { load(); }
    /// True once everything stored has been read at least once.
    bool synced() const { return synced_; }
    /// Reads the changes since the last read. Calls `done` exactly once, asynchronously. Callers that wait
    /// for the next read share it.
    void readLatest(ReadCallback done);
    /// Returns the time up to which the replica holds everything that was stored: the latest time at which an
    /// answered read was sent.
    Time currentAsOf() const { return currentAsOf_; }
    /// Applies a cancellation that this controller or a peer has confirmed and that no read has returned yet.
    void applyCancellation(const std::string& id, std::uint64_t version);

  private:
    /// Progress of a load of all keys, page by page.
    struct Load {
        bool inProgress = false;
        std::set<std::string> keys;  // keys read so far
        std::uint64_t revision = 0;  // revision of the first page; 0 until it was read
    };

    /// Starts a load of all keys unless one is in progress.
    void load();
    void loadPage(const std::string& after);
    void applyPage(const protocol::KeyPage& page);
    void finishLoad();

    /// Opens the watch unless one is open or a load is in progress. The answer is applied, and the next watch
    /// is scheduled.
    void watch();
    void scheduleWatch(Duration pause);

    /// Sends the read for the callbacks in `nextReadCallbacks_`.
    void sendFreshRead();
    /// Calls the callbacks of the read in flight, then pauses before the next read is sent.
    void finishFreshRead(FreshReadResult result);

    /// Applies the changes that are newer than the replica. `sent`: when the read was sent.
    void applyChanges(const protocol::KeyPage& page, Time sent);
    /// Applies one key. A malformed value is logged and skipped.
    void apply(const protocol::KeyChange& entry, std::vector<bookkeeping::ReplicaChange>& changes);
    void notifyChanges(const std::vector<bookkeeping::ReplicaChange>& changes) const;
    void runAfter(transport::Timer& timer, Duration pause, void (StateWatcher::*next)());

    const Duration minReadInterval_;
    storage::KeyValueClient& store_;
    bookkeeping::StateReplica& replica_;
    ChangeCallback onChange_;
    bool synced_ = false;
    Time currentAsOf_{};

    Load load_;

    transport::Timer watchTimer_;  // also delays the retry of a failed load
    bool watchOpen_ = false;

    transport::Timer freshReadTimer_;
    bool freshReadInFlight_ = false;  // its callbacks are in `readCallbacks_`
    bool freshReadPaused_ = false;    // the next read waits for the timer
    std::vector<ReadCallback> readCallbacks_;
    std::vector<ReadCallback> nextReadCallbacks_;  // callbacks of the read after the one in flight
};

}  // namespace burlpoint::coordination
