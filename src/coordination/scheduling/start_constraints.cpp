#include "coordination/scheduling/start_constraints.h"

#include "coordination/scheduling/placement_constraints.h"

namespace burlpoint::coordination {

using bookkeeping::Job;
using bookkeeping::Machine;
using storage::TerminalState;

namespace {

constexpr auto kErrorMemory = kMaxHeldBack;     // a task's failure on a machine keeps its job away from it
constexpr std::size_t kMaxAvoidedMachines = 3;  // a job that failed on so many is itself at fault

bool avoidsAfterFailure(const Job& job, const Machine& machine, Time now) {
    const auto& failures = job.run->errorMachines;
    const auto failed = failures.find(machine.id);
    if (failed == failures.end() || failures.size() >= kMaxAvoidedMachines) return false;
    return now - failed->second < kErrorMemory;
}

}  // namespace

StartConstraints::StartConstraints(const AcceleratorPolicy& accelerators,
                                   const ZoneReservations& zoneReservations)
    : accelerators_(accelerators), zoneReservations_(zoneReservations) {}

bool StartConstraints::mayStart(const Job& job, const Machine& machine, Time now) const {
    const auto& run = *job.run;
    if (job.terminalState != TerminalState::none || !job.ready() || run.waiting == 0 ||
        run.backoffUntil > now)
        return false;
    if (!bookkeeping::ownerAllows(job.spec, machine.type, machine.zone, machine.spot)) return false;
    if (!zoneAllows(job, machine.zone)) return false;
    if (!accelerators_.allows(job, machine, now)) return false;
    if (zoneReservations_.keepsOut(job, machine, now)) return false;
    return !avoidsAfterFailure(job, machine, now);
}

}  // namespace burlpoint::coordination
