#include "bookkeeping/job_table.h"

#include <algorithm>
#include <utility>

namespace burlpoint::bookkeeping {

Job* JobTable::find(const std::string& id) {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

std::vector<Job*> JobTable::openJobs() const {
    std::vector<Job*> jobs(open_.begin(), open_.end());
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) { return a->accepted < b->accepted; });
    return jobs;
}

Job& JobTable::add(protocol::JobSpec spec, std::uint64_t revision) {
    auto job = std::make_unique<Job>();
    job->spec = std::move(spec);
    job->accepted = revision;
    auto& added = *job;
    jobs_.emplace(added.spec.id, std::move(job));
    return added;
}

void JobTable::terminate(Job& job, storage::TerminalState terminalState, std::uint32_t doneCount) {
    job.terminalState = terminalState;
    job.doneCount = doneCount;
    job.done = {};
    job.bitmapVersions.clear();
    open_.erase(&job);
    if (job.run) {
        job.run->waiting = 0;
        job.run->unpersistedTasks.clear();
    }
}

}  // namespace burlpoint::bookkeeping
