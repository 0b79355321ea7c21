#pragma once

// The operators' policy: an XML file in which operators tune how the cluster is run. The platform's settings
// are in protocol/settings.h. Read once at startup and not changed afterwards.

#include <string>

#include "base/clock.h"
#include "protocol/settings_file.h"

namespace burlpoint::protocol {

/// Operator policy. Every element of the file is optional; the defaults suit the first two deployments.
struct Policy {
    Seconds leaderLease{0};      ///< duration of the leader's lease; 0: derived from the workers' lease
    Seconds idleRetention{10};   ///< minimum time for which a machine without tasks is kept
    double bootRetention = 0.8;  ///< this minimum in boot times of the machine's type; the longer one applies
    Seconds minRetention{55};    ///< minimum lifetime of a machine; the cloud charges at least a minute
    Seconds backlogHorizon{45};  ///< target time to work off a backlog of short tasks
    Seconds initialFetchEstimate{5};   ///< assumed time to fetch an image until a fetch has been measured
    Seconds starvationThreshold{120};  ///< a job that has waited longer precedes others of its priority
    bool preempt = true;               ///< whether running tasks may be preempted
};

/// Both throw `InvalidSettings`.
Policy readPolicy(const std::string& path);
Policy parsePolicy(const std::string& xml);

}  // namespace burlpoint::protocol
