#pragma once

// The requests for machines that the cloud has not settled yet. Owns their queue, their names and when each
// is sent again.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "storage/key_value_client.h"

namespace burlpoint::coordination {

using bookkeeping::Offering;
using protocol::InstanceRequest;

/// What came of a request for machines.
enum class InstanceRequestOutcome {
    fulfilled,  // with as many machines as asked for, or fewer
    rejected,   // for lack of capacity, or as malformed: it is not repeated
    unknown,    // no answer, or one that does not tell: it may have been carried out
};

/// A queue in the order of asking. Names are never reused: they hold the leader's fencing token, which no
/// other leader has, and a counter. The cloud carries out one name once, so that a request of unknown outcome
/// is sent again under its name and rents nothing twice.
class InstanceRequestQueue {
  public:
    explicit InstanceRequestQueue(std::uint64_t fencingToken) : fencingToken_(fencingToken) {}

    /// Queues requests for `count` machines, as many as the cloud takes by one request.
    void add(const Offering& offering, std::uint32_t count, Time now);

    /// What is to be sent now, oldest first; each takes one request of the budget. It counts as under way
    /// until `settle` or `repeat` is called with its name.
    std::vector<InstanceRequest> takeDue(storage::TokenBucket& budget, Time now);

    /// Nobody knows whether the request was carried out: it is due again after a pause. Does nothing if no
    /// request of that name is pending.
    void repeat(const std::string& name, Time now);

    /// The cloud answered for good, so the request is no longer pending. Returns it; none: it was not
    /// pending.
    std::optional<InstanceRequest> settle(const std::string& name);

    /// Drops the requests for the offering that were never sent. Those of unknown outcome stay: the cloud may
    /// have carried them out.
    void withdrawUnsent(const Offering& offering);

    /// Calls `visit` with each pending request, in the order of asking.
    template <class Visitor>
    void forEach(Visitor&& visit) const {
        for (const auto& pending : pending_) visit(pending.request);
    }

  private:
    struct Pending {
        InstanceRequest request;
        Time nextTry{};
        bool underWay = false;  // sent, and not answered yet
        bool sent = false;      // at least once
    };

    std::deque<Pending>::iterator find(const std::string& name);

    const std::uint64_t fencingToken_;
    std::uint64_t named_ = 0;  // names given so far
    std::deque<Pending> pending_;
};

/// What a request asks for.
inline Offering offeringOf(const InstanceRequest& request) {
    return {request.type, request.zone, request.spot};
}

}  // namespace burlpoint::coordination
