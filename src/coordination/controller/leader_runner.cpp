#include "coordination/controller/leader_runner.h"

#include <utility>

#include "base/clock.h"
#include "base/wall_clock.h"

namespace burlpoint::coordination {

LeaderRunner::LeaderRunner(const protocol::Settings& settings, const protocol::Policy& policy,
                           bookkeeping::StateReplica& replica, ActionExecutor& executor)
    : settings_(settings), policy_(policy), replica_(replica), executor_(executor) {}

void LeaderRunner::begin(std::uint64_t fencingToken) {
    executor_.begin(fencingToken);
    leader_ =
        std::make_unique<Leader>(settings_, policy_, replica_, fencingToken, Clock::now(), wallClockMs());
    handle(Tick{});
}

void LeaderRunner::end() {
    leader_.reset();
    executor_.end();
}

void LeaderRunner::handle(LeaderEvent event) {
    if (!leader_) return;
    for (auto& action : leader_->handle(std::move(event), Clock::now())) {
        if (!leader_) return;  // the previous action was a resignation
        executor_.perform(action);
    }
}

void LeaderRunner::handleHeartbeat(HeartbeatReceived event, transport::Reply reply) {
    event.request = executor_.addPendingHeartbeat(std::move(reply));
    handle(std::move(event));
}

}  // namespace burlpoint::coordination
