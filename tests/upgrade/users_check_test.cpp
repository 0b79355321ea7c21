// Tests of the checks in `Users`: each invariant of the controllers' responses is violated once and has to be
// reported.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/job_messages.h"
#include "protocol/msgpack_codec.h"
#include "transport/http_message.h"
#include "upgrade/check_fixture.h"
#include "upgrade/users.h"

using namespace burlpoint::tests;
using burlpoint::Clock;
using burlpoint::protocol::JobState;
using burlpoint::transport::Request;
using burlpoint::transport::Response;
namespace protocol = burlpoint::protocol;

namespace {

class UsersTest : public testing::Test {
  protected:
    UsersTest() {
        controller.script = [this](const Request& request) { return answerCorrectly(request); };
    }

    /// Submits a job, waits until the controller accepts it, and marks all its tasks as completed.
    void submitCompletedJob(const std::string& id, std::vector<std::string> dependencies = {}) {
        users.submit(makeSmallJob(id, std::move(dependencies)), 0);
        stepUntil([&] { return oracle.job(id).accepted; });
        for (std::uint32_t task = 0; task < oracle.job(id).spec.tasks; ++task)
            oracle.job(id).completed.insert(task);
    }
    void stepUntil(const std::function<bool()>& condition) {
        while (!condition()) {
            users.step(Clock::now());
            io.run_for(kStepDuration);
        }
    }
    void stepUntilViolation(const std::string& expectedPrefix) {
        stepUntil([&] { return !oracle.violations.empty(); });
        EXPECT_TRUE(firstViolation(oracle).starts_with(expectedPrefix)) << firstViolation(oracle);
    }
    void stepUntilRequestsAnswered(std::size_t count) {
        stepUntil([&, until = controller.answeredRequests + count] {
            return controller.answeredRequests >= until;
        });
    }
    Response answerCorrectly(const Request& request) const {
        Response response;
        const auto id = jobIdOf(request);
        if (!oracle.jobs.contains(id)) {
            response.status = 404;
            return response;
        }
        const bool first = request.path == protocol::paths::kSubmissions && !oracle.jobs.at(id).accepted;
        response.status = first ? 201 : 200;
        response.body = protocol::encodeJobReply(
            id, answeredStates.contains(id) ? answeredStates.at(id) : JobState::queued);
        return response;
    }
    static std::string jobIdOf(const Request& request) {
        if (request.path == protocol::paths::kSubmissions)
            return protocol::decodeSpec(protocol::unpackBody(request.body).get()).id;
        const auto start = std::string(protocol::paths::kSubmissions).size() + 1;
        return request.path.substr(start, request.path.find('/', start) - start);
    }

    asio::io_context io{1};
    TestOracle oracle;
    std::map<std::string, JobState> answeredStates;  // by job, as the controller answers them
    ScriptedController controller{io};
    Users users{io, oracle, {controller.endpoint()}};
};

}  // namespace

TEST_F(UsersTest, CorrectAnswersBreakNoRule) {
    submitCompletedJob(kJob);
    submitCompletedJob(kDependent, {kJob});
    stepUntilRequestsAnswered(30);
    answeredStates[kJob] = JobState::done;
    stepUntil([&] { return oracle.job(kJob).terminalState.has_value(); });
    answeredStates[kDependent] = JobState::cancelled;
    users.cancel(kDependent, 0);
    stepUntil([&] { return oracle.job(kDependent).cancelConfirmed.has_value(); });
    stepUntilRequestsAnswered(30);
    EXPECT_EQ(oracle.violations, std::vector<std::string>());
}

TEST_F(UsersTest, DoneJobAnsweredAsRunningBreaksWentBack) {
    submitCompletedJob(kJob);
    answeredStates[kJob] = JobState::done;
    stepUntil([&] { return oracle.job(kJob).terminalState.has_value(); });
    answeredStates[kJob] = JobState::running;
    stepUntilViolation("went_back");
}

TEST_F(UsersTest, UnrequestedCancellationBreaksWentBack) {
    submitCompletedJob(kJob);
    answeredStates[kJob] = JobState::cancelled;
    stepUntilViolation("went_back");
}

TEST_F(UsersTest, PendingDependentOfACancelledJobBreaksOrphaned) {
    submitCompletedJob(kJob);
    submitCompletedJob(kDependent, {kJob});
    answeredStates[kJob] = JobState::cancelled;
    users.cancel(kJob, 0);
    stepUntilViolation(std::string("orphaned: ") + kDependent);
}

TEST_F(UsersTest, DoneJobWithAnIncompleteTaskBreaksNotDone) {
    submitCompletedJob(kJob);
    oracle.job(kJob).completed.erase(1);
    answeredStates[kJob] = JobState::done;
    stepUntilViolation("not_done");
}

TEST_F(UsersTest, AcceptedJobAnsweredWith404BreaksForgotten) {
    submitCompletedJob(kJob);
    controller.script = [](const Request& request) {
        Response response;
        response.status = request.method == "GET" ? 404 : 503;
        return response;
    };
    stepUntilViolation("forgotten");
}

TEST_F(UsersTest, AcceptedJobAcceptedAsNewBreaksForgotten) {
    submitCompletedJob(kJob);
    controller.script = [this](const Request& request) {
        auto response = answerCorrectly(request);
        if (request.method == "POST") response.status = 201;
        return response;
    };
    stepUntilViolation("forgotten");
}

TEST_F(UsersTest, StateOfAnUnsubmittedJobBreaksInvented) {
    submitCompletedJob(kJob);
    controller.script = [](const Request& request) {
        Response response;
        response.body = protocol::encodeJobReply(jobIdOf(request), JobState::queued);
        return response;
    };
    stepUntilViolation("invented");
}

TEST_F(UsersTest, AnswerForAnotherJobIsReported) {
    submitCompletedJob(kJob);
    controller.script = [this](const Request& request) {
        auto response = answerCorrectly(request);
        if (response.status == 200) response.body = protocol::encodeJobReply(kDependent, JobState::queued);
        return response;
    };
    stepUntilViolation(std::string(kJob) + " at scripted answered for another job");
}
