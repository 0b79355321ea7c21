// The checks of what users are told.
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

class UsersCheck : public testing::Test {
  protected:
    UsersCheck() {
        controller.script = [this](const Request& request) { return answerTruthfully(request); };
    }

    /// A job that the controller has accepted and whose tasks have all completed.
    void submitCompleted(const std::string& id, std::vector<std::string> dependencies = {}) {
        users.submit(makeSmallJob(id, std::move(dependencies)), 0);
        stepUntil([&] { return rules.job(id).accepted; });
        for (std::uint32_t task = 0; task < rules.job(id).spec.tasks; ++task)
            rules.job(id).completed.insert(task);
    }
    void stepUntil(const std::function<bool()>& holds) {
        while (!holds()) {
            users.step(Clock::now());
            io.run_for(kStep);
        }
    }
    void stepUntilBroken(const std::string& rule) {
        stepUntil([&] { return !rules.broken.empty(); });
        EXPECT_TRUE(firstBrokenRule(rules).starts_with(rule)) << firstBrokenRule(rules);
    }
    void stepForRequests(std::size_t count) {
        stepUntil([&, until = controller.answered + count] { return controller.answered >= until; });
    }
    Response answerTruthfully(const Request& request) const {
        Response response;
        const auto id = idOf(request);
        if (!rules.jobs.contains(id)) {
            response.status = 404;
            return response;
        }
        const bool first = request.path == protocol::paths::kSubmissions && !rules.jobs.at(id).accepted;
        response.status = first ? 201 : 200;
        response.body = protocol::jobReply(id, states.contains(id) ? states.at(id) : JobState::queued);
        return response;
    }
    static std::string idOf(const Request& request) {
        if (request.path == protocol::paths::kSubmissions)
            return protocol::decodeSpec(protocol::unpackBody(request.body).get()).id;
        const auto start = std::string(protocol::paths::kSubmissions).size() + 1;
        return request.path.substr(start, request.path.find('/', start) - start);
    }

    asio::io_context io{1};
    Rules rules;
    std::map<std::string, JobState> states;  // as the controller answers
    ScriptedController controller{io};
    Users users{io, rules, {controller.address()}};
};

}  // namespace

TEST_F(UsersCheck, TruthfulAnswersBreakNoRule) {
    submitCompleted(kJob);
    submitCompleted(kDependent, {kJob});
    stepForRequests(30);
    states[kJob] = JobState::done;
    stepUntil([&] { return rules.job(kJob).terminalState.has_value(); });
    states[kDependent] = JobState::cancelled;
    users.cancel(kDependent, 0);
    stepUntil([&] { return rules.job(kDependent).cancelConfirmed.has_value(); });
    stepForRequests(30);
    EXPECT_EQ(rules.broken, std::vector<std::string>());
}

TEST_F(UsersCheck, DoneJobAnsweredAsRunningBreaksWentBack) {
    submitCompleted(kJob);
    states[kJob] = JobState::done;
    stepUntil([&] { return rules.job(kJob).terminalState.has_value(); });
    states[kJob] = JobState::running;
    stepUntilBroken("went_back");
}

TEST_F(UsersCheck, UnrequestedCancellationBreaksWentBack) {
    submitCompleted(kJob);
    states[kJob] = JobState::cancelled;
    stepUntilBroken("went_back");
}

TEST_F(UsersCheck, PendingDependentOfACancelledJobBreaksOrphaned) {
    submitCompleted(kJob);
    submitCompleted(kDependent, {kJob});
    states[kJob] = JobState::cancelled;
    users.cancel(kJob, 0);
    stepUntilBroken(std::string("orphaned: ") + kDependent);
}

TEST_F(UsersCheck, DoneJobWithAnOpenTaskBreaksNotDone) {
    submitCompleted(kJob);
    rules.job(kJob).completed.erase(1);
    states[kJob] = JobState::done;
    stepUntilBroken("not_done");
}

TEST_F(UsersCheck, AcceptedJobAnsweredWith404BreaksForgotten) {
    submitCompleted(kJob);
    controller.script = [](const Request& request) {
        Response response;
        response.status = request.method == "GET" ? 404 : 503;
        return response;
    };
    stepUntilBroken("forgotten");
}

TEST_F(UsersCheck, AcceptedJobAcceptedAsNewBreaksForgotten) {
    submitCompleted(kJob);
    controller.script = [this](const Request& request) {
        auto response = answerTruthfully(request);
        if (request.method == "POST") response.status = 201;
        return response;
    };
    stepUntilBroken("forgotten");
}

TEST_F(UsersCheck, StateOfAnUnsubmittedJobBreaksInvented) {
    submitCompleted(kJob);
    controller.script = [](const Request& request) {
        Response response;
        response.body = protocol::jobReply(idOf(request), JobState::queued);
        return response;
    };
    stepUntilBroken("invented");
}

TEST_F(UsersCheck, AnswerForAnotherJobIsReported) {
    submitCompleted(kJob);
    controller.script = [this](const Request& request) {
        auto response = answerTruthfully(request);
        if (response.status == 200) response.body = protocol::jobReply(kDependent, JobState::queued);
        return response;
    };
    stepUntilBroken(std::string(kJob) + " at scripted answered for another job");
}
