#pragma once

// Job dependencies: which jobs are ready, which are cancelled with a dependency, and which priority and due
// time a job inherits from its dependents. All of it is derived from the stored records, so each controller
// computes it for itself and none of it is stored. Owns the index of the open jobs that depend on each job.
// The results are kept in the jobs. Used on the thread that owns the StateReplica.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bookkeeping/job.h"
#include "bookkeeping/job_table.h"
#include "bookkeeping/replica_change.h"

namespace burlpoint::bookkeeping {

class JobDependencies {
  public:
    /// `jobs` must outlive this.
    explicit JobDependencies(JobTable& jobs);

    /// Adds an open job that was not known before. Cancels it if one of its dependencies is cancelled.
    /// Records may be read in any order, so its dependencies may not be known yet and its dependents may be
    /// known.
    void add(Job& job, std::vector<ReplicaChange>& changes);
    /// Handles the termination of an open job by its own record. If the job is done, its dependents may
    /// become ready. If it is cancelled, all jobs that depend on it, directly or indirectly, are cancelled
    /// with it.
    void handleTerminated(Job& job, std::vector<ReplicaChange>& changes);
    /// Updates the effective priorities and due times of all jobs.
    void updateEffectivePriorities();

  private:
    /// Orders jobs by descending revision of acceptance. Jobs are accepted after their dependencies, so in
    /// this order each job is updated once, after all its dependents.
    struct NewestFirst {
        bool operator()(const Job* a, const Job* b) const;
    };
    void handleDone(const Job& job, std::vector<ReplicaChange>& changes);
    void cancelDependents(Job& job, std::vector<ReplicaChange>& changes);
    void cancel(Job& job);
    void markDependenciesStale(const Job& job);
    void updateEffectivePriority(Job& job);
    const std::vector<Job*>& dependentsOf(const Job& job) const;
    static std::optional<std::uint64_t> dueAtMs(const Job& job, const std::vector<Job*>& dependents);

    JobTable& jobs_;
    /// The jobs that depend on a job, by that job's id. The job is not done, and may not be known yet.
    std::unordered_map<std::string, std::vector<Job*>> dependents_;
    /// Open jobs whose effective priority or due time may be outdated.
    std::set<Job*, NewestFirst> stalePriorities_;
};

}  // namespace burlpoint::bookkeeping
