#include "coordination/scheduling/task_terminator.h"

#include <utility>

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::Placement;
using bookkeeping::PlacementState;
using bookkeeping::ReservationKind;
using protocol::Settings;
using storage::TerminalState;

namespace {

// Within this many heartbeat intervals a machine reports that its stopped tasks have ended.
constexpr int kIntervalsUntilFree = 3;
// Machines of a stopped gang stay reserved for this long after its tasks are expected to have ended.
constexpr Seconds kGangReservation{5};

}  // namespace

TaskTerminator::TaskTerminator(const Settings& settings, Fleet& fleet, JobQueue& jobQueue)
    : settings_(settings), fleet_(fleet), jobQueue_(jobQueue) {}

void TaskTerminator::stop(Machine& machine, Placement& placement, Seconds grace) {
    if (placement.stopping && placement.grace <= grace) return;
    placement.stopping = true;
    placement.grace = grace;
    machinesWithNewStops_.insert(machine.id);
}

void TaskTerminator::stopJob(Job& job, Seconds grace, Time now) {
    const bool openGang = bookkeeping::isMultiTaskGang(job.spec) && job.terminalState == TerminalState::none;
    for (auto [machine, placement] : fleet_.placementsOf(job)) {
        if (placement->state == PlacementState::planned) {
            fleet_.remove(*machine, machine->placements.find(attemptKeyOf(*placement)));
            jobQueue_.markStale();
            continue;
        }
        stop(*machine, *placement, grace);
        if (openGang) reserveForGang(*machine, job, grace, now);
    }
}

void TaskTerminator::reserveForGang(Machine& machine, const Job& gang, Seconds grace, Time now) {
    if (machine.reservation.isActive(now) || machine.cloud.interruptionAt) return;
    const auto untilFree = grace + settings_.heartbeatInterval * kIntervalsUntilFree;
    const auto until = now + toClockDuration(untilFree + kGangReservation);
    fleet_.reserve(machine, gang, until, ReservationKind::preempting, gang.run->machines.at(machine.id));
}

std::set<std::string> TaskTerminator::takeMachinesWithNewStops() {
    return std::exchange(machinesWithNewStops_, {});
}

}  // namespace burlpoint::coordination
