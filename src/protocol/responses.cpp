#include "protocol/responses.h"

#include <utility>

#include "protocol/job_messages.h"
#include "transport/http_status.h"

namespace burlpoint::protocol {

using transport::Response;

Response respond(int status, std::string body) {
    Response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

Response retryLater(int status, std::string_view reason, std::chrono::seconds retryAfter) {
    auto response = respond(status, errorReply(reason));
    response.retryAfter = retryAfter;
    return response;
}

Response wrongMethod(const char* allow, std::string body) {
    auto response = respond(transport::http_status::kMethodNotAllowed, std::move(body));
    response.allow = allow;
    return response;
}

}  // namespace burlpoint::protocol
