// The checks of what runs where.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "protocol/worker_messages.h"
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

/// Two machines in different zones that heartbeat to a controller, which sends each the commands of the test
/// once.
class MachinesCheck : public testing::Test {
  protected:
    MachinesCheck() {
        settings.heartbeatInterval = Seconds(0.1);
        settings.workerLease = Seconds(600);
        settings.cancelTimeout = Seconds(0);
        type.name = "plain";
        type.cpus = type.memoryGb = 8;
        controller.script = [this](const Request& request) { return answerHeartbeat(request); };
        for (const char* zone : {"a", "b"}) machines.create(type, zone);
    }

    void submitKnown(const JobSpec& spec) { rules.jobs[spec.id].spec = spec; }
    void startOn(const std::string& zone, std::uint32_t task, std::uint64_t attempt) {
        commands[zone].push_back({CommandKind::start, {kJob, task, attempt}, Seconds(0)});
    }
    void stepUntil(const std::function<bool()>& holds) {
        while (!holds()) {
            machines.step(Clock::now());
            io.run_for(kStep);
        }
    }
    void stepUntilBroken(const std::string& rule) {
        stepUntil([&] { return !rules.broken.empty(); });
        EXPECT_TRUE(firstBrokenRule(rules).starts_with(rule)) << firstBrokenRule(rules);
    }
    void stepUntilStarted(std::uint64_t starts) {
        stepUntil([&] { return machines.starts(kJob) == starts; });
    }

    asio::io_context io{1};
    Rules rules;
    protocol::Settings settings;
    protocol::MachineType type;
    std::map<std::string, std::vector<WorkerCommand>> commands;  // by zone, not sent yet
    bool dependencyDone = false;
    ScriptedController controller{io};
    Machines machines{
        io, rules, settings, {controller.address()}, [this](const std::string&) { return dependencyDone; }};

  private:
    Response answerHeartbeat(const Request& request) {
        const auto heartbeat = protocol::decodeHeartbeat(request.body);
        Response response;
        response.body = protocol::encodeHeartbeatResponse(1, std::exchange(commands[heartbeat.zone], {}));
        return response;
    }
};

}  // namespace

TEST_F(MachinesCheck, StartsThatKeepTheRulesBreakNone) {
    auto spec = makeSmallJob(kJob, {kDependent});
    spec.zone = "a";
    submitKnown(spec);
    dependencyDone = true;
    startOn("a", 0, 1);
    startOn("a", 1, 2);
    stepUntilStarted(2);
    EXPECT_EQ(rules.broken, std::vector<std::string>());
}

TEST_F(MachinesCheck, TaskOnTwoMachinesBreaksRanTwice) {
    submitKnown(makeSmallJob(kJob));
    startOn("a", 0, 1);
    stepUntilStarted(1);
    startOn("b", 0, 2);
    stepUntilBroken("ran_twice");
}

TEST_F(MachinesCheck, StartBeforeADependencyIsDoneBreaksTooEarly) {
    submitKnown(makeSmallJob(kJob, {kDependent}));
    startOn("a", 0, 1);
    stepUntilBroken("too_early");
}

TEST_F(MachinesCheck, StartInAnotherZoneBreaksWrongPlace) {
    auto spec = makeSmallJob(kJob);
    spec.zone = "a";
    submitKnown(spec);
    startOn("b", 0, 1);
    stepUntilBroken("wrong_place");
}

TEST_F(MachinesCheck, StartAfterACancellationBreaksRanCancelled) {
    submitKnown(makeSmallJob(kJob));
    rules.noteCancelled(kJob, Clock::now());
    startOn("a", 0, 1);
    stepUntilBroken("ran_cancelled: a start of");
}

TEST_F(MachinesCheck, TaskLeftAfterACancellationBreaksRanCancelled) {
    submitKnown(makeSmallJob(kJob));
    startOn("a", 0, 1);
    stepUntilStarted(1);
    rules.noteCancelled(kJob, Clock::now());
    stepUntilBroken("ran_cancelled: a task of");
}

TEST_F(MachinesCheck, StartOfAnUnknownJobIsReported) {
    startOn("a", 0, 1);
    stepUntilBroken("a start of an unknown task");
}
