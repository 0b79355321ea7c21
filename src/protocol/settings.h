#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/job_messages.h"

namespace burlpoint::protocol {

/// A settings file that cannot be used; the message names the field or element.
struct InvalidSettings : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Another node of the service.
struct Peer {
    std::string name;
    std::string zone;
    std::string address;
};

/// A team of users; 0 means no guarantee or no limit.
struct Team {
    std::string name;
    double guaranteedCpus = 0;  // guaranteed
    double maxCpus = 0;
    double guaranteedGpus = 0;  // guaranteed
    double maxGpus = 0;
};

/// What the platform's users expect of a class of jobs.
struct ServiceLevelObjective {
    std::string kind;
    std::string jobClass;
    Seconds within{0};
    double share = 0;  // of the class's tasks or jobs
};

/// Limits of the key-value store.
struct StoreLimits {
    double writesPerSecond = 0;
    double maxValueKb = 0;
    unsigned maxTransactionWrites = 0;
};

/// The platform's settings, one file per node.
struct Settings {
    std::string name;
    std::string zone;
    std::string listenAddress;
    std::string peerListenAddress;
    std::vector<Peer> peers;
    std::string cloudAddress;
    std::string storeAddress;
    std::vector<std::string> zones;
    std::chrono::milliseconds clockError{0};
    std::vector<Team> teams;
    std::vector<ServiceLevelObjective> objectives;
    Seconds heartbeatInterval{3};  // between a worker's reports
    Seconds workerLease{30};       // of a worker, from its last answered report
    Seconds gangWaitTimeout{40};   // how long a gang's task waits for the others
    Seconds gangPeerTimeout{8};    // within which a gang ends once one of its tasks has
    Seconds cancelTimeout{45};     // within which nothing of a cancelled job is left
    double storeRequestsPerSecond = 100;
    double storeWritesPerSecond = 20;
    double maxValueKb = 8;
    unsigned maxTransactionWrites = 16;
    std::optional<StoreLimits> nextStoreLimits;  // in force from some moment on, without notice
    double cloudRequestsPerSecond = 2;
    Seconds cloudListLag{10};
    double coreShare = 1;
    double memoryMb = 100;
    unsigned maxConnections = 1000;

    const Team* team(const std::string& name) const;
    // What is written keeps from the start to the smaller of the limits now and next: nothing tells when the
    // next ones begin, and what is stored by then stays.
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
    std::size_t maxValueBytes() const { return static_cast<std::size_t>(minValueKb() * 1024); }
};

/// The operators' own settings (XML). Each has a default that suits both first deployments.
struct Policy {
    Seconds leadership{0};           // 0: derived from the workers' lease
    Seconds idleKeep{10};            // how long a machine without tasks is kept
    double bootKeep = 0.8;           // and at least this many of its type's boot times
    Seconds minimumKeep{55};         // the cloud charges a minute at least
    Seconds backlogHorizon{45};      // a backlog of short tasks should be gone after this
    Seconds fetchStart{5};           // fetch time assumed before one was seen
    Seconds longestPassedOver{120};  // what has waited for longer goes ahead of its like
    bool preempt = true;
};

Settings readSettings(const std::string& path);
Settings parseSettings(const std::string& toml);
Policy readPolicy(const std::string& path);
Policy parsePolicy(const std::string& xml);

}  // namespace burlpoint::protocol
