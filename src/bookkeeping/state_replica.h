#pragma once

// This controller's copy of what is stored in the key-value store: jobs, the leader, the fencing token, the
// machine registry and the machine types. Changes of keys may arrive late or twice; each value has the
// version of the transaction that wrote it, and older values never replace newer ones. Owns all of it, jobs
// included. Used on the controller's event loop thread.

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
    // Its parts refer to each other.
    StateReplica(const StateReplica&) = delete;
    StateReplica& operator=(const StateReplica&) = delete;

    // Each function that takes `changes` appends what it has changed.

    /// Applies a change of a key, unless it is older than what is known. False: its value is malformed, and
    /// nothing has changed.
    bool apply(const protocol::KeyChange& change, std::vector<Change>& changes);
    /// Removes the leader and the machines whose keys are not in `read`, after all keys were read anew.
    void dropUnread(const std::set<std::string>& read, std::vector<Change>& changes);
    /// This controller has stored the job's end as done, at `version`.
    void noteDone(Job& job, std::uint64_t version, std::uint64_t endedMs, std::vector<Change>& changes);
    /// A job's cancellation is confirmed, and no read has shown it yet. `version` is that of the job's record
    /// with the cancellation.
    void noteCancelled(const std::string& id, std::uint64_t version, std::vector<Change>& changes);
    /// Brings effective priorities and due times up to date, after changes of jobs with dependencies.
    void updateEffectivePriorities() { dependencies_.updateEffectivePriorities(); }

    /// Jobs cancelled by their users, in the order in which this controller learned of it; it only grows.
    /// Jobs cancelled with a dependency are not among them, as each controller works these out for itself.
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
    void applyLeader(const protocol::KeyChange& change, std::vector<Change>& changes);
    void applyToken(const protocol::KeyChange& change);
    void applyTypes(const protocol::KeyChange& change, std::vector<Change>& changes);
    void applyMachine(const protocol::KeyChange& change, std::vector<Change>& changes);
    bool isOutdated(const std::string& machine, const protocol::KeyChange& change) const;
    void applyJobKey(const protocol::KeyChange& change, std::vector<Change>& changes);
    void applyJob(const std::string& id, const msgpack::object& value, std::uint64_t version,
                  std::vector<Change>& changes);
    void addOpenJob(Job& job, std::vector<Change>& changes);
    void terminate(Job& job, storage::TerminalState terminalState, std::uint32_t doneCount,
                   std::uint64_t version, std::vector<Change>& changes);
    static bool applyBits(Job& job, std::string_view rangeText, const msgpack::object& value,
                          std::uint64_t version);

    JobTable jobs_;
    JobDependencies dependencies_{jobs_};
    std::vector<const Job*> cancelled_;
    /// Versions of confirmed cancellations of jobs that are not known yet.
    std::map<std::string, std::uint64_t> cancelledAhead_;
};

}  // namespace burlpoint::bookkeeping
