#pragma once

// A machine as the leader knows it: its worker's messages and lease, its placements and the sum of the
// resources that they use, its image cache and its failures. Machines are owned by the Fleet, which maintains
// indexes over some of the fields. These fields must only be changed through the Fleet's functions.

#include <array>
#include <chrono>
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
#include "bookkeeping/recent_failures.h"
#include "bookkeeping/recent_starts.h"
#include "bookkeeping/resources.h"
#include "protocol/cloud_messages.h"

namespace burlpoint::bookkeeping {

/// The number of values of protocol::Priority.
inline constexpr std::size_t kPriorities = 4;
/// The index in ResourceUse::withoutAccelerators, after those of the priorities, for service replicas of any
/// priority.
inline constexpr std::size_t kReplicaUse = kPriorities;

/// Whether the machine's entry is in the stored machine registry.
enum class RegistrationState { absent, writing, stored };

/// What the worker's messages have shown, and what this leader concludes from them about whether the worker
/// can be reached. Written by the reconciliation of heartbeats and by the modules that send commands and
/// handle the responses to them.
struct AgentState {
    std::uint64_t incarnation = 0;  // of the newest message
    std::uint64_t sequence = 0;     // of the newest message
    Time lastMessageAt{};           // when the newest message arrived
    /// The worker has reported this leader's fencing token: commands of earlier leaders can no longer start
    /// tasks, and the worker's list of tasks is complete.
    bool acknowledged = false;
    /// Number of consecutive responses that did not reach the worker, as its next heartbeats showed.
    std::uint32_t undeliveredResponses = 0;
    /// Number of consecutive heartbeats that were older than the newest message.
    std::uint32_t staleHeartbeats = 0;
    /// The worker's message counters restarted, so delayed copies cannot be distinguished from new messages.
    /// All its messages are ignored, and the machine is replaced.
    bool quarantined = false;
    std::optional<Time> unreachableSince;  // since when neither responses nor commands seem to reach it
    bool probing = false;                  // a probe is in progress
    Time probedAt{};                       // when a probe was last answered

    HeartbeatVersion latestVersion() const { return {incarnation, sequence}; }
};

/// The worker's lease as the leader must assume it. Written by the modules that answer heartbeats and detect
/// expired leases.
struct WorkerLease {
    bool active = false;  // a heartbeat was answered, and the lease has not expired since
    Time lastHeartbeat{};
    Time until = Time::max();  // by this time the worker has stopped its tasks unless the lease is renewed
};

/// The state of the machine in the cloud. Written by the modules that handle the cloud's lists of machines,
/// interruption notices and deletions.
struct CloudState {
    Time firstSeenAt{};  // when this leader added it, or earlier by the age that the cloud lists
    std::optional<Time> interruptionAt;  // when the cloud reclaims the spot machine
    bool draining = false;               // no more tasks are started on it
    bool deletionRequested = false;
    bool failed = false;  // the cloud lists it as stopped by itself
};

/// A machine counts as faulty until this long after the last failure, unless a task succeeds on it. A machine
/// with services reports no success and is not deleted, so it has to be tried again, soon enough that no job
/// waits beside it for the 90 s after which users count a job as starved.
inline constexpr std::chrono::seconds kMachineFailureRetention{60};

/// The history of the tasks on the machine. Written where tasks start and end.
struct TaskHistory {
    Time lastBusyAt{};         // when it last had a task, or was added if it had none so far
    Time startBackoffUntil{};  // no task is started before this time, as the worker refused one
    RecentFailures failures{kMachineFailureRetention};  // by job, since a task last succeeded on it
    RecentStarts recentStarts;
};

/// Capacity that is reserved for one job. Written by Fleet::reserve and Fleet::cancelReservation only.
struct MachineReservation {
    const Job* job = nullptr;  // null if there is no reservation
    Time until{};
    bool withoutPreemption = false;  // no task is stopped for it: it waits for tasks to end by themselves
    std::uint32_t tasks = 1;         // number of tasks for which capacity is reserved

    bool isActive(Time now) const { return job && until > now; }
};

/// Sums of the resources that the machine's placements use. Written by the Fleet only.
struct ResourceUse {
    Resources total;
    /// Use by tasks that need no accelerators, by priority; by service replicas at the index kReplicaUse.
    std::array<Resources, kPriorities + 1> withoutAccelerators;
    /// Use by tasks that may be preempted, by priority. Service replicas and tasks of gangs of at least two
    /// tasks may not.
    std::array<Resources, kPriorities> preemptible;
};

/// The machine's entry in the registry from which the next leader will know it, and whether it has been
/// reconciled with this leader. Written when the machine is added, then only by Fleet::setRegistration and
/// Fleet::setReconciled.
struct RegistryStatus {
    RegistrationState state = RegistrationState::absent;
    /// No task of an earlier leader that is unknown to this one can be on it: no earlier leader can have
    /// started one, its worker has reported this leader's fencing token together with its tasks, or its lease
    /// has expired.
    bool reconciled = false;
    bool countedUnreconciled = false;  // it is counted in Fleet::unreconciled
};

/// A machine and what this leader knows of it and of its worker, grouped by the modules that write it.
struct Machine {
    std::string id;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    const protocol::MachineType* typeInfo = nullptr;  // null until its type's description is known

    AgentState agent;
    WorkerLease lease;
    CloudState cloud;
    TaskHistory history;

    RegistryStatus registry;
    MachineReservation reservation;
    ResourceUse use;
    /// The attempts that may be on the machine. Added and removed by the Fleet only.
    std::map<AttemptKey, Placement> placements;
    /// The presumed content of its image cache, most recently used first. Changed by Fleet::recordImageUse
    /// only.
    std::vector<CachedImage> images;

    bool hasImage(const Image& image) const;
    /// True if a task on the machine fetches the image, or will do so as soon as its start command arrives.
    bool isFetching(const Image& image) const;
};

}  // namespace burlpoint::bookkeeping
