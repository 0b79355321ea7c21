#pragma once

#include <functional>
#include <set>
#include <vector>

#include "bookkeeping/jobs.h"
#include "storage/store.h"

namespace burlpoint::coordination {

/// Keeps the replica up to date by a long watch, and on demand proves it fresh.
class StateWatcher {
  public:
    using Changed = std::function<void(const std::vector<bookkeeping::Change>&)>;
    using Fresh = std::function<void(bool ok)>;

    /// `spacing`: the least time between two reads, so that all nodes' reads fit the service's rate.
    StateWatcher(asio::io_context& io, storage::StateClient& state, bookkeeping::StateReplica& replica,
                 Changed changed, transport::Duration spacing = transport::Duration(25));

    void start() { load(); }
    /// Everything stored has been read at least once.
    bool synced() const { return synced_; }
    /// `done(true)` once the replica holds all that was stored when this was called.
    void fresh(Fresh done);
    /// The replica holds all that was stored up to this time: when the newest read that was answered was
    /// sent.
    transport::Time asOf() const { return asOf_; }
    /// What is known without a read: a cancellation that was confirmed, by this node or by a peer.
    void noteCancelled(const std::string& id, std::uint64_t version);

  private:
    void load();
    void loadPage(const std::string& after);
    void poll();
    void later(asio::steady_timer& timer, transport::Duration pause, void (StateWatcher::*next)());
    void take(const protocol::KeyPage& page);
    void sendFresh();

    const transport::Duration spacing_;
    storage::StateClient& state_;
    bookkeeping::StateReplica& replica_;
    Changed changed_;
    asio::steady_timer pollTimer_, freshTimer_;
    std::set<std::string> read_;
    std::uint64_t loadRevision_ = 0;
    bool synced_ = false, loading_ = false, polling_ = false, asking_ = false, waiting_ = false;
    std::vector<Fresh> asked_, next_;
    transport::Time asOf_{};
};

}  // namespace burlpoint::coordination
