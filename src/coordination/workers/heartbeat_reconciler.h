#pragma once

// Reconciliation of the leader's view of a machine with the status that its worker sends: placements,
// finished tasks and interruption notices. The caller passes only messages that are newer than all before
// them. Owns nothing: placements are in the fleet, finished tasks in the jobs. Used on the thread that owns
// the leader.

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

/// After so many responses in a row that did not arrive, a machine counts as unreachable.
inline constexpr std::uint32_t kMaxUndeliveredResponses = 2;

/// The message by which a worker sent its status.
enum class StatusSource {
    heartbeat,  // no other is under way: a start that its list lacks was dropped or did not arrive
    answer      // to direct commands: a start may still be on its way in the response to a heartbeat
};

/// What the reconciler reads and changes.
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
    /// All that the context refers to has to outlive this.
    explicit HeartbeatReconciler(const ReconcilerContext& context);

    /// Takes in a status that is newer than all before it from that machine. Its list of tasks counts once
    /// the machine has shown this leader's fencing token.
    void apply(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat, StatusSource source,
               Time now);

  private:
    void endTasksOfEarlierIncarnation(bookkeeping::Machine& machine, Time now);
    void noteMessage(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat, Time now);
    void noteFencingToken(bookkeeping::Machine& machine, std::uint64_t token);
    static void noteUndeliveredResponse(bookkeeping::Machine& machine, Time now);
    void reconcilePlacements(bookkeeping::Machine& machine, const protocol::Heartbeat& heartbeat,
                             StatusSource source, Time now);
    void applyTask(bookkeeping::Machine& machine, const protocol::TaskStatus& task, Time now);
    void applyExit(bookkeeping::Machine& machine, bookkeeping::Job& job, const bookkeeping::AttemptKey& key,
                   protocol::ExitReason reason, Time now);
    bookkeeping::Placement& adopt(bookkeeping::Machine& machine, bookkeeping::Job& job,
                                  const bookkeeping::AttemptKey& key, bookkeeping::PlacementState state,
                                  Time now);
    void stopIfObsolete(bookkeeping::Machine& machine, bookkeeping::Placement& placement);
    void noteProgress(bookkeeping::Machine& machine, bookkeeping::Placement& placement,
                      bookkeeping::PlacementState state, Time now);
    void noteTaskDone(bookkeeping::Job& job, std::uint32_t task, Time now);
    static bool finish(bookkeeping::Job& job, std::uint32_t task);
    void drainForInterruption(bookkeeping::Machine& machine, Time now);
    void stopForInterruption(bookkeeping::Machine& machine, bookkeeping::Placement& placement, Time now);

    const ReconcilerContext context_;
};

}  // namespace burlpoint::coordination
