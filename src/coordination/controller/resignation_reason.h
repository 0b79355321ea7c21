#pragma once

// Why a controller gives up its leadership. Pure functions.

#include "coordination/leadership/election.h"

namespace burlpoint::coordination {

enum class ResignationReason {
    newerTokenSeen,             // a worker's message carries a higher fencing token
    newerTokenStored,           // the key-value store holds a higher fencing token
    workersLost,                // no worker's heartbeats reach this controller any more
    workersNeverReached,        // no worker's heartbeat ever reached this leader
    onlyThisControllerRefused,  // the key-value store answers other controllers and not this one
    overloaded                  // this controller does not keep up with its work
};

/// The reason as a value for logs, without spaces.
const char* nameOf(ResignationReason reason);

/// If this controller itself is the likely cause, its peers go first in the next election.
Election::Resignation resignationFor(ResignationReason reason);

}  // namespace burlpoint::coordination
