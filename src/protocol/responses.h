#pragma once

// Builds the HTTP responses that a controller sends to users, workers, the load balancer and other
// controllers. Holds no state.

#include <chrono>
#include <string>
#include <string_view>

#include "transport/http_message.h"

namespace burlpoint::protocol {

/// `Retry-After` of a response if it is unknown when a retry would succeed.
inline constexpr std::chrono::seconds kDefaultRetryAfter{1};

/// A response with that HTTP status. `body` is encoded.
transport::Response makeResponse(int status, std::string body = {});

/// A response that asks the client to retry after that time (`Retry-After`, at least 1 s). The body gives the
/// reason.
transport::Response makeRetryLaterResponse(int status, std::string_view reason,
                                           std::chrono::seconds retryAfter = kDefaultRetryAfter);

/// 405: the path accepts only the method `allow`. `body` is encoded.
transport::Response makeMethodNotAllowedResponse(const char* allow, std::string body = {});

}  // namespace burlpoint::protocol
