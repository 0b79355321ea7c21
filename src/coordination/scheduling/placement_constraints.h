// Where a job's tasks may run, as far as that follows from the job, the machine and what is on the machines:
// owners' constraints, zones, teams' limits and room. These are functions of their arguments and own nothing.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/machine_types.h"
#include "coordination/autoscaling/instance_selection.h"

namespace burlpoint::coordination {

/// Nothing may wait for 90 s beside room that it fits in, whatever speaks for keeping it from there.
constexpr std::chrono::seconds kMaxHeldBack{60};

/// May the machine be given any task now? It has to show this leader's fencing token, be in the stored
/// machine registry and of a known type, and be neither leaving, faulty, out of reach nor pausing after a
/// refusal.
bool usable(const bookkeeping::Machine& machine, Time now);

/// How many of the job's tasks may be in one zone: half of them, rounded up, if it has to be spread, else
/// all.
std::uint32_t maxTasksInZone(const protocol::JobSpec& spec);

/// May one more of the job's tasks run in the zone, with the others where they possibly are? True unless the
/// job has to stay in one zone and is in another, or has to be spread and half of it, rounded up, is here.
bool zoneAllows(const bookkeeping::Job& job, const std::string& zone);

/// Could an attempt that an earlier leader started be on a machine not heard from yet?
bool blockedByUnreconciled(const bookkeeping::Job& job, const bookkeeping::Fleet& fleet);

/// Would the job's team stay within its limits with so many more tasks of the job? Machines that have not
/// been heard count as full of the team's tasks. False for a team that the settings do not know.
bool withinTeamLimit(const bookkeeping::Job& job, std::uint32_t tasks, const bookkeeping::Fleet& fleet,
                     const MachineTypes& types);

/// Is there room for one of the job's tasks beside what is on the machine, whatever is kept there for others?
/// It costs less than all other rules, so it is asked first.
bool hasFreeRoom(const bookkeeping::Machine& machine, const bookkeeping::Job& job);

/// The machine's unused room, less what is kept there for another job that the job has to leave it to. May be
/// negative; nothing for a machine of an unknown type.
bookkeeping::Resources availableRoom(const bookkeeping::Machine& machine, const bookkeeping::Job& job,
                                     Time now);

/// The room that the job could have on the machine if everything that might yield to it did.
bookkeeping::Resources maxRoom(const bookkeeping::Machine& machine, const bookkeeping::Job& job, Time now);

/// Has the task not run for long enough to count as started for its users?
bool startedRecently(const bookkeeping::Placement& placement, Time now);

/// Was the task's job passed over for long, so that it begins with this task? As the newest it would lose
/// least of all, so that it would be stopped each time and the job would never begin.
bool isProtectedStart(const bookkeeping::Placement& placement, Time now);

}  // namespace burlpoint::coordination
