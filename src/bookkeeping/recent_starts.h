#pragma once

// The starts that were sent to a machine a short time ago. A plain value, owned by the machine.

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/placement.h"

namespace burlpoint::bookkeeping {

/// The starts of which a delayed copy may still be carried out, since the worker would still accept the
/// heartbeat response that contained them. A copy has no effect while the worker lists the attempt, in
/// whatever state, so an exited attempt must stay listed until then.
class RecentStarts {
  public:
    /// Records that a start is sent to the machine now. Times must not decrease from call to call.
    void record(const AttemptKey& attempt, Time now);

    /// Records that the worker has not received the attempt's start, and that its response has been lost.
    void remove(const AttemptKey& attempt);

    /// Records that the worker has begun a new incarnation, which drops all earlier responses.
    void clear() { starts_.clear(); }

    /// True if a copy of the attempt's start may still be carried out.
    bool contains(const AttemptKey& attempt, Time now) const;

    /// True if that holds for any attempt of the task.
    bool containsTask(const Job& job, std::uint32_t task, Time now) const;

    /// True if that holds for any attempt of the job's tasks.
    bool containsJob(const Job& job, Time now) const;

  private:
    struct Start {
        AttemptKey attempt;
        Time sentAt;
    };

    std::vector<Start>::const_iterator firstRecent(Time now) const;

    std::vector<Start> starts_;  // oldest first
};

}  // namespace burlpoint::bookkeeping
