#pragma once

// This controller's copy of the state in the key-value store: jobs, the leader, the fencing token, the
// machine registry and the machine types. Changes of keys may arrive out of order or twice. Each value has
// the version of the transaction that wrote it, and an older value never replaces a newer one. Owns all of
// this state, jobs included. Used on the controller's event loop thread.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bookkeeping/job.h"
#include "bookkeeping/job_dependencies.h"
#include "bookkeeping/job_table.h"
#include "bookkeeping/replica_change.h"
#include "protocol/cloud_messages.h"
#include "protocol/store_messages.h"
#include "storage/records.h"

namespace burlpoint::bookkeeping {

/// A machine's entry in the machine registry.
struct StoredMachine {
    storage::MachineRecord record;
    std::uint64_t version = 0;
};

class StateReplica {
  public:
    StateReplica() = default;
    // Not copyable, as its members refer to each other.
    StateReplica(const StateReplica&) = delete;
    StateReplica& operator=(const StateReplica&) = delete;

    // Each function with a parameter `changes` appends to it the changes that the function has made.

    /// Applies a change of a key, unless it is older than the known value. False if its value is malformed,
    /// in which case nothing has changed.
    bool apply(const protocol::KeyChange& change, std::vector<ReplicaChange>& changes);
    /// Removes the leader and the machines whose keys are not in `read`, after a read of all keys.
    void dropUnread(const std::set<std::string>& read, std::vector<ReplicaChange>& changes);
    /// Records that this controller has stored the job as done, at `version`.
    void applyCompletion(Job& job, std::uint64_t version, std::uint64_t endedMs,
                         std::vector<ReplicaChange>& changes);
    /// Records the confirmed cancellation of a job before a read shows it. `version` is that of the job's
    /// record with the cancellation.
    void applyCancellation(const std::string& id, std::uint64_t version, std::vector<ReplicaChange>& changes);
    /// Updates effective priorities and due times. Must be called after changes of jobs with dependencies.
    void updateEffectivePriorities() { dependencies_.updateEffectivePriorities(); }

    /// The jobs cancelled by their users, in the order in which this controller learned of the cancellations.
    /// Append-only. Jobs cancelled with a dependency are not included, as each controller derives these
    /// itself.
    const std::vector<const Job*>& cancelled() const { return cancelled_; }
    /// Null if there is no such job.
    Job* find(const std::string& id) { return jobs_.find(id); }
    const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_.jobs(); }
    /// The open jobs in order of arrival.
    std::vector<Job*> openJobs() const { return jobs_.openJobs(); }

    std::optional<storage::LeaderRecord> leader;
    std::uint64_t leaderVersion = 0;
    std::uint64_t fencingToken = 0;
    std::uint64_t tokenVersion = 0;
    std::map<std::string, StoredMachine> registeredMachines;
    std::vector<protocol::MachineType> types;
    std::uint64_t typesVersion = 0;
    std::uint64_t revision = 0;

  private:
    void applyLeader(const protocol::KeyChange& change, std::vector<ReplicaChange>& changes);
    void applyToken(const protocol::KeyChange& change);
    void applyTypes(const protocol::KeyChange& change, std::vector<ReplicaChange>& changes);
    void applyMachine(const protocol::KeyChange& change, std::vector<ReplicaChange>& changes);
    bool isOutdated(const std::string& machine, const protocol::KeyChange& change) const;
    void applyJobKey(const protocol::KeyChange& change, std::vector<ReplicaChange>& changes);
    void applyJob(const std::string& id, const msgpack::object& value, std::uint64_t version,
                  std::vector<ReplicaChange>& changes);
    void addOpenJob(Job& job, std::vector<ReplicaChange>& changes);
    void terminate(Job& job, storage::TerminalState terminalState, std::uint32_t doneCount,
                   std::uint64_t version, std::vector<ReplicaChange>& changes);
    static bool applyBits(Job& job, std::string_view rangeText, const msgpack::object& value,
                          std::uint64_t version);

    JobTable jobs_;
    JobDependencies dependencies_{jobs_};
    std::vector<const Job*> cancelled_;
    /// Versions of confirmed cancellations, by the ids of jobs whose records have not been read yet.
    std::map<std::string, std::uint64_t> earlyCancellations_;
};

}  // namespace burlpoint::bookkeeping
