#include "protocol/responses.h"

#include <utility>

#include "protocol/job_messages.h"
#include "transport/http_status.h"

namespace burlpoint::protocol {

using transport::Response;

Response makeResponse(int status, std::string body) {
    Response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

Response makeRetryLaterResponse(int status, std::string_view reason, std::chrono::seconds retryAfter) {
    auto response = makeResponse(status, encodeErrorReply(reason));
    response.retryAfter = retryAfter;
    return response;
}

Response makeMethodNotAllowedResponse(const char* allow, std::string body) {
    auto response = makeResponse(transport::http_status::kMethodNotAllowed, std::move(body));
    response.allow = allow;
    return response;
}

}  // namespace burlpoint::protocol
