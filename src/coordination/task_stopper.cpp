#include "coordination/task_stopper.h"

#include <utility>

namespace burlpoint::coordination {

using bookkeeping::Fleet;
using bookkeeping::Job;
using bookkeeping::Machine;
using bookkeeping::Placement;
using bookkeeping::PlacementState;
using protocol::Seconds;
using protocol::Settings;
using storage::Final;
using transport::Clock;
using transport::Time;

namespace {

constexpr Seconds kGangReservation{5};  // machines of a stopped gang, beyond its save and reports
constexpr int kReportsUntilFree = 3;    // until a machine has shown that its tasks are gone

}  // namespace

TaskStopper::TaskStopper(const Settings& settings, Fleet& fleet, JobOrder& order)
    : settings_(settings), fleet_(fleet), order_(order) {}

void TaskStopper::stop(Machine& machine, Placement& placement, Seconds grace) {
    if (placement.stopping && placement.grace <= grace) return;
    placement.stopping = true;
    placement.grace = grace;
    urgent_.insert(machine.id);
}

void TaskStopper::stopJob(Job& job, Seconds grace, Time now) {
    for (auto [machine, placement] : fleet_.placementsOf(job)) {
        if (placement->state == PlacementState::planned) {
            fleet_.remove(*machine, machine->placements.find({&job, placement->task, placement->attempt}));
            order_.markStale();
        } else {
            stop(*machine, *placement, grace);
            keepForGang(*machine, job, grace, now);
        }
    }
}

void TaskStopper::keepForGang(Machine& machine, const Job& job, Seconds grace, Time now) {
    if (!bookkeeping::isLargeGang(job.spec) || job.final != Final::open) return;
    if (machine.isReserved(now) || machine.recallAt) return;
    const Seconds time = grace + settings_.report * kReportsUntilFree + kGangReservation;
    const auto until = now + std::chrono::duration_cast<Clock::duration>(time);
    fleet_.reserve(machine, &job, until, false, job.run->machines.at(machine.id));
}

std::set<std::string> TaskStopper::takeUrgent() { return std::exchange(urgent_, {}); }

}  // namespace burlpoint::coordination
