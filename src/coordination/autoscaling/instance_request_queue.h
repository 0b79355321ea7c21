#pragma once

// Queues the instance requests to which the cloud has not given a definite answer yet. Owns the queue, the
// request names, which are idempotency keys, and the time of the next attempt of each request.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "protocol/cloud_messages.h"
#include "storage/token_bucket.h"

namespace burlpoint::coordination {

/// The cloud's answer to an instance request.
enum class InstanceRequestOutcome {
    fulfilled,  // with all of the requested machines or fewer
    rejected,   // for lack of capacity or as malformed; it is not sent again
    unknown,    // no answer or an ambiguous one; the request may have been carried out
};

/// The outcome of a request to delete machines.
enum class ScaleInOutcome {
    deleted,
    unknown  // the request may or may not have been carried out
};

/// The number of machines that the cloud creates for one request at most.
inline constexpr std::uint32_t kMaxMachinesPerRequest = 50;

/// A first-in, first-out queue of instance requests. Request names are idempotency keys: the cloud carries
/// out one name at most once, so a request of unknown outcome can be sent again under its name without
/// creating machines twice. Names are never reused, as they consist of the leader's fencing token, which no
/// other leader has, and a counter.
class InstanceRequestQueue {
  public:
    explicit InstanceRequestQueue(std::uint64_t fencingToken) : fencingToken_(fencingToken) {}

    /// Enqueues requests for `count` machines in total, each as large as the cloud allows.
    void enqueue(const bookkeeping::Offering& offering, std::uint32_t count, Time now);

    /// Returns the requests to be sent now, oldest first. Each takes one request from `budget`, and is in
    /// flight until `complete` or `scheduleRetry` is called with its name.
    std::vector<protocol::InstanceRequest> takeDue(storage::TokenBucket& budget, Time now);

    /// Makes a request of unknown outcome due again after 2 s. Does nothing if no request of that name is
    /// pending.
    void scheduleRetry(const std::string& name, Time now);

    /// Removes and returns a request to which the cloud gave a definite answer; empty if it was not pending.
    std::optional<protocol::InstanceRequest> complete(const std::string& name);

    /// Removes the requests for the offering that were never sent. Requests of unknown outcome stay, since
    /// the cloud may have carried them out.
    void cancelUnsent(const bookkeeping::Offering& offering);

    /// The machines in requests that were never sent.
    bookkeeping::MachineCounts unsentMachines() const;

    /// Calls `visit` with each pending request, oldest first.
    template <class Visitor>
    void forEachPending(Visitor&& visit) const {
        for (const auto& pending : pending_) visit(pending.request);
    }

  private:
    struct PendingRequest {
        protocol::InstanceRequest request;
        Time nextAttempt{};
        bool inFlight = false;  // sent and not answered yet
        bool sent = false;      // sent at least once
    };

    std::string nextName();
    std::deque<PendingRequest>::iterator find(const std::string& name);

    const std::uint64_t fencingToken_;
    std::uint64_t namesUsed_ = 0;
    std::deque<PendingRequest> pending_;
};

/// The offering that a request asks for.
inline bookkeeping::Offering offeringOf(const protocol::InstanceRequest& request) {
    return {request.type, request.zone, request.spot};
}

}  // namespace burlpoint::coordination
