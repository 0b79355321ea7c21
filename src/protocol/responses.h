#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "transport/http_message.h"

/// The HTTP responses that a node gives to users, workers, the load balancer and peers. Holds no state.
namespace burlpoint::protocol {

/// A response with `status` and `body`, which is already encoded; no body by default.
transport::Response respond(int status, std::string body = {});

/// A refusal that the client should try again `after` some seconds (`Retry-After`, at least 1 s). `why` is
/// told in the body.
transport::Response retryLater(int status, std::string_view why,
                               std::chrono::seconds after = std::chrono::seconds(1));

/// 405: the path takes only the method `allow`. No body by default.
transport::Response wrongMethod(const char* allow, std::string body = {});

}  // namespace burlpoint::protocol
