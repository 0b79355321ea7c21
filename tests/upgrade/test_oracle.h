#pragma once

// The test oracle of the upgrade tests: the actual state of the jobs, and the invariant violations found so
// far. The stubs of the users, the machines and the cloud share one oracle. Single-threaded: used only on the
// test's thread.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/job_messages.h"

namespace burlpoint::tests {

/// The actual state of the jobs, independent of what any controller reports, and the recorded violations.
class TestOracle {
  public:
    struct JobFacts {
        protocol::JobSpec spec;
        bool accepted = false;
        bool cancelRequested = false;                       // for the job or a dependency
        std::optional<Time> cancelConfirmed{};              // when the API first confirmed the cancellation
        std::optional<protocol::JobState> terminalState{};  // as a controller reported it to a user
        std::set<std::uint32_t> completed{};                // task numbers
        std::uint32_t completionLimit = 0;                  // number of tasks that the workers may complete
        bool allCompleted() const { return completed.size() == spec.tasks; }
    };

    /// Records `violation` unless the condition holds.
    void require(bool condition, const std::string& violation) {
        if (!condition) violations.push_back(violation);
    }
    JobFacts& job(const std::string& id) { return jobs.at(id); }

    /// Marks the job and all its direct and indirect dependents.
    void markCancelRequested(const std::string& id) {
        for (auto* affected : withDependents(id)) affected->cancelRequested = true;
    }
    /// Marks the job and all its direct and indirect dependents; earlier confirmations keep their time.
    void markCancelConfirmed(const std::string& id, Time now) {
        for (auto* affected : withDependents(id))
            if (!affected->cancelConfirmed) affected->cancelConfirmed = now;
    }

    std::map<std::string, JobFacts> jobs;
    std::vector<std::string> violations;

  private:
    /// The job and all its direct and indirect dependents.
    std::vector<JobFacts*> withDependents(const std::string& id) {
        std::vector<JobFacts*> found{&jobs.at(id)};
        for (std::size_t at = 0; at < found.size(); ++at)
            for (auto& [other, facts] : jobs) {
                const auto& dependencies = facts.spec.dependencies;
                const bool dependent =
                    std::count(dependencies.begin(), dependencies.end(), found[at]->spec.id) > 0;
                if (dependent && std::count(found.begin(), found.end(), &facts) == 0) found.push_back(&facts);
            }
        return found;
    }
};

}  // namespace burlpoint::tests
