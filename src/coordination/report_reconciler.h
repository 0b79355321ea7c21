#pragma once

// Brings what is taken to be on a machine in line with what its worker says. It is given only messages that
// are newer than all before them; which those are is for its caller to know. Owns nothing: what is on the
// machines is in the fleet, what is done in the jobs.

#include <cstdint>

#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "coordination/fetch_pacing.h"
#include "coordination/job_order.h"
#include "coordination/job_runs.h"
#include "coordination/placement_ends.h"
#include "coordination/state_writer.h"
#include "coordination/task_stopper.h"

namespace burlpoint::coordination {

/// Answers in a row that did not get through, after which nothing is taken to reach a machine.
inline constexpr std::uint32_t kMaxUndelivered = 2;

/// Kinds of a worker's messages.
enum class MessageKind {
    report,  // the worker has no other under way: a start that its list lacks was dropped or never came
    answer   // to a direct command: a start may be on its way in the response to a report
};

/// What reconciling a message reads and changes.
struct ReconcilerContext {
    std::uint64_t token;
    bookkeeping::StateReplica& replica;
    bookkeeping::Fleet& fleet;
    JobOrder& order;
    JobRuns& runs;
    StateWriter& writer;
    FetchPacing& pacing;
    TaskStopper& stopper;
    PlacementEnds& ends;
};

class ReportReconciler {
  public:
    /// All that the context refers to has to outlive this.
    explicit ReportReconciler(const ReconcilerContext& context);

    /// Takes in a message that is newer than all of that machine before it. Its list of tasks counts once the
    /// machine has shown this leader's token.
    void apply(bookkeeping::Machine& machine, const protocol::Report& report, MessageKind kind,
               transport::Time now);

  private:
    void noteMessage(bookkeeping::Machine& machine, const protocol::Report& report, transport::Time now);
    static void noteUndelivered(bookkeeping::Machine& machine, transport::Time now);
    void settlePlacements(bookkeeping::Machine& machine, const protocol::Report& report, MessageKind kind,
                          transport::Time now);
    void applyTask(bookkeeping::Machine& machine, const protocol::TaskReport& task, transport::Time now);
    void applyExit(bookkeeping::Machine& machine, bookkeeping::Job& job, const bookkeeping::AttemptKey& key,
                   protocol::ExitReason why, transport::Time now);
    bookkeeping::Placement& adopt(bookkeeping::Machine& machine, bookkeeping::Job& job,
                                  const bookkeeping::AttemptKey& key, bookkeeping::PlacementState state,
                                  transport::Time now);
    void noteProgress(bookkeeping::Machine& machine, bookkeeping::Placement& placement,
                      bookkeeping::PlacementState state, transport::Time now);
    void noteTaskDone(bookkeeping::Job& job, std::uint32_t task, transport::Time now);
    void drainForRecall(bookkeeping::Machine& machine, transport::Time now);
    void stopForRecall(bookkeeping::Machine& machine, bookkeeping::Placement& placement, transport::Time now);

    const ReconcilerContext context_;
};

}  // namespace burlpoint::coordination
