#pragma once

// The operators' policy: an XML file in which operators tune how the cluster is run. The platform's settings
// are in protocol/settings.h. Read once at the start; nothing changes afterwards.

#include <string>

#include "base/clock.h"
#include "protocol/settings_file.h"

namespace burlpoint::protocol {

/// Operator policy. Every element of the file is optional; the defaults suit both first deployments.
struct Policy {
    Seconds leadership{0};    ///< life of the leader's lease; 0: derived from the workers' lease
    Seconds idleKeep{10};     ///< how long a machine without tasks is kept, at least
    double bootKeep = 0.8;    ///< the same as a multiple of its type's boot time; the longer of both counts
    Seconds minimumKeep{55};  ///< how long every machine is kept, as the cloud charges a minute at least
    Seconds backlogHorizon{45};      ///< the time in which a backlog of short tasks should be worked off
    Seconds fetchStart{5};           ///< assumed time to fetch an image until a fetch has been measured
    Seconds longestPassedOver{120};  ///< a job that has waited longer goes before others of its priority
    bool preempt = true;             ///< whether running tasks may be preempted
};

/// Both throw `InvalidSettings`.
Policy readPolicy(const std::string& path);
Policy parsePolicy(const std::string& xml);

}  // namespace burlpoint::protocol
