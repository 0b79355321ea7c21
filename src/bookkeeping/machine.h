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

/// A machine and what this leader knows of it and of its worker.
struct Machine {
    std::string id;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    const protocol::MachineType* typeInfo = nullptr;  // its type's description, once that is known

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

}  // namespace burlpoint::bookkeeping
