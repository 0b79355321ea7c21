#pragma once

// Builds the HTTP responses that a controller gives to users, workers, the load balancer and other
// controllers. Holds no state.

#include <chrono>
#include <string>
#include <string_view>

#include "transport/http_message.h"

namespace burlpoint::protocol {

/// `Retry-After` of a response that cannot tell when a retry would succeed.
inline constexpr std::chrono::seconds kDefaultRetryAfter{1};

/// A response with the HTTP status and an encoded body.
transport::Response respond(int status, std::string body = {});

/// A response that asks the client to try again after that time (`Retry-After`, at least 1 s). The body says
/// `why`.
transport::Response retryLater(int status, std::string_view why,
                               std::chrono::seconds retryAfter = kDefaultRetryAfter);

/// 405: the path takes only the method `allow`. `body` is encoded.
transport::Response wrongMethod(const char* allow, std::string body = {});

}  // namespace burlpoint::protocol
