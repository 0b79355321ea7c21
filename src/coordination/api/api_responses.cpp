#include "coordination/api/api_responses.h"

#include "protocol/job_messages.h"
#include "protocol/responses.h"

namespace burlpoint::coordination {

using transport::Response;

Response storeUnavailable() { return protocol::retryLater(503, "the state service does not answer"); }

Response noSuchJob() { return protocol::respond(404, protocol::errorReply("no such job")); }

Response rejected(RejectionReason reason) {
    return protocol::respond(422, protocol::errorReply(textOf(reason)));
}

Response methodNotAllowed(const char* allow) {
    return protocol::wrongMethod(allow, protocol::errorReply("method not allowed"));
}

}  // namespace burlpoint::coordination
