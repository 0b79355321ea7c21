#pragma once

// The state that all parts of a simulated cluster share: settings, fault rates, random numbers, simulated
// time, the submitted jobs, counters of the situations that tests target, and the invariant violations found.

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

/// The true state of the jobs, recorded independently of what any controller reports.
struct JobGroundTruth {
    std::map<std::string, protocol::JobSpec> specs;  // of all accepted jobs, by job id
    std::map<std::string, Time> cancelledAt;  // by job id; includes jobs cancelled through a dependency
    std::set<std::string> completedTasks;     // as "job/task"

    void markCompleted(const std::string& job, std::uint32_t task);
    bool isCompleted(const std::string& job, std::uint32_t task) const;
    bool allTasksCompleted(const std::string& job) const;
};

/// Counts how often the situations that tests target occurred, so that a test can fail if its histories did
/// not exercise them.
struct Occurrences {
    std::size_t startedTasks = 0;
    std::size_t failovers = 0;                        // elections, that of the first leader included
    std::size_t lateWritesRejected = 0;               // late transactions whose conditions no longer held
    std::size_t heartbeatsSeenByNextLeader = 0;       // copies delivered only after the next election
    std::size_t heartbeatsOfEarlierIncarnations = 0;  // of these, sent before a restart of the worker
    std::size_t commandsAfterRecovery = 0;            // executed once a hang or partition had ended
    std::size_t commandsWithoutOutboundLink = 0;      // executed while the worker reached no controller
    std::size_t copiesOfDirectCommands = 0;           // executed, each with at least one command
    std::size_t copiesOfStarts = 0;                   // executed
    std::size_t copiesOfStartsOfEndedAttempts = 0;    // of these, after the attempt had ended
    std::size_t cancellationsAtJobEnd = 0;  // after the last task completed, before the end was stored
    std::size_t cancellationsOnUnreachableMachines = 0;  // per such machine with tasks of the job
    std::size_t cancellationsDelayedByOutage = 0;
    std::size_t answersInsidePartitionedZone = 0;  // heartbeat responses of a leader inside the zone
    std::size_t failoversNearTeamQuota = 0;        // per team near its quota, with unreachable machines
    std::size_t failuresOnFaultyMachines = 0;      // tasks that failed as their machine was faulty
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
    JobGroundTruth jobs;
    Occurrences occurrences;
    std::vector<std::string> violations;  // one description each; empty if all invariants held

    Time now() const { return events.now(); }
};

}  // namespace burlpoint::simulation
