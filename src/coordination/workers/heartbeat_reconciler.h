#pragma once

// Reconciles the leader's view of a machine with the status that its worker reports: placements, finished
// tasks and interruption notices. Callers must pass only messages that are newer than all previous ones of
// the machine. Owns no state: placements are in the fleet, finished tasks in the jobs. Used on the thread
// that owns the leader.

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

/// Number of consecutive undelivered responses after which a machine counts as unreachable.
inline constexpr std::uint32_t kMaxUndeliveredResponses = 2;

/// The kind of message in which a worker reported its status.
enum class StatusSource {
    heartbeat,  // no response is in flight: a start missing from the task list was dropped or not delivered
    answer      // to direct commands: a start may still be in flight in the response to a heartbeat
};

/// The state and the components that the reconciler reads and changes.
struct ReconcilerContext {
    std::uint64_t fencingToken;  // of this leader
    bookkeeping::StateReplica& replica;
    bookkeeping::Fleet& fleet;
    JobQueue& jobQueue;
    JobActivator& activator;
    StateWriter& writer;
    FetchPacing& pacing;
    TaskTerminator& terminator;
    AttemptCompletion& completion;
};

class HeartbeatReconciler {
  public:
    /// All objects that the context refers to must outlive this object.
    explicit HeartbeatReconciler(const ReconcilerContext& context);

    /// Applies a status that is newer than all previous ones of the machine. Its task list is used only if
    /// the machine has shown this leader's fencing token, in this status or an earlier one.
    void apply(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat, StatusSource source,
               Time now);

  private:
    void endTasksOfEarlierIncarnation(bookkeeping::Machine& machine, Time now);
    bool missedFirstResponses(const bookkeeping::Machine& machine,
                              const protocol::Heartbeat& heartbeat) const;
    void recordMessage(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat, Time now);
    void recordFencingToken(bookkeeping::Machine& machine, std::uint64_t token);
    static void recordUndeliveredResponse(bookkeeping::Machine& machine, Time now);
    void reconcilePlacements(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat,
                             StatusSource source, Time now);
    void applyTask(bookkeeping::Machine& machine, const protocol::TaskStatus& task, Time now);
    void applyExit(bookkeeping::Machine& machine, bookkeeping::Job& job, const bookkeeping::AttemptKey& key,
                   protocol::ExitReason reason, Time now);
    bookkeeping::Placement& adopt(bookkeeping::Machine& machine, bookkeeping::Job& job,
                                  const bookkeeping::AttemptKey& key, bookkeeping::PlacementState state,
                                  Time now);
    void stopIfObsolete(bookkeeping::Machine& machine, bookkeeping::Placement& placement);
    void recordProgress(bookkeeping::Machine& machine, bookkeeping::Placement& placement,
                        bookkeeping::PlacementState state, Time now);
    void recordTaskDone(bookkeeping::Job& job, std::uint32_t task, Time now);
    static bool markFinished(bookkeeping::Job& job, std::uint32_t task);
    void drainForInterruption(bookkeeping::Machine& machine, Time now);
    void stopForInterruption(bookkeeping::Machine& machine, bookkeeping::Placement& placement, Time now);

    const ReconcilerContext context_;
};

}  // namespace burlpoint::coordination
