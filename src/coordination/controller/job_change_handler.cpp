#include "coordination/controller/job_change_handler.h"

namespace burlpoint::coordination {

using storage::TerminalState;

JobChangeHandler::JobChangeHandler(bookkeeping::StateReplica& replica, JobQueue& jobQueue,
                                   JobActivator& activator, StateWriter& writer, TaskTerminator& terminator)
    : replica_(replica),
      jobQueue_(jobQueue),
      activator_(activator),
      writer_(writer),
      terminator_(terminator) {}

void JobChangeHandler::inheritAll(Time now) {
    for (const auto& [id, job] : replica_.jobs()) {
        job->run.reset();
        if (job->terminalState == TerminalState::none && job->ready())
            activator_.begin(*job, bookkeeping::JobOrigin::inherited, now);
    }
}

void JobChangeHandler::apply(const std::vector<std::string>& ids, Time now) {
    for (const auto& id : ids)
        if (auto* job = replica_.find(id)) apply(*job, now);
}

void JobChangeHandler::apply(const std::vector<bookkeeping::ReplicaChange>& changes, Time now) {
    for (const auto& change : changes)
        if (auto* job = replica_.find(change.id)) apply(*job, now);
}

void JobChangeHandler::apply(bookkeeping::Job& job, Time now) {
    jobQueue_.markStale();
    if (job.terminalState == TerminalState::none) {
        // A job that has waited for its dependencies until now has no tasks on machines: had an earlier
        // leader started it, its dependencies would have been stored as done when this leadership began.
        if (!job.run && job.ready()) activator_.begin(job, bookkeeping::JobOrigin::accepted, now);
        return;
    }
    jobQueue_.remove(job);
    writer_.discardWrites(job);
    if (job.run) terminator_.stopJob(job, Seconds(0), now);
}

}  // namespace burlpoint::coordination
