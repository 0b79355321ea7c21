#pragma once

// All jobs that this controller knows, and which of them are open. Owns the jobs. Jobs are never removed, so
// references to them stay valid. Used on the thread that owns the StateReplica.

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bookkeeping/job.h"
#include "protocol/job_messages.h"
#include "storage/records.h"

namespace burlpoint::bookkeeping {

class JobTable {
  public:
    /// Null if there is no such job.
    Job* find(const std::string& id);
    const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_; }
    /// The open jobs in order of arrival.
    std::vector<Job*> openJobs() const;

    /// Adds a job whose id is not in the table. `revision` is the version that its record had when it was
    /// first read, by which jobs are ordered by arrival. The job does not count as open until markOpen().
    Job& add(protocol::JobSpec spec, std::uint64_t revision);
    void markOpen(Job& job) { open_.insert(&job); }
    /// Sets the job's terminal state and discards the state that only open jobs need.
    void terminate(Job& job, storage::TerminalState terminalState, std::uint32_t doneCount);

  private:
    std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
    std::set<Job*, JobIdLess> open_;
};

}  // namespace burlpoint::bookkeeping
