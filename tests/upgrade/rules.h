#pragma once

// What is true of the jobs of an upgrade test, and the rules that were broken. The stand-ins for users,
// machines and the cloud share one object of this. Used on the test's one thread.

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

/// What is true of the jobs, whatever any controller says, and the rules that were broken.
class Rules {
  public:
    struct JobFacts {
        protocol::JobSpec spec;
        bool accepted = false;
        bool cancelRequested = false;           // of it, or of one that it needs
        std::optional<Time> cancelConfirmed{};  // its user, or that of one that it needs, was told
        std::optional<protocol::JobState> terminalState{};  // as some controller told its user
        std::set<std::uint32_t> completed{};                // tasks
        std::uint32_t completionLimit = 0;  // so many tasks end once they have run for a while
        bool allCompleted() const { return completed.size() == spec.tasks; }
    };

    /// Records a broken rule unless `holds`.
    void require(bool holds, const std::string& rule) {
        if (!holds) broken.push_back(rule);
    }
    JobFacts& job(const std::string& id) { return jobs.at(id); }

    void noteCancelRequested(const std::string& id) {
        for (auto* affected : withDependents(id)) affected->cancelRequested = true;
    }
    void noteCancelled(const std::string& id, Time now) {
        for (auto* affected : withDependents(id))
            if (!affected->cancelConfirmed) affected->cancelConfirmed = now;
    }

    std::map<std::string, JobFacts> jobs;
    std::vector<std::string> broken;

  private:
    std::vector<JobFacts*> withDependents(const std::string& id) {
        std::vector<JobFacts*> found{&jobs.at(id)};
        for (std::size_t at = 0; at < found.size(); ++at)
            for (auto& [other, facts] : jobs) {
                const auto& needs = facts.spec.dependencies;
                const bool dependent = std::count(needs.begin(), needs.end(), found[at]->spec.id) > 0;
                if (dependent && std::count(found.begin(), found.end(), &facts) == 0) found.push_back(&facts);
            }
        return found;
    }
};

}  // namespace burlpoint::tests
