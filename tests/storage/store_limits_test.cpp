// Submissions when the key-value store's limits are lower than in the settings or are announced to become
// lower, and how the client distinguishes the store's rejections.
#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "leadership/controller_harness.h"
#include "protocol/msgpack_codec.h"

using namespace burlpoint;
using namespace burlpoint::tests;
using protocol::MessagePacker;

namespace {

using StoreLimits = ControllerHarnessTest;

}  // namespace

// A job whose record exceeds the lower of the current and the next limit must be rejected before anything is
// stored, unless it was already accepted under the higher limit. Bitmap chunks must fit the lower limit.
TEST_F(StoreLimits, SubmissionBeyondTheNextLimitsIsRefused) {
    ControllerHarness node(io, stub);
    node.config.nextStoreLimits = protocol::StoreLimits{28, 2, 10};
    node.runUntil([&] { return node.watcher.synced(); });
    const auto longTexts = [](const std::string& id) {
        protocol::JobSpec spec;
        spec.id = id;
        spec.jobClass = spec.image = "x";
        spec.team = "team";
        spec.cpus = 1;
        spec.types = std::vector<std::string>(14, std::string(180, 'h'));
        spec.types->push_back("m");
        return spec;
    };
    const auto packed = [](const protocol::JobSpec& spec) {
        MessagePacker p;
        protocol::packSpec(p, spec);
        return p.str();
    };
    EXPECT_EQ(node.callApi("POST", "/submissions", packed(longTexts("wk-1"))).status, 422);
    EXPECT_FALSE(stub.store.values.contains(storage::keys::job("wk-1")));
    std::vector<std::string> failed;
    const auto spec = longTexts("wk-2");
    stub.store.transact(
        {},
        {{storage::keys::job("wk-2"), storage::encodeJob({spec, storage::TerminalState::none, 0, 0, 4}), 0}},
        failed);
    EXPECT_EQ(node.callApi("POST", "/submissions", packed(spec)).status, 200);
    EXPECT_EQ(node.callApi("POST", "/submissions", submission("wk-3")).status, 201);
    const auto handle = protocol::unpackBody(stub.store.values.at(storage::keys::job("wk-3")).data);
    EXPECT_EQ(storage::decodeJob(handle.get()).chunkTasks, storage::chunkTasks(2));
    // A job accepted under the higher limit can be cancelled under the lower one.
    stub.store.limits.maxValueBytes = 2048;
    EXPECT_EQ(node.callApi("POST", "/submissions/wk-2/cancel").status, 200);
    EXPECT_EQ(node.jobState("wk-2"), "cancelled");
}

// When the store's value limit is lower than in the settings, no accepted job may be lost, and no job may be
// accepted without being stored.
TEST_F(StoreLimits, UnannouncedLowerLimitLosesNoAcceptedJob) {
    ControllerHarness node(io, stub);
    node.runUntil([&] { return node.watcher.synced(); });
    auto spec = protocol::JobSpec{};
    spec.id = "wk-1";
    spec.jobClass = spec.image = "x";
    spec.team = "team";
    spec.types = std::vector<std::string>{std::string(150, 'h'), "m"};
    MessagePacker p;
    protocol::packSpec(p, spec);
    EXPECT_EQ(node.callApi("POST", "/submissions", p.str()).status, 201);
    stub.store.limits.maxValueBytes = 500;
    const auto submitWithId = [&](const std::string& id) {
        auto other = spec;
        other.id = id;
        MessagePacker q;
        protocol::packSpec(q, other);
        return node.callApi("POST", "/submissions", q.str()).status;
    };
    EXPECT_EQ(submitWithId("wk-2"), 422);
    EXPECT_EQ(submitWithId("wk-1"), 200);
    EXPECT_EQ(node.jobState("wk-2"), "404");
    EXPECT_EQ(node.callApi("POST", "/submissions/wk-1/cancel").status, 200);
    EXPECT_EQ(node.jobState("wk-1"), "cancelled");
}

// A submission whose write exceeds the store's rate limit is retried a few times and then answered with 503
// and Retry-After. A later submission of the job must succeed.
TEST_F(StoreLimits, RateLimitedSubmissionIsRetriedBeforeItIsRefused) {
    ControllerHarness node(io, stub);
    node.runUntil([&] { return node.watcher.synced(); });
    stub.store.limits.changes = 0;
    const auto rejected = node.callApi("POST", "/submissions", submission("wk-1"));
    EXPECT_EQ(rejected.status, 503);
    EXPECT_GE(rejected.retryAfter, 1s);
    EXPECT_GT(stub.store.rateLimited, 1u);
    EXPECT_LT(stub.store.rateLimited, 5u);  // retries slow down
    EXPECT_EQ(node.jobState("wk-1"), "404");
    stub.store.limits.changes = 5;
    EXPECT_EQ(node.callApi("POST", "/submissions", submission("wk-1")).status, 201);
}

// Each reason for which the store rejects a transaction has its own status. The first rejection for the size
// and for the rate limit is logged, later ones are not.
TEST_F(StoreLimits, EachRefusalOfATransactionHasItsOwnStatus) {
    ControllerHarness node(io, stub);
    std::ostringstream log;
    const auto previousLogger = spdlog::default_logger();
    const auto capturingLogger =
        std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::ostream_sink_mt>(log));
    spdlog::set_default_logger(capturingLogger);
    const auto count = [&](const std::string& text) {
        std::size_t found = 0;
        for (auto at = log.str().find(text); at != std::string::npos; at = log.str().find(text, at + 1))
            ++found;
        return found;
    };
    const auto status = [&](const protocol::KeyWrite& write) {
        std::optional<storage::TransactionStatus> out;
        node.store.transact({}, {write}, 1s,
                            [&](const storage::TransactionResult& result) { out = result.status; });
        node.runUntil([&] { return out.has_value(); });
        return *out;
    };
    const auto value = MessagePacker().value("0123456789").str();
    stub.store.limits = {32, 12, 1};
    EXPECT_EQ(status({"bp/x", value, 99}), storage::TransactionStatus::leaseExpired);
    EXPECT_EQ(status({"bp/x", MessagePacker().value("0123456789a").str(), 0}),
              storage::TransactionStatus::tooLarge);
    EXPECT_EQ(status({"bp/x", value, 0}), storage::TransactionStatus::applied);
    EXPECT_EQ(status({"bp/x", value, 0}), storage::TransactionStatus::rateLimited);
    EXPECT_EQ(status({"bp/x", value, 0}), storage::TransactionStatus::rateLimited);
    EXPECT_EQ(status({"bp/x", MessagePacker().value("0123456789b").str(), 0}),
              storage::TransactionStatus::tooLarge);
    stub.outage = true;
    EXPECT_EQ(status({"bp/x", value, 0}), storage::TransactionStatus::unavailable);
    // Each kind of rejection is logged once.
    EXPECT_EQ(count("[error] key-value store rejected a transaction over its size limit writes=1 bytes="),
              1u);
    EXPECT_EQ(count("too large"), 1u);
    EXPECT_EQ(count("[info] key-value store rejected writes over its rate limit"), 1u);
    spdlog::set_default_logger(previousLogger);
}
