#pragma once

// The machines that a leader knows, what is possibly on them, and what that adds up to.

#include <algorithm>
#include <array>
#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/image.h"
#include "bookkeeping/job.h"
#include "protocol/cloud_messages.h"
#include "protocol/worker_messages.h"

namespace burlpoint::bookkeeping {

using protocol::MachineType;

/// An amount of processors, accelerators and memory.
struct Resources {
    double cpus = 0;
    double gpus = 0;
    double memoryGb = 0;

    Resources& operator+=(const Resources& o) {
        cpus += o.cpus, gpus += o.gpus, memoryGb += o.memoryGb;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cpus -= o.cpus, gpus -= o.gpus, memoryGb -= o.memoryGb;
        return *this;
    }
    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
    /// Sums of decimals are not exact; a billionth of a processor is not worth a refusal.
    bool covers(const Resources& o) const {
        constexpr double kSlack = 1e-6;
        return o.cpus <= cpus + kSlack && o.gpus <= gpus + kSlack && o.memoryGb <= memoryGb + kSlack;
    }
    /// How many `o` fit.
    std::uint32_t times(const Resources& o) const;
};

/// What one task of the job uses.
inline Resources needOf(const JobSpec& spec) { return {spec.cpus, spec.gpus, spec.memoryGb}; }
/// What so many of its tasks use.
inline Resources needOf(const JobSpec& spec, std::uint32_t tasks) {
    return {spec.cpus * tasks, spec.gpus * tasks, spec.memoryGb * tasks};
}
inline Resources sizeOf(const MachineType& type) { return {type.cpus, type.gpus, type.memoryGb}; }

inline constexpr std::size_t kPriorities = 4;
/// In Machine::plainUse the priorities are followed by replicas, whatever theirs.
inline constexpr std::size_t kReplicaUse = kPriorities;

/// How far an attempt has come, as far as the leader knows.
enum class PlacementState {
    planned,  // room kept, nothing sent yet
    sent,     // the start left in a heartbeat response, not seen yet
    fetching,
    waiting,
    running,
    saving
};

/// One attempt that is possibly on a machine.
struct Placement {
    Job* job = nullptr;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    PlacementState state = PlacementState::planned;
    std::uint64_t sentSequence = 0;  // of the heartbeat whose response carried the start
    Time since{};                    // of the state
    Time runningSince{};
    bool stopping = false;
    Seconds grace{0};
    bool seen = false;  // scratch for one heartbeat's sweep
};

/// Names an attempt among the placements of a machine. Ordered by the job's id, so that decisions do not
/// depend on where jobs lie in memory.
struct AttemptKey {
    const Job* job;
    std::uint32_t task;
    std::uint64_t attempt;
    bool operator==(const AttemptKey&) const = default;
    std::strong_ordering operator<=>(const AttemptKey& other) const {
        if (job != other.job) return job->spec.id <=> other.job->spec.id;
        return std::tie(task, attempt) <=> std::tie(other.task, other.attempt);
    }
};

/// Where a worker's message stands among its messages: incarnations rise with each start of the worker,
/// sequences with each message of a incarnation. The lesser of two was made first.
struct HeartbeatVersion {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const HeartbeatVersion&) const = default;
};
inline HeartbeatVersion heartbeatVersionOf(const protocol::Heartbeat& heartbeat) {
    return {heartbeat.incarnation, heartbeat.sequence};
}

/// Is the machine's entry in the stored machine registry?
enum class RegistrationState { absent, writing, stored };

/// A machine and what this leader knows of it and of its worker.
struct Machine {
    std::string id;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    const MachineType* typeInfo = nullptr;  // its type's description, once that is known

    std::uint64_t incarnation = 0;  // of the newest message
    std::uint64_t sequence = 0;     // of the newest message
    Time lastMessageAt{};           // when that came
    HeartbeatVersion latestVersion() const { return {incarnation, sequence}; }
    /// It showed our fencing token: nothing that an earlier leader sent can start any more, and its list is
    /// whole.
    bool acknowledged = false;
    /// Nothing of earlier leaders can be on it, as it was heard or its lease ran out.
    bool reconciled = false;           // changed by Fleet::setReconciled
    bool countedUnreconciled = false;  // among Fleet::unreconciled
    bool sendsHeartbeats = false;      // a heartbeat of it was answered and its lease is not over
    Time lastHeartbeat{};
    Time leaseUntil = Time::max();       // the worker has forgotten its tasks by then
    std::optional<Time> interruptionAt;  // the cloud takes it away

    RegistrationState registration = RegistrationState::absent;  // changed by Fleet::setRegistration
    std::map<AttemptKey, Placement> placements;
    Resources used;
    /// What tasks without accelerators use, by priority; at kReplicaUse what replicas use.
    std::array<Resources, kPriorities + 1> plainUse;
    /// What could be stopped for higher work, by priority: neither replicas nor tasks of larger gangs.
    std::array<Resources, kPriorities> stoppable;

    std::vector<CachedImage> images;  // inferred cache, most recently used first
    bool draining = false;            // takes no more tasks
    bool deletionRequested = false;   // its deletion was asked for
    bool failed = false;              // the cloud says that it stopped by itself
    Time firstSeenAt{};               // rented or first seen
    Time lastBusyAt{};                // when it last had a task
    Time probedAt{};                  // when a probe was last answered
    bool probing = false;
    /// Answers in a row that did not get through, as its next heartbeat shows.
    std::uint32_t undeliveredResponses = 0;
    std::uint32_t staleHeartbeats = 0;  // reports in a row older than the newest message
    /// Its worker has begun to count its messages anew, so that late copies can't be told from news: nothing
    /// of it is believed any more, and it is replaced.
    bool quarantined = false;
    std::optional<Time> unreachableSince;  // nothing seems to reach it
    Time startBackoffUntil{};              // no new starts after a refusal
    const Job* reservedFor = nullptr;      // changed by Fleet::reserve
    Time reservedUntil{};
    bool holding = false;             // only what comes free by itself is kept; nothing was stopped for it
    std::uint32_t reserved = 1;       // tasks that the room is kept for
    std::set<std::string> errorJobs;  // jobs that failed on it since a task last worked

    bool hasImage(const Image& image) const;
    bool isFetching(const Image& image) const;
    bool isReserved(Time now) const { return reservedFor && reservedUntil > now; }
};

/// What the cloud offers under one price: a type in a zone, spot or ordinary.
struct Offering {
    std::string type;
    std::string zone;
    bool spot = false;
    auto operator<=>(const Offering&) const = default;
};

/// All machines, what may be on them and what the teams use through that. Whatever a heartbeat's handling
/// asks for is kept as an index or a running total, so that its cost does not grow with the number of
/// machines.
class Fleet {
  public:
    std::map<std::string, std::unique_ptr<Machine>>& machines() { return machines_; }
    const std::map<std::string, std::unique_ptr<Machine>>& machines() const { return machines_; }
    Machine* find(const std::string& id);
    Machine& add(const std::string& id, Time now);
    /// Forgets the machine; nothing may be on it any more.
    void erase(const std::string& id);

    Placement& place(Machine& machine, Job& job, std::uint32_t task, std::uint64_t attempt,
                     PlacementState state, Time now);
    /// Proof arrived that the attempt is not on the machine. Returns the next placement.
    std::map<AttemptKey, Placement>::iterator remove(Machine& machine,
                                                     std::map<AttemptKey, Placement>::iterator at);
    void setState(Placement& placement, PlacementState state, Time now);
    void removeAll(Machine& machine, const std::function<void(const Placement&)>& gone);

    Resources teamUse(const std::string& team) const;
    /// Machines possibly holding a task of the job.
    std::vector<std::pair<Machine*, Placement*>> placementsOf(const Job& job);

    /// The job's priority and what is counted by it.
    void setPriority(Job& job, protocol::Priority priority);

    void setReconciled(Machine& machine, bool reconciled);
    void setRegistration(Machine& machine, RegistrationState registration);
    /// Rostered machines, by shape, that an earlier leader's tasks may be on.
    const std::map<Offering, std::uint32_t>& unreconciled() const { return unreconciled_; }

    /// The machine used the image: it is the latest in its cache, and the oldest over `cacheGb` are gone.
    void useImage(Machine& machine, const Image& image, double gb, double cacheGb);
    const std::vector<Machine*>& withImage(const Image& image) const;

    /// Keeps room on the machine for `tasks` of the job; null: no longer.
    void reserve(Machine& machine, const Job* job, Time until = {}, bool holding = false,
                 std::uint32_t tasks = 1);
    /// Machines whose room is kept for the job.
    std::size_t reservations(const Job& job, Time now) const;

  private:
    void count(Machine& machine);
    void account(Machine& machine, const Job& job, bool added);

    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::unordered_map<std::string, Resources> teamUse_;
    std::map<Offering, std::uint32_t> unreconciled_;
    std::unordered_map<Image, std::vector<Machine*>, Image::Hash> byImage_;
    std::unordered_map<const Job*, std::set<Machine*>> reserved_;
};

}  // namespace burlpoint::bookkeeping
