#include "coordination/scheduling/task_terminator.h"

#include <utility>

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::Placement;
using bookkeeping::PlacementState;
using protocol::Settings;
using storage::TerminalState;

namespace {

constexpr Seconds kGangReservation{5};   // machines of a stopped gang, beyond its save and reports
constexpr int kHeartbeatsUntilFree = 3;  // until a machine has shown that its tasks are gone

}  // namespace

TaskTerminator::TaskTerminator(const Settings& settings, Fleet& fleet, JobQueue& jobQueue)
    : settings_(settings), fleet_(fleet), jobQueue_(jobQueue) {}

void TaskTerminator::stop(Machine& machine, Placement& placement, Seconds grace) {
    if (placement.stopping && placement.grace <= grace) return;
    placement.stopping = true;
    placement.grace = grace;
    urgent_.insert(machine.id);
}

void TaskTerminator::stopJob(Job& job, Seconds grace, Time now) {
    for (auto [machine, placement] : fleet_.placementsOf(job)) {
        if (placement->state == PlacementState::planned) {
            fleet_.remove(*machine, machine->placements.find({&job, placement->task, placement->attempt}));
            jobQueue_.markStale();
        } else {
            stop(*machine, *placement, grace);
            keepForGang(*machine, job, grace, now);
        }
    }
}

void TaskTerminator::keepForGang(Machine& machine, const Job& job, Seconds grace, Time now) {
    if (!bookkeeping::isLargeGang(job.spec) || job.terminalState != TerminalState::none) return;
    if (machine.isReserved(now) || machine.interruptionAt) return;
    const Seconds time = grace + settings_.heartbeatInterval * kHeartbeatsUntilFree + kGangReservation;
    const auto until = now + std::chrono::duration_cast<Clock::duration>(time);
    fleet_.reserve(machine, job, until, bookkeeping::ReservationKind::preempting,
                   job.run->machines.at(machine.id));
}

std::set<std::string> TaskTerminator::takeUrgent() { return std::exchange(urgent_, {}); }

}  // namespace burlpoint::coordination
