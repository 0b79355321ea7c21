// Tests of the checks in `Machines`: each invariant for tasks is violated once and has to be reported.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/worker_messages.h"
#include "transport/http_client.h"
#include "transport/http_message.h"
#include "upgrade/check_fixture.h"
#include "upgrade/machines.h"

using namespace burlpoint::tests;
using burlpoint::Clock;
using burlpoint::Seconds;
using burlpoint::protocol::CommandKind;
using burlpoint::protocol::JobSpec;
using burlpoint::protocol::WorkerCommand;
using burlpoint::transport::Request;
using burlpoint::transport::Response;
namespace protocol = burlpoint::protocol;

namespace {

/// Two machines in different zones that send heartbeats to a scripted controller. The controller sends each
/// queued command once, in the response to the next heartbeat from its zone.
class MachinesTest : public testing::Test {
  protected:
    MachinesTest() {
        settings.heartbeatInterval = Seconds(0.1);
        settings.workerLease = Seconds(600);
        settings.cancelTimeout = Seconds(0);
        type.name = "plain";
        type.cpus = type.memoryGb = 8;
        controller.script = [this](const Request& request) { return answerHeartbeat(request); };
        for (const char* zone : {"a", "b"}) machines.create(type, zone);
    }

    void registerJob(const JobSpec& spec) { oracle.jobs[spec.id].spec = spec; }
    void queueStart(const std::string& zone, std::uint32_t task, std::uint64_t attempt) {
        pendingCommands[zone].push_back({CommandKind::start, {kJob, task, attempt}, Seconds(0)});
    }
    /// Sends the command straight to the first machine, under the controller's fencing token.
    void sendDirectly(const WorkerCommand& command) {
        constexpr std::uint64_t kFencingToken = 1, kIncarnation = 1;
        http.request(machines.workers().begin()->second->address(), "POST", protocol::paths::kCommands,
                     protocol::encodeDirectCommands(kFencingToken, kIncarnation, {command}),
                     std::chrono::seconds(5), [this](const auto&) { ++directCommandsAnswered; });
    }
    void stepUntil(const std::function<bool()>& condition) {
        while (!condition()) {
            machines.step(Clock::now());
            io.run_for(kStepDuration);
        }
    }
    void stepUntilViolation(const std::string& expectedPrefix) {
        stepUntil([&] { return !oracle.violations.empty(); });
        EXPECT_TRUE(firstViolation(oracle).starts_with(expectedPrefix)) << firstViolation(oracle);
    }
    void stepUntilStarted(std::uint64_t startCount) {
        stepUntil([&] { return machines.startCount(kJob) == startCount; });
    }

    asio::io_context io{1};
    TestOracle oracle;
    protocol::Settings settings;
    protocol::MachineType type;
    std::map<std::string, std::vector<WorkerCommand>> pendingCommands;  // by zone
    bool dependencyDone = false;
    ScriptedController controller{io};
    burlpoint::transport::HttpClient http{io, 1};
    int directCommandsAnswered = 0;
    Machines machines{
        io, oracle, settings, {controller.endpoint()}, [this](const std::string&) { return dependencyDone; }};

  private:
    Response answerHeartbeat(const Request& request) {
        const auto heartbeat = protocol::decodeHeartbeat(request.body);
        Response response;
        response.body =
            protocol::encodeHeartbeatResponse(1, std::exchange(pendingCommands[heartbeat.zone], {}));
        return response;
    }
};

}  // namespace

TEST_F(MachinesTest, PermittedStartsBreakNoRule) {
    auto spec = makeSmallJob(kJob, {kDependent});
    spec.zone = "a";
    registerJob(spec);
    dependencyDone = true;
    queueStart("a", 0, 1);
    queueStart("a", 1, 2);
    stepUntilStarted(2);
    EXPECT_EQ(oracle.violations, std::vector<std::string>());
}

TEST_F(MachinesTest, TaskOnTwoMachinesBreaksRanTwice) {
    registerJob(makeSmallJob(kJob));
    queueStart("a", 0, 1);
    stepUntilStarted(1);
    queueStart("b", 0, 2);
    stepUntilViolation("ran_twice");
}

TEST_F(MachinesTest, StartBeforeADependencyIsDoneBreaksTooEarly) {
    registerJob(makeSmallJob(kJob, {kDependent}));
    queueStart("a", 0, 1);
    stepUntilViolation("too_early");
}

TEST_F(MachinesTest, StartInAnotherZoneBreaksWrongPlace) {
    auto spec = makeSmallJob(kJob);
    spec.zone = "a";
    registerJob(spec);
    queueStart("b", 0, 1);
    stepUntilViolation("wrong_place");
}

TEST_F(MachinesTest, StartAfterACancellationBreaksRanCancelled) {
    registerJob(makeSmallJob(kJob));
    oracle.markCancelConfirmed(kJob, Clock::now());
    queueStart("a", 0, 1);
    stepUntilViolation("ran_cancelled: a start of");
}

TEST_F(MachinesTest, TaskLeftAfterACancellationBreaksRanCancelled) {
    registerJob(makeSmallJob(kJob));
    queueStart("a", 0, 1);
    stepUntilStarted(1);
    oracle.markCancelConfirmed(kJob, Clock::now());
    stepUntilViolation("ran_cancelled: a task of");
}

TEST_F(MachinesTest, DirectCommandThatIsNoStopIsReported) {
    registerJob(makeSmallJob(kJob));
    sendDirectly({CommandKind::start, {kJob, 0, 1}, Seconds(0)});
    stepUntilViolation("direct command that is no stop");
}

TEST_F(MachinesTest, DirectStopBreaksNoRule) {
    registerJob(makeSmallJob(kJob));
    queueStart("a", 0, 1);
    stepUntilStarted(1);
    sendDirectly({CommandKind::stop, {kJob, 0, 1}, Seconds(0)});
    stepUntil([&] { return directCommandsAnswered == 1; });
    EXPECT_EQ(oracle.violations, std::vector<std::string>());
}

TEST_F(MachinesTest, StartOfAnUnknownJobIsReported) {
    queueStart("a", 0, 1);
    stepUntilViolation("start command for an unknown task");
}
