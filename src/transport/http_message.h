#pragma once

// The HTTP requests that the server passes to its handler, and the responses to them. Holds no state.

#include <chrono>
#include <functional>
#include <string>

namespace burlpoint::transport {

struct Request {
    std::string method;
    std::string path;   ///< the request target up to "?"
    std::string query;  ///< the request target after "?"
    std::string body;
    bool tooLarge = false;  ///< the body is larger than the server's limit; `body` is incomplete
};

struct Response {
    int status = 200;
    std::string body;                    ///< MessagePack, or empty
    std::chrono::seconds retryAfter{0};  ///< Retry-After header; 0: none
    std::string allow;                   ///< Allow header, the methods of a 405; empty: none
};

/// Sends the response to a request. May be called after the handler has returned, on the event loop's thread.
/// Only the first call has an effect, and none has once the connection is closed.
using Reply = std::function<void(Response)>;
using Handler = std::function<void(Request&&, Reply)>;

}  // namespace burlpoint::transport
