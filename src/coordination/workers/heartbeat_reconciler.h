#pragma once

// Brings what is taken to be on a machine in line with what its worker says. It is given only messages that
// are newer than all before them; which those are is for its caller to know. Owns nothing: what is on the
// machines is in the fleet, what is done in the jobs.

#include <cstdint>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "coordination/scheduling/fetch_pacing.h"
#include "coordination/scheduling/job_activator.h"
#include "coordination/scheduling/job_queue.h"
#include "coordination/scheduling/task_terminator.h"
#include "coordination/state/state_writer.h"
#include "coordination/workers/attempt_completion.h"

namespace burlpoint::coordination {

/// Answers in a row that did not get through, after which nothing is taken to reach a machine.
inline constexpr std::uint32_t kMaxUndeliveredResponses = 2;

/// Kinds of a worker's messages.
enum class StatusSource {
    heartbeat,  // the worker has no other under way: a start that its list lacks was dropped or never came
    answer      // to a direct command: a start may be on its way in the response to a heartbeat
};

/// What reconciling a message reads and changes.
struct ReconcilerContext {
    std::uint64_t fencingToken;
    bookkeeping::StateReplica& replica;
    bookkeeping::Fleet& fleet;
    JobQueue& jobQueue;
    JobActivator& runs;
    StateWriter& writer;
    FetchPacing& pacing;
    TaskTerminator& terminator;
    AttemptCompletion& ends;
};

class HeartbeatReconciler {
  public:
    /// All that the context refers to has to outlive this.
    explicit HeartbeatReconciler(const ReconcilerContext& context);

    /// Takes in a message that is newer than all of that machine before it. Its list of tasks counts once the
    /// machine has shown this leader's fencing token.
    void apply(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat, StatusSource kind,
               Time now);

  private:
    void noteMessage(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat, Time now);
    static void noteUndeliveredResponse(bookkeeping::Machine& machine, Time now);
    void settlePlacements(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat,
                          StatusSource kind, Time now);
    void applyTask(bookkeeping::Machine& machine, const protocol::TaskStatus& task, Time now);
    void applyExit(bookkeeping::Machine& machine, bookkeeping::Job& job, const bookkeeping::AttemptKey& key,
                   protocol::ExitReason why, Time now);
    bookkeeping::Placement& adopt(bookkeeping::Machine& machine, bookkeeping::Job& job,
                                  const bookkeeping::AttemptKey& key, bookkeeping::PlacementState state,
                                  Time now);
    void noteProgress(bookkeeping::Machine& machine, bookkeeping::Placement& placement,
                      bookkeeping::PlacementState state, Time now);
    void noteTaskDone(bookkeeping::Job& job, std::uint32_t task, Time now);
    void drainForInterruption(bookkeeping::Machine& machine, Time now);
    void stopForInterruption(bookkeeping::Machine& machine, bookkeeping::Placement& placement, Time now);

    const ReconcilerContext context_;
};

}  // namespace burlpoint::coordination
