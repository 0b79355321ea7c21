#pragma once

// This node's copy of what is stored in the key-value store, and what follows from it: which jobs are ready,
// which are cancelled with others, and how urgent each is.

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
#include "protocol/cloud_messages.h"
#include "protocol/store_messages.h"

namespace burlpoint::bookkeeping {

/// What kind of stored thing has changed.
enum class ChangeKind { job, leader, machine, types };
/// Something in the replica has changed.
struct Change {
    ChangeKind kind;
    std::string id;  // of the job or the machine, if it is one
};

/// A machine's entry in the machine registry.
struct StoredMachine {
    storage::MachineRecord record;
    std::uint64_t version = 0;
};

/// This node's copy of everything stored, in order of revisions.
class StateReplica {
  public:
    /// Takes a key's change unless it is older than what is known. False: a malformed value, skipped.
    bool apply(const protocol::KeyChange& change, std::vector<Change>& changes);
    /// After all keys were read anew: what was not among them is gone.
    void dropUnread(const std::set<std::string>& read, std::vector<Change>& changes);
    /// The job's end was stored at `version`.
    void noteDone(Job& job, std::uint64_t version, std::uint64_t endedMs, std::vector<Change>& changes);
    /// Brings priorities and times due up to date after jobs have come or gone that need others.
    void updateEffectivePriorities();
    /// A confirmed cancellation that no read has shown yet: `version` is that of the record which tells it.
    void noteCancelled(const std::string& id, std::uint64_t version, std::vector<Change>& changes);
    /// Jobs cancelled by their users, in the order in which this node learned of them; it only grows. Those
    /// that need one of them are cancelled with it, which each node sees for itself.
    const std::vector<const Job*>& cancelled() const { return cancelled_; }

    Job* find(const std::string& id);
    const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_; }
    /// The open jobs in order of arrival.
    std::vector<Job*> openJobs() const;

    std::optional<storage::LeaderRecord> leader;
    std::uint64_t leaderVersion = 0;
    std::uint64_t fencingToken = 0;
    std::uint64_t tokenVersion = 0;
    std::map<std::string, StoredMachine> registeredMachines;
    std::vector<protocol::MachineType> types;
    std::uint64_t typesVersion = 0;
    std::uint64_t revision = 0;

  private:
    struct NewestFirst {
        bool operator()(const Job* a, const Job* b) const;
    };
    void applyLeader(const protocol::KeyChange& change, std::vector<Change>& changes);
    void applyToken(const protocol::KeyChange& change);
    void applyTypes(const protocol::KeyChange& change, std::vector<Change>& changes);
    void applyMachine(const protocol::KeyChange& change, std::vector<Change>& changes);
    void applyJobKey(const protocol::KeyChange& change, std::vector<Change>& changes);
    void applyJob(const std::string& id, const msgpack::object& value, std::uint64_t version,
                  std::vector<Change>& changes);
    void enter(Job& job, std::vector<Change>& changes);
    void close(Job& job, TerminalState terminalState, std::uint32_t done, std::uint64_t version,
               std::vector<Change>& changes);
    void end(Job& job, TerminalState terminalState, std::uint32_t done);
    void cancelDependents(Job& job, std::vector<Change>& changes);
    void freeDependents(const Job& job, std::vector<Change>& changes);
    void staleDependencies(const Job& job);
    void updateEffectivePriorityOf(Job& job);
    static std::optional<std::uint64_t> dueFor(const Job& job, const std::vector<Job*>& dependents);
    static std::optional<BitRange> parseRange(const Job& job, std::string_view key);
    static bool applyBits(Job& job, std::string_view key, const msgpack::object& value,
                          std::uint64_t version);

    std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
    std::set<Job*, JobIdLess> open_;
    std::vector<const Job*> cancelled_;
    std::unordered_map<std::string, std::vector<Job*>> dependents_;  // of jobs that are not done
    // A job is accepted after all that it needs, so that in this order each is looked at once.
    std::set<Job*, NewestFirst> stalePriorities_;
    std::map<std::string, std::uint64_t> cancelledAhead_;  // of jobs that are not known yet
};

}  // namespace burlpoint::bookkeeping
