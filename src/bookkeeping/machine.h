#pragma once

// A machine as the leader knows it: its worker's messages and lease, its placements and what they add up to,
// its image cache and its failures. Machines are owned by the Fleet, which keeps indexes over some of the
// fields; these are changed through its functions only.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "bookkeeping/heartbeat_version.h"
#include "bookkeeping/image.h"
#include "bookkeeping/job.h"
#include "bookkeeping/placement.h"
#include "bookkeeping/resources.h"
#include "protocol/cloud_messages.h"

namespace burlpoint::bookkeeping {

/// The number of values of protocol::Priority.
inline constexpr std::size_t kPriorities = 4;
/// The place in Machine::plainUse after the priorities, for service replicas of any priority.
inline constexpr std::size_t kReplicaUse = kPriorities;

/// Is the machine's entry in the stored machine registry?
enum class RegistrationState { absent, writing, stored };

/// What the worker's agent has shown by its messages, and what this leader concludes from them about reaching
/// it. Written by the reconciliation of heartbeats and by the modules that send commands and take their
/// answers.
struct AgentState {
    std::uint64_t incarnation = 0;  // of the newest message
    std::uint64_t sequence = 0;     // of the newest message
    Time lastMessageAt{};           // when the newest message arrived
    /// It showed this leader's fencing token: nothing that an earlier leader sent can start any more, and its
    /// list of tasks is complete.
    bool acknowledged = false;
    /// Consecutive responses that did not reach the worker, as its next heartbeat showed.
    std::uint32_t undeliveredResponses = 0;
    /// Consecutive heartbeats that were older than the newest message.
    std::uint32_t staleHeartbeats = 0;
    /// The worker's counters began anew, so late copies can't be told from new messages: none of them is
    /// believed any more, and the machine is replaced.
    bool quarantined = false;
    std::optional<Time> unreachableSince;  // neither responses nor commands seem to reach it
    bool probing = false;                  // a probe is under way
    Time probedAt{};                       // when a probe was last answered

    HeartbeatVersion latestVersion() const { return {incarnation, sequence}; }
};

/// The worker's lease as the leader must count it. Written by the modules that answer heartbeats and find
/// expired leases.
struct WorkerLease {
    bool active = false;  // a heartbeat was answered, and the lease has not expired since
    Time lastHeartbeat{};
    Time until = Time::max();  // by then the worker has dropped its tasks unless the lease is renewed
};

/// The machine as the cloud has it. Written by the modules that handle the cloud's lists, interruption
/// notices and deletions.
struct CloudState {
    Time firstSeenAt{};                  // requested from the cloud, or first listed or heard from
    std::optional<Time> interruptionAt;  // when the cloud takes the spot machine back
    bool draining = false;               // takes no more tasks
    bool deletionRequested = false;
    bool failed = false;  // it stopped by itself, as the cloud lists it
};

/// What became of the tasks started on the machine. Written where tasks start and end.
struct TaskHistory {
    Time lastBusyAt{};                 // when it last had a task
    Time startBackoffUntil{};          // no task starts before, as the worker refused one
    std::set<std::string> failedJobs;  // jobs whose tasks failed on it since a task last succeeded
};

/// Room that is kept for one job. Written by Fleet::reserve and Fleet::cancelReservation only.
struct MachineReservation {
    const Job* job = nullptr;  // null: none
    Time until{};
    bool withoutPreemption = false;  // only room that becomes free by itself is kept
    std::uint32_t tasks = 1;         // for which room is kept

    bool isActive(Time now) const { return job && until > now; }
};

/// Sums over the machine's placements. Written by the Fleet only.
struct ResourceUse {
    Resources total;
    /// Of tasks without accelerators, by priority; at kReplicaUse that of service replicas.
    std::array<Resources, kPriorities + 1> plain;
    /// Of tasks that may be preempted, by priority: neither service replicas nor tasks of larger gangs.
    std::array<Resources, kPriorities> preemptible;
};

/// Whether the next leader knows of the machine. Written by Fleet::setRegistration and Fleet::setReconciled
/// only.
struct RegistryStatus {
    RegistrationState state = RegistrationState::absent;
    /// No task of an earlier leader can be on it: it was heard, or its lease has expired.
    bool reconciled = false;
    bool countedUnreconciled = false;  // among Fleet::unreconciled
};

/// A machine and what this leader knows of it and of its worker, grouped by who writes it.
struct Machine {
    std::string id;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    const protocol::MachineType* typeInfo = nullptr;  // its type's description, once that is known

    AgentState agent;
    WorkerLease lease;
    CloudState cloud;
    TaskHistory history;

    RegistryStatus registry;
    MachineReservation reservation;
    ResourceUse use;
    /// Attempts that may be on the machine. Added and removed by the Fleet only.
    std::map<AttemptKey, Placement> placements;
    /// The inferred image cache, most recently used first. Changed by Fleet::useImage only.
    std::vector<CachedImage> images;

    bool hasImage(const Image& image) const;
    /// Does a task on the machine fetch the image, or will it as soon as its start arrives?
    bool isFetching(const Image& image) const;
};

}  // namespace burlpoint::bookkeeping
