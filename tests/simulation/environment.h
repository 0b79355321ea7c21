#pragma once

// What all parts of a simulated cluster share: settings, faults, random numbers, simulated time, the jobs
// that users submitted, and what the checks have found.

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/cloud_messages.h"
#include "protocol/job_messages.h"
#include "protocol/policy.h"
#include "protocol/settings.h"
#include "simulation/event_queue.h"
#include "simulation/faults.h"
#include "simulation/random_source.h"

namespace burlpoint::simulation {

/// What is true of the jobs, whatever any controller says.
struct JobLedger {
    std::map<std::string, protocol::JobSpec> specs;  // by job id, of all accepted jobs
    std::map<std::string, Time> cancelledAt;  // by job id, of jobs cancelled with one they need as well
    std::set<std::string> completedTasks;     // as "job/task"

    void noteCompleted(const std::string& job, std::uint32_t task);
    bool isCompleted(const std::string& job, std::uint32_t task) const;
    bool allTasksCompleted(const std::string& job) const;
};

/// How often what a test is about took place.
struct Occurrences {
    std::size_t startedTasks = 0;
    std::size_t failovers = 0;                        // the first leader is counted too
    std::size_t lateWritesRejected = 0;               // newer writes came before them
    std::size_t heartbeatsSeenByNextLeader = 0;       // copies held back until a new leader had acted
    std::size_t heartbeatsOfEarlierIncarnations = 0;  // of these, from before the worker's last restart
    std::size_t commandsAfterRecovery = 0;            // carried out as a machine went on
    std::size_t commandsWithoutOutboundLink = 0;      // carried out by a machine that reached no controller
    std::size_t cancellationsAtJobEnd = 0;            // between a job's last result and its stored end
    std::size_t cancellationsOnUnreachableMachines = 0;  // machines with tasks of the cancelled job
    std::size_t cancellationsDelayedByOutage = 0;
    std::size_t answersInsideCutZone = 0;    // by a leader inside a zone that is cut off
    std::size_t failoversAtTeamMaximum = 0;  // with a team near its maximum and machines out of reach
    std::size_t startsAfterDependencies = 0;
    std::size_t cancellationsByDependency = 0;
};

struct Environment {
    Environment(std::uint64_t seed, const Faults& initialFaults);

    protocol::Settings settings;
    protocol::Policy policy;
    std::vector<protocol::MachineType> machineTypes;
    Faults faults;
    RandomSource random;
    EventQueue events;
    JobLedger jobs;
    Occurrences occurrences;
    std::vector<std::string> brokenRules;  // in words; empty as long as all is well

    Time now() const { return events.now(); }
};

}  // namespace burlpoint::simulation
