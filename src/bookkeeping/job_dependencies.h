#pragma once

// Job dependencies: which jobs are ready, which are cancelled with a dependency, and which priority and due
// time a job inherits from its dependents. All of it is derived from the stored records, so each controller
// works it out for itself and nothing of it is stored. Owns which open jobs depend on which others; the
// results are in the jobs. Used on the thread that owns the StateReplica.

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
    /// The table is kept by reference and has to outlive this.
    explicit JobDependencies(JobTable& jobs);

    /// Takes in an open job that was not known before. It is cancelled if one of its dependencies is. Records
    /// may be read in any order, so its dependencies may be unknown and its dependents known.
    void add(Job& job, std::vector<Change>& changes);
    /// An open job has been terminated by its own record. If it is done, its dependents may become ready;
    /// if not, all that depend on it, directly or not, are cancelled with it.
    void noteTerminated(Job& job, std::vector<Change>& changes);
    /// Brings the effective priorities and due times of all jobs up to date.
    void updateEffectivePriorities();

  private:
    /// Jobs are accepted after their dependencies, so in this order each job is updated once, after all its
    /// dependents.
    struct NewestFirst {
        bool operator()(const Job* a, const Job* b) const;
    };
    void noteDone(const Job& job, std::vector<Change>& changes);
    void cancelDependents(Job& job, std::vector<Change>& changes);
    void cancel(Job& job);
    void markDependenciesStale(const Job& job);
    void updateEffectivePriority(Job& job);
    const std::vector<Job*>& dependentsOf(const Job& job) const;
    static std::optional<std::uint64_t> dueAtMs(const Job& job, const std::vector<Job*>& dependents);

    JobTable& jobs_;
    /// By the id of a job that is not done, which may be unknown.
    std::unordered_map<std::string, std::vector<Job*>> dependents_;
    /// Open jobs whose effective priority may have changed.
    std::set<Job*, NewestFirst> stalePriorities_;
};

}  // namespace burlpoint::bookkeeping
