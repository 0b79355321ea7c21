#pragma once

// The reasons for which a controller resigns its leadership. Stateless functions.

#include "coordination/leadership/election.h"

namespace burlpoint::coordination {

enum class ResignationReason {
    newerTokenSeen,             // a worker's message carries a higher fencing token
    newerTokenStored,           // the key-value store holds a higher fencing token
    workersLost,                // heartbeats have stopped arriving from all workers
    workersNeverReached,        // no worker's heartbeat has reached this leader
    onlyThisControllerRefused,  // the key-value store answers other controllers but not this one
    overloaded                  // this controller's event loop falls behind
};

/// The name of the reason for logs, without spaces.
const char* nameOf(ResignationReason reason);

/// How this controller behaves in the next election: if the cause is likely on its own side, it defers to its
/// peers.
Election::Resignation resignationFor(ResignationReason reason);

}  // namespace burlpoint::coordination
