#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "protocol/job_messages.h"

namespace burlpoint::protocol {

/// A settings file that cannot be used; the message names the field or element.
struct BadSettings : std::runtime_error {
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
    double cpus = 0;  // guaranteed
    double cpusMax = 0;
    double gpus = 0;  // guaranteed
    double gpusMax = 0;
};

/// What the platform's users expect of a class of jobs.
struct Objective {
    std::string kind;
    std::string jobClass;
    Seconds within{0};
    double share = 0;  // of the class's tasks or jobs
};

/// Limits of the state service.
struct StateLimits {
    double writeRps = 0;
    double valueKb = 0;
    unsigned txnOps = 0;
};

/// The platform's settings, one file per node.
struct Settings {
    std::string name;
    std::string zone;
    std::string listen;
    std::string peerListen;
    std::vector<Peer> peers;
    std::string cloud;
    std::string state;
    std::vector<std::string> zones;
    std::chrono::milliseconds clockError{0};
    std::vector<Team> teams;
    std::vector<Objective> objectives;
    Seconds report{3};     // between a worker's reports
    Seconds lease{30};     // of a worker, from its last answered report
    Seconds gangWait{40};  // how long a gang's task waits for the others
    Seconds gangPeer{8};   // within which a gang ends once one of its tasks has
    Seconds cancel{45};    // within which nothing of a cancelled job is left
    double stateRps = 100;
    double stateWriteRps = 20;
    double valueKb = 8;
    unsigned txnOps = 16;
    std::optional<StateLimits> nextState;  // in force from some moment on, without notice
    double cloudRps = 2;
    Seconds listLag{10};
    double coreShare = 1;
    double memoryMb = 100;
    unsigned maxConnections = 1000;

    const Team* team(const std::string& name) const;
    // What is written keeps from the start to the smaller of the limits now and next: nothing tells when the
    // next ones begin, and what is stored by then stays.
    double minValueKb() const { return nextState ? std::min(valueKb, nextState->valueKb) : valueKb; }
    unsigned minTxnOps() const { return nextState ? std::min(txnOps, nextState->txnOps) : txnOps; }
    double minWriteRps() const {
        return nextState ? std::min(stateWriteRps, nextState->writeRps) : stateWriteRps;
    }
    std::size_t valueBytes() const { return static_cast<std::size_t>(minValueKb() * 1024); }
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
