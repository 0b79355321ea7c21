#include "bookkeeping/resources.h"

#include <algorithm>

#include "protocol/job_messages.h"

namespace burlpoint::bookkeeping {

std::uint32_t Resources::fitCount(const Resources& need) const {
    double most = protocol::kMaxTasks;
    const auto bound = [&](double available, double needed) {
        if (needed > 0) most = std::min(most, (available + kTolerance) / needed);
    };
    bound(cpus, need.cpus);
    bound(gpus, need.gpus);
    bound(memoryGb, need.memoryGb);
    return most <= 0 ? 0 : static_cast<std::uint32_t>(most);
}

}  // namespace burlpoint::bookkeeping
