#pragma once

// Marks tasks to be stopped. Owns which machines have to be sent their stops at once; the marks themselves
// are in the fleet and go with every message to the worker until it shows that it has them.

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

    /// The task is to be stopped; `grace` is the time that it has to save. A stop with a shorter grace
    /// replaces an earlier one.
    void stop(bookkeeping::Machine& machine, bookkeeping::Placement& placement, Seconds grace);

    /// Stops all tasks of the job. Those only planned are taken back at once. The machines of an open gang
    /// are kept for it for a while, so that it can go on at once.
    void stopJob(bookkeeping::Job& job, Seconds grace, Time now);

    /// A response to the machine brings its stops, so that it needs no command for them.
    void noteAnswered(const std::string& machine) { urgent_.erase(machine); }

    /// Machines with new stops since the last call, less those that were answered.
    std::set<std::string> takeUrgent();

  private:
    void keepForGang(bookkeeping::Machine& machine, const bookkeeping::Job& job, Seconds grace, Time now);

    const protocol::Settings& settings_;
    bookkeeping::Fleet& fleet_;
    JobQueue& jobQueue_;
    std::set<std::string> urgent_;
};

}  // namespace burlpoint::coordination
