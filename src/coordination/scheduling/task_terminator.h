#pragma once

// Marks tasks to be stopped. The marks are kept in the fleet, and every message to the worker repeats them
// until a heartbeat confirms them. Owns the set of machines that have to be sent new stops without waiting
// for a heartbeat. Used on the leader's thread.

#include <set>
#include <string>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "coordination/scheduling/job_queue.h"
#include "protocol/settings.h"

namespace burlpoint::coordination {

class TaskTerminator {
  public:
    /// Keeps references to all arguments, which must outlive this object.
    TaskTerminator(const protocol::Settings& settings, bookkeeping::Fleet& fleet, JobQueue& jobQueue);

    /// Marks the task to be stopped. `grace` is the time that it has to save a checkpoint. A shorter grace
    /// period replaces that of an earlier stop; a longer one has no effect.
    void stop(bookkeeping::Machine& machine, bookkeeping::Placement& placement, Seconds grace);

    /// Stops all tasks of the job. Tasks that are only planned are removed at once. If the job is an open
    /// gang of several tasks, the machines on which tasks are stopped are reserved for it until about 5 s
    /// after these have ended, so that it can restart soon.
    void stopJob(bookkeeping::Job& job, Seconds grace, Time now);

    /// Records that the response to the machine's heartbeat carries its stops, so that no separate message is
    /// needed.
    void recordHeartbeatResponse(const std::string& machine) { machinesWithNewStops_.erase(machine); }

    /// Returns and clears the ids of the machines that got new stops and have not had a heartbeat answered
    /// since.
    std::set<std::string> takeMachinesWithNewStops();

  private:
    void reserveForGang(bookkeeping::Machine& machine, const bookkeeping::Job& gang, Seconds grace, Time now);

    const protocol::Settings& settings_;
    bookkeeping::Fleet& fleet_;
    JobQueue& jobQueue_;
    std::set<std::string> machinesWithNewStops_;
};

}  // namespace burlpoint::coordination
