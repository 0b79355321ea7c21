#pragma once

// The rules that must hold at every moment of a simulated history. Broken ones are added to the environment's
// list. It keeps what it has seen before, to notice what changes that must not.

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/clock.h"
#include "bookkeeping/fleet.h"
#include "bookkeeping/state_replica.h"
#include "simulation/environment.h"
#include "simulation/simulated_store.h"
#include "simulation/simulated_workers.h"

namespace burlpoint::simulation {

class RuleChecker {
  public:
    RuleChecker(Environment& environment, const SimulatedStore& store, const SimulatedWorkers& workers)
        : environment_(environment), store_(store), workers_(workers) {}

    // --- at single events ---

    /// A task begins to fetch its image or to run: it runs nowhere else, and quotas, placement constraints,
    /// dependencies and cancellations allow it.
    void checkPlacement(const SimulatedWorker& worker, const protocol::Attempt& attempt);
    /// A start leaves a leader that could know of a cancellation of its job. Starts that were under way by
    /// then may still arrive; their tasks have to be gone in time like the others.
    void checkStartCommand(const protocol::WorkerCommand& command, bookkeeping::StateReplica& replica,
                           bool leaderReachesStore);
    /// A worker may be told to forget a result once the store has it, or the job is over.
    void checkAcknowledgement(const protocol::Attempt& attempt);

    // --- at each step of time ---

    /// A cancelled task is gone within the time set, whether or not its machine can be reached or runs.
    void checkCancelledTasks();
    /// What was accepted stays in the store, and terminal states stay as they are.
    void checkStoredRecords();
    /// Once the faults are over, no job waits for long that has room and may run. `explain` says in words why
    /// a job may be waiting.
    void checkWaitingJobs(const std::function<std::string(const std::string& job)>& explain);

  private:
    /// What the tasks on the workers hold at one moment.
    struct Usage {
        std::map<std::string, bookkeeping::Resources> teams, machines;
        std::set<std::string> runningJobs;  // with a task somewhere
    };

    void report(const std::string& brokenRule) { environment_.brokenRules.push_back(brokenRule); }
    /// The time that the job has been cancelled for, or none.
    std::optional<Clock::duration> cancelledFor(const std::string& job) const;
    bool cancelTimeoutIsOver(const std::string& job) const;
    void checkZones(const SimulatedWorker& worker, const protocol::Attempt& attempt,
                    std::map<std::string, std::uint32_t> tasksInZones);
    bool isOverQuota(const protocol::JobSpec& spec, double cpus, double gpus) const;

    Usage currentUsage() const;
    /// The worker has had no fault for a while and the job's placement constraints allow its machine.
    bool mayHost(const SimulatedWorker& worker, const protocol::JobSpec& spec) const;
    /// How many more tasks of the job have room beside what runs, in the zones that it may have.
    std::uint32_t roomFor(const protocol::JobSpec& spec, Usage& usage) const;
    /// Nothing of the job runs, and its team's quota and the machines' room let it begin.
    bool couldBegin(const protocol::JobSpec& spec, Usage& usage) const;

    Environment& environment_;
    const SimulatedStore& store_;
    const SimulatedWorkers& workers_;
    std::size_t checkedEvents_ = 0;  // of the store's log
    std::map<std::string, storage::TerminalState> storedStates_;
    std::set<protocol::Attempt> reportedCancelled_;
    std::map<std::string, Time> waitingSince_;
    std::set<std::string> reportedWaiting_;
};

}  // namespace burlpoint::simulation
