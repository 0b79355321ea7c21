#include "coordination/autoscaling/instance_request_queue.h"

#include <algorithm>

namespace burlpoint::coordination {

using bookkeeping::Offering;
using protocol::InstanceRequest;
using namespace std::chrono_literals;

namespace {

constexpr Clock::duration kRetryInterval = 2s;  // keeps the load on an unresponsive cloud low

}  // namespace

void InstanceRequestQueue::enqueue(const Offering& offering, std::uint32_t count, Time now) {
    while (count > 0) {
        const auto machines = std::min(count, kMaxMachinesPerRequest);
        count -= machines;
        pending_.push_back({{nextName(), offering.type, offering.zone, offering.spot, machines}, now});
    }
}

std::string InstanceRequestQueue::nextName() {
    return "r-" + std::to_string(fencingToken_) + "-" + std::to_string(++namesUsed_);
}

std::vector<InstanceRequest> InstanceRequestQueue::takeDue(storage::TokenBucket& budget, Time now) {
    std::vector<InstanceRequest> due;
    for (auto& pending : pending_) {
        if (pending.inFlight || now < pending.nextAttempt) continue;
        if (!budget.tryTake(1, 0, now)) break;
        pending.inFlight = true;
        pending.sent = true;
        due.push_back(pending.request);
    }
    return due;
}

void InstanceRequestQueue::scheduleRetry(const std::string& name, Time now) {
    const auto found = find(name);
    if (found == pending_.end()) return;
    found->inFlight = false;
    found->nextAttempt = now + kRetryInterval;
}

std::optional<InstanceRequest> InstanceRequestQueue::complete(const std::string& name) {
    const auto found = find(name);
    if (found == pending_.end()) return std::nullopt;
    auto request = std::move(found->request);
    pending_.erase(found);
    return request;
}

void InstanceRequestQueue::cancelUnsent(const Offering& offering) {
    std::erase_if(pending_, [&](const auto& pending) {
        return !pending.sent && offeringOf(pending.request) == offering;
    });
}

bookkeeping::MachineCounts InstanceRequestQueue::unsentMachines() const {
    bookkeeping::MachineCounts unsent;
    for (const auto& pending : pending_)
        if (!pending.sent) unsent[offeringOf(pending.request)] += pending.request.count;
    return unsent;
}

std::deque<InstanceRequestQueue::PendingRequest>::iterator InstanceRequestQueue::find(
    const std::string& name) {
    return std::find_if(pending_.begin(), pending_.end(),
                        [&](const auto& pending) { return pending.request.name == name; });
}

}  // namespace burlpoint::coordination
