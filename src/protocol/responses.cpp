#include "protocol/responses.h"

#include "protocol/job_messages.h"
#include "transport/http_message.h"

namespace burlpoint::protocol {

using transport::Response;

Response respond(int status, std::string body) {
    Response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

Response retryLater(int status, std::string_view why, std::chrono::seconds retryAfter) {
    auto response = respond(status, errorReply(why));
    response.retryAfter = retryAfter;
    return response;
}

Response wrongMethod(const char* allow, std::string body) {
    auto response = respond(405, std::move(body));
    response.allow = allow;
    return response;
}

}  // namespace burlpoint::protocol
