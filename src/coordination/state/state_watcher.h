#pragma once

// Keeps this controller's copy of what is stored, the replica, up to date. Owns the three kinds of reads: the
// load of all keys at the start and after a gap, the long watch for changes, and the fresh reads on demand
// with their waiting callers. The replica itself belongs to the controller. Used on the event loop's thread.

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/state_replica.h"
#include "storage/key_value_client.h"
#include "transport/executor.h"

namespace burlpoint::coordination {

/// What a caller that waited for a fresh read learns.
enum class FreshRead {
    upToDate,  // the replica holds all that was stored when the read was asked for
    failed     // the key-value store did not answer, so nothing is known
};

/// Keeps the replica up to date by a long watch, and on demand proves that it is.
class StateWatcher {
  public:
    /// What has just changed in the replica; never empty.
    using Changed = std::function<void(const std::vector<bookkeeping::Change>&)>;
    using ReadCallback = std::function<void(FreshRead)>;

    /// `spacing`: the least time between two reads, so that the reads of all controllers fit the request rate
    /// of the key-value store. All references must outlive this.
    StateWatcher(asio::io_context& io, storage::KeyValueClient& state, bookkeeping::StateReplica& replica,
                 Changed changed, Duration spacing = Duration(25));

    /// Starts reading; to be called once.
    void start() { load(); }
    /// Has everything stored been read at least once?
    bool synced() const { return synced_; }
    /// Reads what was stored since the last read. Calls `done` exactly once, later. All callers that wait
    /// share one read.
    void readLatest(ReadCallback done);
    /// The replica holds all that was stored up to this time, which is when the newest read that was answered
    /// was sent.
    Time asOf() const { return asOf_; }
    /// Takes in a cancellation that this controller or a peer has confirmed, before any read shows it.
    void noteCancelled(const std::string& id, std::uint64_t version);

  private:
    /// The load of all keys, page by page.
    struct Load {
        bool underWay = false;
        std::set<std::string> keys;  // read so far
        std::uint64_t revision = 0;  // of the first page; 0 before that
    };

    /// Reads all keys anew unless that is under way.
    void load();
    void loadPage(const std::string& after);
    void takePage(const protocol::KeyPage& page);
    void finishLoad();

    /// Opens the long watch unless it is open. It waits for changes, takes them in and opens the next one.
    void watch();
    void watchAgainAfter(Duration pause);

    /// Sends the read that the callers in `nextCallers_` wait for.
    void sendFreshRead();
    /// Tells the callers of the read under way, then pauses before the next one is sent.
    void finishFreshRead(FreshRead result);

    /// Takes in the changes that the replica doesn't have yet. `sent`: when the read was sent.
    void takeChanges(const protocol::KeyPage& page, Time sent);
    /// Takes in one key. A malformed value is logged and skipped.
    void apply(const protocol::KeyChange& entry, std::vector<bookkeeping::Change>& changes);
    void tell(const std::vector<bookkeeping::Change>& changes) const;
    void runAfter(transport::Timer& timer, Duration pause, void (StateWatcher::*next)());

    const Duration spacing_;
    storage::KeyValueClient& state_;
    bookkeeping::StateReplica& replica_;
    Changed changed_;
    bool synced_ = false;
    Time asOf_{};

    Load load_;

    transport::Timer watchTimer_;  // also of a load after one that failed
    bool watchOpen_ = false;

    transport::Timer freshReadTimer_;
    bool freshReadUnderWay_ = false;  // for `callers_`
    bool freshReadPause_ = false;     // a read was answered, and the next one must wait for the timer
    std::vector<ReadCallback> callers_;
    std::vector<ReadCallback> nextCallers_;  // whose read must be sent after the one under way
};

}  // namespace burlpoint::coordination
