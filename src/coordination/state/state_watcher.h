#pragma once

#include <functional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/state_replica.h"
#include "storage/key_value_client.h"
#include "transport/executor.h"

/// How this node's copy of what is stored is kept up to date. `StateWatcher` owns the reads under way and
/// those who wait for one; the copy itself is the node's.
namespace burlpoint::coordination {

/// Keeps the replica up to date by a long watch, and on demand proves it fresh.
class StateWatcher {
  public:
    /// What has just changed in the replica; never empty.
    using Changed = std::function<void(const std::vector<bookkeeping::Change>&)>;
    /// `ok`: see `fresh`. False: the key-value store did not answer, so nothing is known.
    using ReadCallback = std::function<void(bool ok)>;

    /// `spacing`: the least time between two reads, so that all nodes' reads fit the service's rate.
    StateWatcher(asio::io_context& io, storage::KeyValueClient& state, bookkeeping::StateReplica& replica,
                 Changed changed, Duration spacing = Duration(25));

    /// Begins to read; to be called once.
    void start() { load(); }
    /// Everything stored has been read at least once.
    bool synced() const { return synced_; }
    /// Calls `done(true)` once the replica holds all that was stored when this was called, or `done(false)`
    /// if a read failed; later, exactly once. All that wait share one read.
    void readLatest(ReadCallback done);
    /// The replica holds all that was stored up to this time: when the newest read that was answered was
    /// sent.
    Time asOf() const { return asOf_; }
    /// What is known without a read: a cancellation that was confirmed, by this node or by a peer.
    void noteCancelled(const std::string& id, std::uint64_t version);

  private:
    /// Reads all keys anew, page by page; nothing if that is under way.
    void load();
    void loadPage(const std::string& after);
    /// The long watch: waits for changes, takes them in and goes on.
    void poll();
    void later(transport::Timer& timer, Duration pause, void (StateWatcher::*next)());
    /// Takes in the changes that the replica doesn't have yet.
    void take(const protocol::KeyPage& page);
    /// Sends the read that those in `next_` wait for.
    void sendPendingRead();

    const Duration spacing_;
    storage::KeyValueClient& state_;
    bookkeeping::StateReplica& replica_;
    Changed changed_;
    transport::Timer pollTimer_;
    transport::Timer readTimer_;
    std::set<std::string> read_;      // the keys seen while all are read anew
    std::uint64_t loadRevision_ = 0;  // as of the first page of that; 0 before
    bool synced_ = false;
    bool loading_ = false;             // all keys are being read anew
    bool polling_ = false;             // the long watch is open
    bool asking_ = false;              // a read for those in `asked_` is under way
    bool waiting_ = false;             // the pause after such a read
    std::vector<ReadCallback> asked_;  // to be told by the read under way
    std::vector<ReadCallback> next_;   // and by the one after it
    Time asOf_{};
};

}  // namespace burlpoint::coordination
