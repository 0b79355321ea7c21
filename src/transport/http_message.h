#pragma once

/// HTTP requests and responses, as the server and those that serve them exchange them.

#include <chrono>
#include <functional>
#include <string>

namespace burlpoint::transport {

struct Request {
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    bool tooLarge = false;  // the body went over the limit and was not kept
};

struct Response {
    int status = 200;
    std::string body;
    std::chrono::seconds retryAfter{0};  // 0: no such header
    std::string allow;                   // methods for a 405
};

using Reply = std::function<void(Response)>;
using Handler = std::function<void(Request&&, Reply)>;

}  // namespace burlpoint::transport
