#include "coordination/controller/scheduling_inputs.h"

#include <vector>

namespace burlpoint::coordination {

using namespace std::chrono_literals;

namespace {

constexpr auto kFleetCountsInterval = 500ms;  // each count scans the whole fleet

}  // namespace

SchedulingInputs::SchedulingInputs(const SchedulingInputsContext& context) : context_(context) {}

void SchedulingInputs::refresh(Time now) {
    refreshJobQueue(now);
    refreshFleetCounts(now);
}

void SchedulingInputs::refreshJobQueue(Time now) {
    if (!context_.jobQueue.refresh(context_.replica, context_.fleet, context_.wallClock, now)) return;
    for (auto* job : context_.jobQueue.openJobs()) {
        context_.pacing.admit(*job, context_.fleet);
        context_.accelerators.recordDemand(*job);
    }
}

void SchedulingInputs::refreshFleetCounts(Time now) {
    if (now < nextFleetCounts_) return;
    nextFleetCounts_ = now + kFleetCountsInterval;
    std::vector<const bookkeeping::Machine*> up;
    for (const auto& [id, machine] : context_.fleet.machines())
        if (machine->lease.active && machine->agent.acknowledged) up.push_back(machine.get());
    context_.pacing.refresh(context_.jobQueue.waiting(), up, context_.fleet, now);
    context_.accelerators.refresh(up, now);
}

}  // namespace burlpoint::coordination
