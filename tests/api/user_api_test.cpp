// Tests of the responses to users' requests.
#include <gtest/gtest.h>

#include "coordination/api/submission_validation.h"
#include "leadership/controller_harness.h"
#include "protocol/msgpack_codec.h"
#include "transport/executor.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using protocol::MessagePacker;

namespace {

using UserApiTest = ControllerHarnessTest;

}  // namespace

TEST_F(UserApiTest, EachRequestGetsItsStatusCode) {
    ControllerHarness node(io, stub);
    node.runUntil([&] { return node.watcher.synced(); });
    EXPECT_EQ(node.callApi("POST", "/submissions", "nonsense").status, 400);
    EXPECT_EQ(node.callApi("POST", "/submissions", MessagePacker().map(0).str()).status, 400);
    EXPECT_EQ(node.callApi("POST", "/submissions", submission("wk-1", 1, "nobody")).status, 422);
    EXPECT_EQ(node.callApi("POST", "/submissions", submission("wk-1", 9)).status, 422);
    EXPECT_EQ(node.callApi("POST", "/submissions", submission("wk-1", 8, "team", 3, protocol::JobKind::gang))
                  .status,
              422);
    EXPECT_EQ(node.callApi("POST", "/submissions", submission("wk-1", 8, "team", 3)).status, 201);
    EXPECT_EQ(node.callApi("POST", "/submissions", submission("wk-1", 8, "team", 3)).status, 200);
    EXPECT_EQ(node.jobState("wk-1"), "pending");
    EXPECT_EQ(node.jobState("wk-2"), "404");
    EXPECT_EQ(node.jobState("nonsense"), "404");
    EXPECT_EQ(node.callApi("POST", "/submissions/wk-2/cancel").status, 404);
    EXPECT_EQ(node.callApi("POST", "/submissions/wk-1/cancel").status, 200);
    EXPECT_EQ(node.jobState("wk-1"), "cancelled");
    EXPECT_EQ(node.callApi("POST", "/submissions", submission("wk-1", 8, "team", 3)).status, 200);
    EXPECT_EQ(node.callApi("GET", "/submissions").status, 405);
    EXPECT_EQ(node.callApi("POST", "/submissions/wk-1").status, 405);
    EXPECT_EQ(node.callApi("GET", "/submissions/wk-1/cancel").status, 405);
    EXPECT_EQ(node.callApi("GET", "/elsewhere").status, 599);
}

// Users' tools depend on these texts, so they must not change.
TEST_F(UserApiTest, EachErrorHasItsText) {
    ControllerHarness node(io, stub);
    node.runUntil([&] { return node.watcher.synced(); });
    const auto error = [&](const char* method, const std::string& path, std::string body = {}) {
        const auto response = node.callApi(method, path, std::move(body));
        return protocol::MapReader(protocol::unpackBody(response.body).get()).text("error");
    };
    const auto rejection = [&](std::string body) { return error("POST", "/submissions", std::move(body)); };
    EXPECT_EQ(rejection(submission("wk-1", 1, "nobody")), "unknown team");
    EXPECT_EQ(rejection(submission("wk-1", 8, "team", 3, protocol::JobKind::gang)),
              "more than the team's limit");
    EXPECT_EQ(rejection(submission("wk-1", 9)), "fits no allowed machine type");
    EXPECT_EQ(rejection(submissionAfter("wk-1", {"wk-2"})), "needs wk-2, which was never accepted");
    EXPECT_EQ(coordination::textOf(coordination::RejectionReason::recordTooLarge),
              "larger than the state service takes");
    EXPECT_EQ(error("GET", "/submissions/wk-1"), "no such job");
    EXPECT_EQ(error("GET", "/submissions"), "method not allowed");
    EXPECT_EQ(node.callApi("GET", "/submissions").allow, "POST");
    EXPECT_EQ(node.callApi("POST", "/submissions/wk-1").allow, "GET");
    stub.outage = true;
    EXPECT_EQ(error("GET", "/submissions/wk-1"), "the state service does not answer");
}

TEST_F(UserApiTest, OnlyTerminalStatesAreReportedDuringOutage) {
    ControllerHarness node(io, stub);
    node.runUntil([&] { return node.watcher.synced(); });
    EXPECT_EQ(node.callApi("POST", "/submissions", submission("wk-1")).status, 201);
    EXPECT_EQ(node.callApi("POST", "/submissions", submission("wk-2")).status, 201);
    EXPECT_EQ(node.callApi("POST", "/submissions/wk-2/cancel").status, 200);
    EXPECT_EQ(node.jobState("wk-2"), "cancelled");
    stub.outage = true;
    EXPECT_EQ(node.jobState("wk-1"), "503");
    EXPECT_EQ(node.jobState("wk-3"), "503");        // another controller may have accepted it
    EXPECT_EQ(node.jobState("wk-2"), "cancelled");  // a terminal state never changes
    const auto refused = node.callApi("POST", "/submissions", submission("wk-3"));
    EXPECT_EQ(refused.status, 503);
    EXPECT_GE(refused.retryAfter, 1s);
    EXPECT_EQ(node.callApi("POST", "/submissions/wk-1/cancel").status, 503);
}

// A controller must report a state at once after another controller has acknowledged it.
TEST_F(UserApiTest, ControllersNeverReplyWithOlderStates) {
    ControllerHarness a(io, stub), b(io, stub, "two");
    a.runUntil([&] { return a.watcher.synced() && b.watcher.synced(); });
    for (int i = 0; i < 20; ++i) {
        const auto id = "wk-" + std::to_string(i);
        EXPECT_EQ(b.jobState(id), "404");
        EXPECT_EQ(a.callApi("POST", "/submissions", submission(id)).status, 201);
        EXPECT_EQ(b.jobState(id), "pending");
        EXPECT_EQ(b.callApi("POST", "/submissions", submission(id)).status, 200);
        EXPECT_EQ(b.callApi("POST", "/submissions/" + id + "/cancel").status, 200);
        EXPECT_EQ(a.jobState(id), "cancelled");
    }
}

// Guards against a lost response: a write that was carried out but not answered is found when the user
// submits again.
TEST_F(UserApiTest, ResubmissionAfterUnansweredWriteFindsTheJob) {
    ControllerHarness node(io, stub);
    node.runUntil([&] { return node.watcher.synced(); });
    stub.dropWriteResponses = true;
    EXPECT_EQ(node.callApi("POST", "/submissions", submission("wk-1")).status, 503);
    stub.dropWriteResponses = false;
    EXPECT_EQ(node.callApi("POST", "/submissions", submission("wk-1")).status, 200);
}

TEST_F(UserApiTest, SubmissionWithoutMachineTypesIsUnavailable) {
    asio::io_context other{1};
    StoreStub empty(other);
    ControllerHarness node(other, empty);
    node.runUntil([&] { return node.watcher.synced(); });
    EXPECT_EQ(node.callApi("POST", "/submissions", submission("wk-1")).status, 503);  // no machine types yet
}

TEST_F(UserApiTest, ReplicaReadInPagesIsComplete) {
    ControllerHarness writer(io, stub);
    writer.runUntil([&] { return writer.watcher.synced(); });
    for (int i = 0; i < 25; ++i)
        EXPECT_EQ(writer.callApi("POST", "/submissions", submission("wk-" + std::to_string(i))).status, 201);
    stub.pageEntries = 4;
    ControllerHarness reader(io, stub, "two");
    reader.runUntil([&] { return reader.watcher.synced(); });
    EXPECT_EQ(reader.replica.jobs().size(), 25u);
}

// The controller that acknowledged a cancellation must report it at once, even if all later reads fail.
TEST_F(UserApiTest, AcknowledgedCancellationIsKnownToItsControllerDuringAnOutage) {
    ControllerHarness node(io, stub);
    node.runUntil([&] { return node.watcher.synced(); });
    EXPECT_EQ(node.callApi("POST", "/submissions", submission("wk-1")).status, 201);
    EXPECT_EQ(node.jobState("wk-1"), "pending");
    EXPECT_TRUE(node.replica.cancelled().empty());
    stub.holdWatches = true;
    EXPECT_EQ(node.callApi("POST", "/submissions/wk-1/cancel").status, 200);
    stub.outage = true;
    EXPECT_EQ(node.jobState("wk-1"), "cancelled");
    ASSERT_EQ(node.replica.cancelled().size(), 1u);
    EXPECT_EQ(node.replica.cancelled()[0]->version, stub.store.revision);
}

// A dependency that the replica lacks is looked up by a read of the store, since another controller may have
// accepted it a moment ago.
TEST_F(UserApiTest, DependencyThatWasNeverAcceptedIsRejected) {
    ControllerHarness a(io, stub), b(io, stub, "two");
    a.runUntil([&] { return a.watcher.synced() && b.watcher.synced(); });
    EXPECT_EQ(a.callApi("POST", "/submissions", submissionAfter("wk-1", {"wk-1"})).status, 422);
    EXPECT_EQ(a.callApi("POST", "/submissions", submissionAfter("wk-2", {"wk-1"})).status, 422);
    for (int i = 0; i < 20; ++i) {
        const auto first = "wk-" + std::to_string(10 + 2 * i), next = "wk-" + std::to_string(11 + 2 * i);
        EXPECT_EQ(a.callApi("POST", "/submissions", submission(first)).status, 201);
        EXPECT_EQ(b.callApi("POST", "/submissions", submissionAfter(next, {first})).status, 201);
        EXPECT_EQ(a.callApi("POST", "/submissions", submissionAfter(next, {"wk-9"})).status,
                  200);  // resubmitted
        EXPECT_EQ(a.jobState(next), "pending");
    }
    stub.outage = true;
    const auto answer = a.callApi("POST", "/submissions", submissionAfter("wk-3", {"wk-4"}));
    EXPECT_EQ(answer.status, 503);
    EXPECT_GE(answer.retryAfter, 1s);
}

// A single cancelled record cancels all dependents: on every controller, for dependents submitted later, and
// on controllers that start later.
TEST_F(UserApiTest, DependentsOfACancelledJobAreCancelled) {
    ControllerHarness a(io, stub), b(io, stub, "two");
    a.runUntil([&] { return a.watcher.synced() && b.watcher.synced(); });
    for (const auto& job : {submission("wk-1"), submissionAfter("wk-2", {"wk-1"}), submission("wk-9"),
                            submissionAfter("wk-3", {"wk-9", "wk-2"}), submissionAfter("wk-4", {"wk-9"})})
        EXPECT_EQ(a.callApi("POST", "/submissions", job).status, 201);
    EXPECT_EQ(b.jobState("wk-3"), "pending");
    const auto before = stub.store.revision;
    EXPECT_EQ(a.callApi("POST", "/submissions/wk-1/cancel").status, 200);
    EXPECT_EQ(stub.store.revision, before + 1);
    ControllerHarness c(io, stub, "three");
    c.runUntil([&] { return c.watcher.synced(); });
    for (auto* userApi : {&a, &b, &c}) {
        EXPECT_EQ(userApi->jobState("wk-2"), "cancelled");
        EXPECT_EQ(userApi->jobState("wk-3"), "cancelled");
        EXPECT_EQ(userApi->jobState("wk-4"), "pending");
        EXPECT_EQ(userApi->jobState("wk-9"), "pending");
    }
    EXPECT_EQ(b.callApi("POST", "/submissions", submissionAfter("wk-5", {"wk-3"})).status, 201);
    EXPECT_EQ(a.jobState("wk-5"), "cancelled");
    EXPECT_EQ(a.callApi("POST", "/submissions/wk-5/cancel").status, 200);
    // A job that is done is not cancelled, and its dependents can still run.
    auto record =
        storage::decodeJob(protocol::unpackBody(stub.store.values.at(storage::keys::job("wk-9")).data).get());
    record.terminalState = storage::TerminalState::done;
    std::vector<std::string> failed;
    stub.store.transact({}, {{storage::keys::job("wk-9"), storage::encodeJob(record), 0}}, failed);
    stub.answerWatches();
    EXPECT_EQ(b.callApi("POST", "/submissions/wk-9/cancel").status, 200);
    EXPECT_EQ(b.jobState("wk-9"), "done");
    EXPECT_EQ(b.jobState("wk-4"), "pending");
    EXPECT_TRUE(b.replica.find("wk-4")->ready());
    // During an outage a controller still reports the terminal states that it knows.
    stub.outage = true;
    EXPECT_EQ(b.jobState("wk-3"), "cancelled");
}
