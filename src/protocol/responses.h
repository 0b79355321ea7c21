#pragma once

// The HTTP responses that a controller gives to users, workers, the load balancer and peers. Holds no state.

#include <chrono>
#include <string>
#include <string_view>

#include "transport/http_message.h"

namespace burlpoint::protocol {

/// A response with `status` and `body`, which is already encoded; no body by default.
transport::Response respond(int status, std::string body = {});

/// A refusal that the client should repeat after some seconds (`Retry-After`, at least 1 s). The body says
/// why.
transport::Response retryLater(int status, std::string_view reason,
                               std::chrono::seconds after = std::chrono::seconds(1));

/// 405 Method Not Allowed: the path takes only the method `allow`. No body by default.
transport::Response wrongMethod(const char* allow, std::string body = {});

}  // namespace burlpoint::protocol
