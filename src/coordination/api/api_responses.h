#pragma once

// Responses that several parts of the user API share. Owns no state.

#include "coordination/api/submission_validation.h"
#include "transport/http_message.h"

namespace burlpoint::coordination {

/// 503: the key-value store did not answer, so neither the state of a job nor the outcome of a write is
/// certain.
transport::Response storeUnavailable();

/// 404: no job with the requested id was accepted.
transport::Response noSuchJob();

/// 422: the job can never run.
transport::Response rejected(RejectionReason reason);

/// 405 with an error text in the body, since the path accepts only the method `allow`.
transport::Response methodNotAllowed(const char* allow);

}  // namespace burlpoint::coordination
