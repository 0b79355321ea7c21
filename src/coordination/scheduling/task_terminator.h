#pragma once

// Marks tasks to be stopped. The marks are in the fleet and go with every message to the worker until a
// heartbeat shows that it has them. Owns the set of machines that have to be sent new stops without waiting
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
    /// All are kept by reference and have to outlive this.
    TaskTerminator(const protocol::Settings& settings, bookkeeping::Fleet& fleet, JobQueue& jobQueue);

    /// Marks the task to be stopped. `grace` is the time that it has to save a checkpoint. A shorter grace
    /// replaces that of an earlier stop; a longer one changes nothing.
    void stop(bookkeeping::Machine& machine, bookkeeping::Placement& placement, Seconds grace);

    /// Stops all tasks of the job. Those that are only planned are removed at once. If the job is an open
    /// gang of several tasks, its machines are reserved for it for a while, so that it can start again soon.
    void stopJob(bookkeeping::Job& job, Seconds grace, Time now);

    /// The response to the machine's heartbeat carries its stops, so it needs no message of its own.
    void noteAnswered(const std::string& machine) { urgent_.erase(machine); }

    /// Takes the ids of the machines with new stops since the last call, except those that were answered.
    std::set<std::string> takeUrgent();

  private:
    void reserveForGang(bookkeeping::Machine& machine, const bookkeeping::Job& gang, Seconds grace, Time now);

    const protocol::Settings& settings_;
    bookkeeping::Fleet& fleet_;
    JobQueue& jobQueue_;
    std::set<std::string> urgent_;
};

}  // namespace burlpoint::coordination
