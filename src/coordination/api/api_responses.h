#pragma once

// The responses of the users' interface that several of its parts give. Holds no state.

#include "coordination/api/submission_validation.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// 503: the key-value store did not answer, so nothing certain can be said.
transport::Response storeUnavailable();

/// 404: no job of that id was accepted.
transport::Response noSuchJob();

/// 422: the job can never run.
transport::Response rejected(RejectionReason reason);

/// 405 with a body that says so, as users get it; the path takes only the method `allow`.
transport::Response methodNotAllowed(const char* allow);

}  // namespace burlpoint::coordination
