#pragma once

// Notifications of changes in the StateReplica. Plain values.

#include <string>

namespace burlpoint::bookkeeping {

enum class ReplicaChangeKind { job, leader, machine, types };

struct ReplicaChange {
    ReplicaChangeKind kind;
    std::string id;  // of the job or the machine, empty for other kinds
};

}  // namespace burlpoint::bookkeeping
