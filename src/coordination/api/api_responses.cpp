#include "coordination/api/api_responses.h"

#include "protocol/job_messages.h"
#include "protocol/responses.h"

namespace burlpoint::coordination {

using transport::Response;

Response storeUnavailable() {
    return protocol::makeRetryLaterResponse(503, "the state service does not answer");
}

Response noSuchJob() { return protocol::makeResponse(404, protocol::encodeErrorReply("no such job")); }

Response rejected(RejectionReason reason) {
    return protocol::makeResponse(422, protocol::encodeErrorReply(textOf(reason)));
}

Response methodNotAllowed(const char* allow) {
    return protocol::makeMethodNotAllowedResponse(allow, protocol::encodeErrorReply("method not allowed"));
}

}  // namespace burlpoint::coordination
