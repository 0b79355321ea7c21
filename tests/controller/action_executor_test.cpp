#include "coordination/controller/action_executor.h"

#include <gtest/gtest.h>

#include "base/clock.h"
#include "protocol/msgpack_codec.h"
#include "storage/store_stub.h"
#include "transport/endpoint.h"
#include "transport/executor.h"
#include "transport/http_client.h"
#include "transport/http_message.h"
#include "transport/http_server.h"

using namespace burlpoint;
using namespace std::chrono_literals;
using coordination::Action;
using coordination::HeartbeatVerdict;
using coordination::LeaderEvent;
using coordination::ScaleInOutcome;

namespace {

/// An action executor and an election, with fakes of the key-value store, the cloud and a worker. One HTTP
/// server fakes both cloud and worker: it responds to each path with the body `responseBodies[path]`, or 503
/// if there is none, and holds its responses in `heldResponses` while `holdResponses` is set.
struct ActionExecutorTest : testing::Test {
    ActionExecutorTest() {
        settings.name = "one";
        settings.cloudAddress = address();
        watcher.start();
    }
    std::string address() const {
        return "127.0.0.1:" + std::to_string(cloudAndWorker.localEndpoint().port());
    }
    void becomeLeader() {
        while (!fencingToken) {
            election.tick(Clock::now());
            io.run_one_for(5ms);
        }
        executor.begin(fencingToken);
    }
    void perform(Action action) { executor.perform(action); }
    void runUntil(const std::function<bool()>& happened) {
        while (!happened()) io.run_one();
    }
    void runFor(Duration time) {
        const auto end = Clock::now() + time;
        while (Clock::now() < end) io.run_one_for(5ms);
    }
    /// Waits for the next delivered event, which must be of type `T`, and removes it.
    template <typename T>
    T nextEvent() {
        runUntil([&] { return !delivered.empty(); });
        auto event = std::move(delivered.front());
        delivered.erase(delivered.begin());
        return std::get<T>(std::move(event));
    }
    static protocol::Heartbeat heartbeat(const std::string& machine) {
        return {machine, "127.0.0.1:1", "plain", "z", false, 1, 1, 0, {}, {}};
    }
    coordination::SendCommands commands() const { return {"m1", address(), 1, {}, {1, 5}}; }

    asio::io_context io{1};
    tests::StoreStub stub{io};
    std::map<std::string, std::string> responseBodies;
    std::vector<std::string> requestedPaths;
    bool holdResponses = false;
    std::vector<std::function<void()>> heldResponses;
    transport::HttpServer cloudAndWorker{io,
                                         transport::parseEndpoint("127.0.0.1:0"),
                                         {},
                                         [this](transport::Request&& request, const transport::Reply& reply) {
                                             requestedPaths.push_back(request.path);
                                             transport::Response response;
                                             const auto found = responseBodies.find(request.path);
                                             response.status = found == responseBodies.end() ? 503 : 200;
                                             if (found != responseBodies.end()) response.body = found->second;
                                             if (!holdResponses) return reply(response);
                                             heldResponses.push_back([reply, response] { reply(response); });
                                         }};
    protocol::Settings settings;
    protocol::Policy policy;
    transport::HttpClient http{io, 10};
    storage::KeyValueClient state{http, stub.address(), 1000, 1, Clock::now()};
    bookkeeping::StateReplica replica;
    coordination::StateWatcher watcher{io, state, replica, [](const auto&) {}};
    std::uint64_t fencingToken = 0;
    coordination::Election election{settings,
                                    policy,
                                    state,
                                    replica,
                                    watcher,
                                    [this](std::uint64_t won) { fencingToken = won; },
                                    [this] {
                                        fencingToken = 0;
                                        executor.end();
                                    }};
    std::vector<LeaderEvent> delivered;
    coordination::ActionExecutor executor{
        io, settings, 10, {http, state, watcher, election}, [this](LeaderEvent event) {
            delivered.push_back(std::move(event));
        }};
};

}  // namespace

TEST_F(ActionExecutorTest, AnswerHeartbeatThenRepliedOnceWithFencingToken) {
    becomeLeader();
    std::vector<transport::Response> replies;
    const auto first = executor.addPendingHeartbeat([&](auto response) { replies.push_back(response); });
    const auto second = executor.addPendingHeartbeat([&](auto response) { replies.push_back(response); });
    EXPECT_NE(first, second);
    perform(coordination::AnswerHeartbeat{second, HeartbeatVerdict::accepted, {}});
    ASSERT_EQ(replies.size(), 1u);
    EXPECT_EQ(replies[0].status, 200);
    EXPECT_EQ(replies[0].body, protocol::encodeHeartbeatResponse(fencingToken, {}));
    perform(coordination::AnswerHeartbeat{second, HeartbeatVerdict::accepted, {}});
    EXPECT_EQ(replies.size(), 1u);
    perform(coordination::AnswerHeartbeat{first, HeartbeatVerdict::refused, {}});
    ASSERT_EQ(replies.size(), 2u);
    EXPECT_EQ(replies[1].status, 503);
}

TEST_F(ActionExecutorTest, ResignationThenPendingHeartbeatsGet503) {
    becomeLeader();
    int status = 0;
    executor.addPendingHeartbeat([&](const transport::Response& response) { status = response.status; });
    const auto epoch = executor.epoch();
    perform(coordination::Resign{coordination::ResignationReason::newerTokenSeen});
    EXPECT_EQ(status, 503);
    EXPECT_NE(executor.epoch(), epoch);
    EXPECT_EQ(fencingToken, 0u);
}

TEST_F(ActionExecutorTest, ActionsPerformedThenOutcomesAreDelivered) {
    becomeLeader();
    responseBodies[protocol::paths::kCommands] = protocol::encodeHeartbeat(heartbeat("m1"));
    responseBodies[protocol::paths::kInstanceDeletion] = "";
    perform(commands());
    const auto answered = nextEvent<coordination::CommandsAnswered>();
    EXPECT_EQ(answered.machine, "m1");
    EXPECT_EQ(answered.latestVersionAtSend, (bookkeeping::HeartbeatVersion{1, 5}));
    EXPECT_EQ(answered.heartbeat, heartbeat("m1"));
    perform(coordination::ScaleIn{{"m1", "m2"}});
    const auto deletion = nextEvent<coordination::ScaleInCompleted>();
    EXPECT_EQ(deletion.outcome, ScaleInOutcome::deleted);
    EXPECT_EQ(deletion.machines, (std::vector<std::string>{"m1", "m2"}));
    perform(coordination::ScaleOut{{"r1", "plain", "z", false, 1}});  // the cloud answers 503
    const auto creation = nextEvent<coordination::ScaleOutCompleted>();
    EXPECT_EQ(creation.name, "r1");
    EXPECT_EQ(creation.outcome, coordination::InstanceRequestOutcome::unknown);
    perform(coordination::ListMachines{});
    EXPECT_FALSE(nextEvent<coordination::MachinesListed>().complete);
    perform(coordination::WriteState{{}, {{"bp/x", protocol::MessagePacker().value("x").str(), 0}}});
    EXPECT_EQ(nextEvent<coordination::StateWritten>().result.status, storage::TransactionStatus::applied);
    perform(coordination::RefreshReplica{});
    EXPECT_EQ(nextEvent<coordination::ReplicaRefreshed>().outcome, coordination::RefreshOutcome::refreshed);
}

TEST_F(ActionExecutorTest, MalformedAnswerThenOutcomeIsUnknown) {
    becomeLeader();
    responseBodies[protocol::paths::kCommands] = responseBodies[protocol::paths::kInstanceRequest] =
        "nonsense";
    perform(commands());
    EXPECT_FALSE(nextEvent<coordination::CommandsAnswered>().heartbeat);
    perform(coordination::ScaleOut{{"r1", "plain", "z", false, 1}});
    EXPECT_EQ(nextEvent<coordination::ScaleOutCompleted>().outcome,
              coordination::InstanceRequestOutcome::unknown);
}

TEST_F(ActionExecutorTest, LeaderLeaseNotValidThenWorkersAndCloudAreNotContacted) {
    executor.begin(7);  // without having won the election
    int status = 0;
    const auto request =
        executor.addPendingHeartbeat([&](const transport::Response& response) { status = response.status; });
    perform(coordination::AnswerHeartbeat{request, HeartbeatVerdict::accepted, {}});
    EXPECT_EQ(status, 503);
    perform(commands());
    EXPECT_FALSE(nextEvent<coordination::CommandsAnswered>().heartbeat);
    perform(coordination::ScaleOut{{"r1", "plain", "z", false, 1}});
    EXPECT_EQ(nextEvent<coordination::ScaleOutCompleted>().outcome,
              coordination::InstanceRequestOutcome::unknown);
    perform(coordination::ScaleIn{{"m1"}});
    EXPECT_EQ(nextEvent<coordination::ScaleInCompleted>().outcome, ScaleInOutcome::unknown);
    runFor(100ms);
    EXPECT_TRUE(requestedPaths.empty());
}

TEST_F(ActionExecutorTest, LeadershipEndedThenItsOutcomesAreDropped) {
    becomeLeader();
    holdResponses = true;
    perform(commands());
    perform(coordination::ScaleOut{{"r1", "plain", "z", false, 1}});
    perform(coordination::ScaleIn{{"m1"}});
    perform(coordination::ListMachines{});
    perform(coordination::ListTypes{});
    runUntil([&] { return heldResponses.size() == 5; });
    executor.end();
    executor.begin(fencingToken);
    for (const auto& answer : heldResponses) answer();
    runFor(200ms);
    EXPECT_TRUE(delivered.empty());
}
