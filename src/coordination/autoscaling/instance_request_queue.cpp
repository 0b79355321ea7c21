#include "coordination/autoscaling/instance_request_queue.h"

#include <algorithm>

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kMaxPerRequest = 50;  // machines that the cloud rents out by one request
constexpr Clock::duration kRepeatAfter = 2s;  // a cloud that does not answer is not pressed

}  // namespace

void InstanceRequestQueue::add(const Offering& offering, std::uint32_t count, Time now) {
    while (count > 0) {
        const auto some = std::min(count, kMaxPerRequest);
        count -= some;
        const auto name = "r-" + std::to_string(fencingToken_) + "-" + std::to_string(++named_);
        pending_.push_back({{name, offering.type, offering.zone, offering.spot, some}, now});
    }
}

std::vector<InstanceRequest> InstanceRequestQueue::takeDue(storage::TokenBucket& budget, Time now) {
    std::vector<InstanceRequest> due;
    for (auto& pending : pending_) {
        if (pending.underWay || now < pending.nextTry) continue;
        if (!budget.tryTake(1, 0, now)) break;
        pending.underWay = true;
        pending.sent = true;
        due.push_back(pending.request);
    }
    return due;
}

void InstanceRequestQueue::repeat(const std::string& name, Time now) {
    const auto found = find(name);
    if (found == pending_.end()) return;
    found->underWay = false;
    found->nextTry = now + kRepeatAfter;
}

std::optional<InstanceRequest> InstanceRequestQueue::settle(const std::string& name) {
    const auto found = find(name);
    if (found == pending_.end()) return std::nullopt;
    auto request = std::move(found->request);
    pending_.erase(found);
    return request;
}

void InstanceRequestQueue::withdrawUnsent(const Offering& offering) {
    std::erase_if(pending_, [&](const auto& pending) {
        return !pending.sent && offeringOf(pending.request) == offering;
    });
}

std::deque<InstanceRequestQueue::Pending>::iterator InstanceRequestQueue::find(const std::string& name) {
    return std::find_if(pending_.begin(), pending_.end(),
                        [&](const auto& pending) { return pending.request.name == name; });
}

}  // namespace burlpoint::coordination
