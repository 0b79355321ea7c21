#pragma once

// The platform's settings: a TOML file that the platform writes for each controller. The operators' own file
// is in protocol/policy.h. Read once at startup and not changed afterwards.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/settings_file.h"

namespace burlpoint::protocol {

/// Another controller of the service.
struct Peer {
    std::string name;
    std::string zone;
    std::string address;  ///< the endpoint for other controllers
};

/// A team of users and its quota. A guaranteed amount of 0 means no guarantee, a maximum of 0 no limit.
struct Team {
    std::string name;
    double guaranteedCpus = 0;
    double maxCpus = 0;
    double guaranteedGpus = 0;
    double maxGpus = 0;
};

/// A service-level objective: what users may expect of a class of jobs.
struct ServiceLevelObjective {
    std::string kind;      ///< the kind of objective, as named by the platform
    std::string jobClass;  ///< empty: all classes
    Seconds timeLimit{0};  ///< the time after which the objective is missed
    double share = 0;      ///< fraction of the class's tasks or jobs that should meet it, from 0 to 1
};

/// Limits of the key-value store.
struct StoreLimits {
    double writesPerSecond = 0;         ///< key writes and deletions, of all clients together
    double maxValueKb = 0;              ///< largest value as JSON, in KiB
    unsigned maxTransactionWrites = 0;  ///< most key writes and deletions in one transaction
};

/// The platform's settings for one controller.
struct Settings {
    // This controller, its peers and the services it uses.
    std::string name;
    std::string zone;
    std::string listenAddress;      ///< endpoint for workers, users and the load balancer
    std::string peerListenAddress;  ///< endpoint for other controllers
    std::vector<Peer> peers;
    std::string cloudAddress;
    std::string storeAddress;  ///< address of the key-value store

    // The cluster.
    std::vector<std::string> zones;
    std::chrono::milliseconds maxClockError{0};  ///< upper bound of the error of wall-clock times
    std::vector<Team> teams;
    std::vector<ServiceLevelObjective> objectives;

    // Workers and their tasks.
    Seconds heartbeatInterval{3};  ///< time between two heartbeats of a worker
    Seconds workerLease{30};       ///< duration of a worker's lease, from its last acknowledged heartbeat
    Seconds gangWaitTimeout{40};   ///< how long a task of a gang waits for the others
    Seconds gangPeerTimeout{8};    ///< time within which a gang ends after one of its tasks has exited
    Seconds cancelTimeout{45};     ///< time after which no task of a cancelled job still runs

    // Limits of the key-value store, for all controllers together.
    double storeRequestsPerSecond = 100;
    double storeWritesPerSecond = 20;    ///< key writes and deletions
    double maxValueKb = 8;               ///< largest value as JSON, in KiB
    unsigned maxTransactionWrites = 16;  ///< most key writes and deletions in one transaction
    /// Limits that replace those above at some later time, which the key-value store does not announce.
    std::optional<StoreLimits> nextStoreLimits;

    // The cloud.
    double cloudRequestsPerSecond = 2;  ///< for all controllers together
    Seconds cloudListLag{10};  ///< longest delay until a change shows in the cloud's list of machines

    // Limits of the resources that this controller itself uses.
    double maxCpuCores = 1;          ///< CPU cores; may be a fraction
    double maxMemoryMb = 100;        ///< resident memory, in MiB
    unsigned maxConnections = 1000;  ///< most open sockets

    /// The team of that name; null if there is none.
    const Team* team(const std::string& name) const;

    // From startup on, writes respect the lower of the current and the next limits: it is unknown when the
    // next ones take effect, and values stored before then stay in the store.
    double minValueKb() const {
        return nextStoreLimits ? std::min(maxValueKb, nextStoreLimits->maxValueKb) : maxValueKb;
    }
    unsigned minTransactionWrites() const {
        return nextStoreLimits ? std::min(maxTransactionWrites, nextStoreLimits->maxTransactionWrites)
                               : maxTransactionWrites;
    }
    double minWritesPerSecond() const {
        return nextStoreLimits ? std::min(storeWritesPerSecond, nextStoreLimits->writesPerSecond)
                               : storeWritesPerSecond;
    }
    /// `minValueKb` in bytes.
    std::size_t maxValueBytes() const { return static_cast<std::size_t>(minValueKb() * 1024); }
};

/// Both throw `InvalidSettings`.
Settings readSettings(const std::string& path);
Settings parseSettings(const std::string& toml);

}  // namespace burlpoint::protocol
